"""Validates the versions and stages of roll-outs."""

import itertools
from collections.abc import Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
ALL_PERCENT = 100


def check_versions(document: config_data.Document) -> Findings:
    """Report a candidate that is the incumbent, and duplicate roll-outs."""
    for rollout_index, rollout in enumerate(document.rollouts):
        if rollout.candidate == rollout.incumbent:
            path = f'rollouts[{rollout_index}].candidate'
            yield finding_helpers.make_finding(path, 'is the incumbent itself')
    yield from finding_helpers.report_duplicates(
        (
            (f'rollouts[{index}].model', declared.model)
            for index, declared in enumerate(document.rollouts)
        ),
        'roll-out of model',
    )


def check_stages(document: config_data.Document) -> Findings:
    """Report shares that do not rise, or do not end at 100 percent."""
    for rollout_index, rollout in enumerate(document.rollouts):
        path = f'rollouts[{rollout_index}].stages'
        stages = rollout.stages
        for before, after in itertools.pairwise(stages):
            if after <= before:
                reason = f'{after} comes after {before}; shares must rise'
                yield finding_helpers.make_finding(path, reason)
        if max(stages, default=0) > ALL_PERCENT:
            yield finding_helpers.make_finding(
                path, f'a share is over {ALL_PERCENT}'
            )
        if stages and stages[-1] != ALL_PERCENT:
            yield finding_helpers.make_finding(
                path, f'the last share must be {ALL_PERCENT}'
            )


def check_reachable(document: config_data.Document) -> Findings:
    """Report a candidate that no account may use: it is never evaluated."""
    for rollout_index, rollout in enumerate(document.rollouts):
        ref = config_data.VersionRef(rollout.model, rollout.candidate)
        if not any(
            _is_allowed(document, listed_account, ref)
            for listed_account in document.accounts
        ):
            path = f'rollouts[{rollout_index}].candidate'
            yield finding_helpers.make_finding(
                path, 'no account may use this version'
            )


def _is_allowed(
    document: config_data.Document,
    account: config_data.Account,
    ref: config_data.VersionRef,
) -> bool:
    allowed_versions = finding_helpers.find_allowed_versions(
        document, account, ref.model
    )
    return any(version.ref == ref for version in allowed_versions)


VALIDATIONS = (check_versions, check_stages, check_reachable)
