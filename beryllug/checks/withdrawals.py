"""Validates that withdrawals leave the required versions available."""

from collections.abc import Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]


def check_accounts(document: config_data.Document) -> Findings:
    """Report a model that an account may use but has no active version.

    Every request of that account for the model would be refused. A document
    that withdraws the last version must also allow a replacement or remove the
    model from the account's list.
    """
    for index, account in enumerate(document.accounts):
        path = f'accounts[{index}].allowed'
        allowed_models = dict.fromkeys(ref.model for ref in account.allowed)
        withdrawn_models = [
            name
            for name in allowed_models
            if _is_withdrawn(document, account, name)
        ]
        if allowed_models and len(withdrawn_models) == len(allowed_models):
            yield finding_helpers.make_finding(
                path, 'every version of the list is withdrawn'
            )
        for name in withdrawn_models:
            reason = (
                f'model {name!r} has no version left for this account; allow '
                'one that is not withdrawn or take the model off the list'
            )
            yield finding_helpers.make_finding(path, reason)


def check_stages(document: config_data.Document) -> Findings:
    """Report a cascade stage of which all versions are withdrawn."""
    active_models = {
        version.ref.model
        for _, version in finding_helpers.versions(document)
        if not version.withdrawn
    }
    withdrawn_models = {model.name for model in document.models} - active_models
    for cascade_index, cascade in enumerate(document.cascades):
        for stage_index, name in enumerate(cascade.stages):
            if name in withdrawn_models:
                path = f'cascades[{cascade_index}].stages[{stage_index}]'
                reason = f'every version of model {name!r} is withdrawn'
                yield finding_helpers.make_finding(path, reason)


def check_rollouts(document: config_data.Document) -> Findings:
    """Report a roll-out whose candidate or incumbent is withdrawn."""
    withdrawn = {
        version.ref
        for _, version in finding_helpers.versions(document)
        if version.withdrawn
    }
    for index, rollout in enumerate(document.rollouts):
        for role in ('incumbent', 'candidate'):
            name = getattr(rollout, role)
            if config_data.VersionRef(rollout.model, name) in withdrawn:
                reason = f'version {name!r} is withdrawn; end the roll-out'
                yield finding_helpers.make_finding(
                    f'rollouts[{index}].{role}', reason
                )


def _is_withdrawn(
    document: config_data.Document, account: config_data.Account, model: str
) -> bool:
    allowed_versions = finding_helpers.find_allowed_versions(
        document, account, model
    )
    return bool(allowed_versions) and all(
        version.withdrawn for version in allowed_versions
    )


VALIDATIONS = (check_accounts, check_stages, check_rollouts)
