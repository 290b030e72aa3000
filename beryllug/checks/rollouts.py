"""Roll-outs: their versions and their stages."""

import itertools
from collections.abc import Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
ALL = 100


def check_versions(document: config_data.Document) -> Findings:
    """Report a candidate that is the incumbent, and two for one model."""
    for place, rollout in enumerate(document.rollouts):
        if rollout.candidate == rollout.incumbent:
            path = f'rollouts[{place}].candidate'
            yield places.report(path, 'is the incumbent itself')
    yield from places.repeats(
        (
            (f'rollouts[{index}].model', declared.model)
            for index, declared in enumerate(document.rollouts)
        ),
        'roll-out of model',
    )


def check_stages(document: config_data.Document) -> Findings:
    """Report shares that don't rise, or don't end at all sessions."""
    for place, rollout in enumerate(document.rollouts):
        path = f'rollouts[{place}].stages'
        stages = rollout.stages
        for before, after in itertools.pairwise(stages):
            if after <= before:
                reason = f'{after} comes after {before}; shares must rise'
                yield places.report(path, reason)
        if max(stages, default=0) > ALL:
            yield places.report(path, f'a share is over {ALL}')
        if stages and stages[-1] != ALL:
            yield places.report(path, f'the last share must be {ALL}')


def check_reachable(document: config_data.Document) -> Findings:
    """Report a candidate that no account may use: it would never be judged."""
    for place, rollout in enumerate(document.rollouts):
        ref = config_data.VersionRef(rollout.model, rollout.candidate)
        if not any(_covers(document, one, ref) for one in document.accounts):
            path = f'rollouts[{place}].candidate'
            yield places.report(path, 'no account may use this version')


def _covers(
    document: config_data.Document,
    account: config_data.Account,
    ref: config_data.VersionRef,
) -> bool:
    covered = places.covered(document, account, ref.model)
    return any(version.ref == ref for version in covered)


VALIDATIONS = (check_versions, check_stages, check_reachable)
