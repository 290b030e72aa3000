"""Validates the stages of cascades and whether accounts may run them."""

from collections.abc import Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
CascadesByName = dict[str, config_data.Cascade]


def check_stages(document: config_data.Document) -> Findings:
    """Report stages that are unknown, repeated or cascades themselves."""
    models = {model.name for model in document.models}
    cascades = {cascade.name: cascade for cascade in document.cascades}
    for outer_index, cascade in enumerate(document.cascades):
        path = f'cascades[{outer_index}].stages'
        stages = [
            (f'{path}[{inner_index}]', name)
            for inner_index, name in enumerate(cascade.stages)
        ]
        yield from finding_helpers.report_duplicates(stages, 'stage')
        yield from finding_helpers.report_undeclared(
            stages, {*models, *cascades}, 'model'
        )
        for stage_path, name in stages:
            if name in cascades:
                yield finding_helpers.make_finding(
                    stage_path, _nesting_reason(cascade.name, name, cascades)
                )


def check_costs(document: config_data.Document) -> Findings:
    """Report a stage that is cheaper than an earlier stage.

    The first stage runs for every request. An expensive first stage makes the
    cascade cost more than the strongest model alone.
    """
    for outer_index, cascade in enumerate(document.cascades):
        highest_cost = 0
        for inner_index, name in enumerate(cascade.stages):
            cost = _least_cost(document, name)
            if cost is None:
                continue
            if cost < highest_cost:
                path = f'cascades[{outer_index}].stages[{inner_index}]'
                reason = f'model {name!r} is cheaper than a stage before it'
                yield finding_helpers.make_finding(path, reason)
            highest_cost = max(cost, highest_cost)


def check_last_stage_allowed(document: config_data.Document) -> Findings:
    """Report cascades whose last stage an account is not allowed to run.

    The last stage is the one that ensures the quality target. Without it the
    account would get the responses of the cheaper stages, whatever their
    rating.
    """
    cascades_by_name = {cascade.name: cascade for cascade in document.cascades}
    for outer_index, account in enumerate(document.accounts):
        for inner_index, name in enumerate(account.cascades):
            stages = (
                cascades_by_name[name].stages
                if name in cascades_by_name
                else ()
            )
            if stages and not _is_allowed(document, account, stages[-1]):
                path = f'accounts[{outer_index}].cascades[{inner_index}]'
                reason = (
                    f'cascade {name!r} ends in model {stages[-1]!r}, of which '
                    'the account may use no version'
                )
                yield finding_helpers.make_finding(path, reason)


def _nesting_reason(
    outer_name: str, inner_name: str, cascades: CascadesByName
) -> str:
    if _is_reachable(inner_name, outer_name, cascades):
        return f'cascade {inner_name!r} leads back to {outer_name!r}: a cycle'
    return f'{inner_name!r} is a cascade; a stage must be a model'


def _is_reachable(start: str, target: str, cascades: CascadesByName) -> bool:
    """Return whether stages lead from one cascade to another."""
    seen: set[str] = set()
    pending = [start]
    while pending:
        name = pending.pop()
        if name == target:
            return True
        if name in cascades and name not in seen:
            seen.add(name)
            pending.extend(cascades[name].stages)
    return False


def _least_cost(document: config_data.Document, model: str) -> int | None:
    costs = (
        version.cost_micro
        for _, version in finding_helpers.versions(document)
        if version.ref.model == model and not version.withdrawn
    )
    return min(costs, default=None)


def _is_allowed(
    document: config_data.Document, account: config_data.Account, model: str
) -> bool:
    allowed_versions = finding_helpers.find_allowed_versions(
        document, account, model
    )
    declared = any(
        declared_model.name == model for declared_model in document.models
    )
    return bool(allowed_versions) or not declared


VALIDATIONS = (check_stages, check_costs, check_last_stage_allowed)
