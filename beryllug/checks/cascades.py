"""Cascades: their stages and whether accounts can use them."""

from collections.abc import Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
Named = dict[str, config_data.Cascade]


def check_stages(document: config_data.Document) -> Findings:
    """Report stages that are unknown, repeated or cascades themselves."""
    models = {model.name for model in document.models}
    cascades = {cascade.name: cascade for cascade in document.cascades}
    for outer, cascade in enumerate(document.cascades):
        path = f'cascades[{outer}].stages'
        stages = [
            (f'{path}[{inner}]', name)
            for inner, name in enumerate(cascade.stages)
        ]
        yield from places.repeats(stages, 'stage')
        yield from places.unknown(stages, {*models, *cascades}, 'model')
        for place, name in stages:
            if name in cascades:
                yield places.report(
                    place, _nested(cascade.name, name, cascades)
                )


def check_costs(document: config_data.Document) -> Findings:
    """Report a stage that is cheaper than the stage before it.

    The first stage is tried for every request. A dear first stage makes the
    cascade cost more than the strong model alone.
    """
    for outer, cascade in enumerate(document.cascades):
        dearest = 0
        for inner, name in enumerate(cascade.stages):
            cost = _least_cost(document, name)
            if cost is None:
                continue
            if cost < dearest:
                path = f'cascades[{outer}].stages[{inner}]'
                reason = f'model {name!r} is cheaper than a stage before it'
                yield places.report(path, reason)
            dearest = max(cost, dearest)


def check_usable(document: config_data.Document) -> Findings:
    """Report cascades of which an account may run no stage, or not the last.

    The last stage is the one that holds the quality target: an account
    without it would be answered by whatever the cheaper stages gave.
    """
    named = {cascade.name: cascade for cascade in document.cascades}
    for outer, account in enumerate(document.accounts):
        for inner, name in enumerate(account.cascades):
            stages = named[name].stages if name in named else ()
            if stages and not _may_run(document, account, stages[-1]):
                path = f'accounts[{outer}].cascades[{inner}]'
                reason = (
                    f'cascade {name!r} ends in model {stages[-1]!r}, of which '
                    'the account may use no version'
                )
                yield places.report(path, reason)


def _nested(outer: str, inner: str, cascades: Named) -> str:
    if _reaches(inner, outer, cascades):
        return f'cascade {inner!r} leads back to {outer!r}: a cycle'
    return f'{inner!r} is a cascade; a stage must be a model'


def _reaches(start: str, goal: str, cascades: Named) -> bool:
    """Tell whether stages lead from one cascade to another."""
    seen: set[str] = set()
    ahead = [start]
    while ahead:
        name = ahead.pop()
        if name == goal:
            return True
        if name in cascades and name not in seen:
            seen.add(name)
            ahead.extend(cascades[name].stages)
    return False


def _least_cost(document: config_data.Document, model: str) -> int | None:
    costs = (
        version.cost_micro
        for _, version in places.versions(document)
        if version.ref.model == model and not version.withdrawn
    )
    return min(costs, default=None)


def _may_run(
    document: config_data.Document, account: config_data.Account, model: str
) -> bool:
    covered = places.covered(document, account, model)
    declared = any(known.name == model for known in document.models)
    return bool(covered) or not declared


VALIDATIONS = (check_stages, check_costs, check_usable)
