"""Withdrawals: what they must not leave without a version."""

from collections.abc import Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]


def check_accounts(document: config_data.Document) -> Findings:
    """Report a model of an account's list that has no live version left.

    Every request of that account for the model would be refused. Whoever
    withdraws the last version has to say in the same document what serves
    instead, or take the model off the list.
    """
    for place, account in enumerate(document.accounts):
        path = f'accounts[{place}].allowed'
        asked = dict.fromkeys(ref.model for ref in account.allowed)
        dead = [name for name in asked if _is_dead(document, account, name)]
        if asked and len(dead) == len(asked):
            yield places.report(path, 'every version of the list is withdrawn')
        for name in dead:
            reason = (
                f'model {name!r} has no version left for this account; allow '
                'one that is not withdrawn or take the model off the list'
            )
            yield places.report(path, reason)


def check_stages(document: config_data.Document) -> Findings:
    """Report a stage of a cascade whose every version is withdrawn."""
    live = {
        version.ref.model
        for _, version in places.versions(document)
        if not version.withdrawn
    }
    dead = {model.name for model in document.models} - live
    for outer, cascade in enumerate(document.cascades):
        for inner, name in enumerate(cascade.stages):
            if name in dead:
                path = f'cascades[{outer}].stages[{inner}]'
                reason = f'every version of model {name!r} is withdrawn'
                yield places.report(path, reason)


def check_rollouts(document: config_data.Document) -> Findings:
    """Report a roll-out of or beside a withdrawn version."""
    withdrawn = {
        version.ref
        for _, version in places.versions(document)
        if version.withdrawn
    }
    for place, rollout in enumerate(document.rollouts):
        for role in ('incumbent', 'candidate'):
            name = getattr(rollout, role)
            if config_data.VersionRef(rollout.model, name) in withdrawn:
                reason = f'version {name!r} is withdrawn; end the roll-out'
                yield places.report(f'rollouts[{place}].{role}', reason)


def _is_dead(
    document: config_data.Document, account: config_data.Account, model: str
) -> bool:
    covered = places.covered(document, account, model)
    return bool(covered) and all(version.withdrawn for version in covered)


VALIDATIONS = (check_accounts, check_stages, check_rollouts)
