"""Validates that references resolve and that pools are of the right kind."""

from collections.abc import Iterable, Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
References = list[tuple[str, str]]


def check_pools(document: config_data.Document) -> Findings:
    """Report pools that are not declared or are of the wrong kind."""
    engines = [
        (f'{path}.pool', version.pool)
        for path, version in finding_helpers.versions(document)
    ]
    services = [
        (f'services[{index}].pool', service.pool)
        for index, service in enumerate(document.services)
    ]
    known = [pool.name for pool in document.pools]
    yield from finding_helpers.report_undeclared(
        [*engines, *services], known, 'pool'
    )
    yield from _wrong_kind(document, engines, config_data.PoolKind.ENGINE)
    yield from _wrong_kind(document, services, config_data.PoolKind.PLAIN)


def check_allowed(document: config_data.Document) -> Findings:
    """Report allowed models and versions that are not declared."""
    models = {model.name for model in document.models}
    declared_versions = {
        version.ref for _, version in finding_helpers.versions(document)
    }
    for account_index, account in enumerate(document.accounts):
        for ref_index, ref in enumerate(account.allowed):
            path = f'accounts[{account_index}].allowed[{ref_index}]'
            if ref.model not in models:
                reason = f'model {ref.model!r} is not declared'
                yield finding_helpers.make_finding(f'{path}.model', reason)
            elif (
                ref.version != config_data.ANY_VERSION
                and ref not in declared_versions
            ):
                reason = f'model {ref.model!r} has no version {ref.version!r}'
                yield finding_helpers.make_finding(f'{path}.version', reason)


def check_account_names(document: config_data.Document) -> Findings:
    """Report cascades and services of an account that are not declared."""
    cascades = [cascade.name for cascade in document.cascades]
    services = [service.name for service in document.services]
    for index, account in enumerate(document.accounts):
        path = f'accounts[{index}]'
        cascade_refs = _references(f'{path}.cascades', account.cascades)
        yield from finding_helpers.report_undeclared(
            cascade_refs, cascades, 'cascade'
        )
        service_refs = _references(f'{path}.services', account.services)
        yield from finding_helpers.report_undeclared(
            service_refs, services, 'service'
        )


def check_rollouts(document: config_data.Document) -> Findings:
    """Report undeclared versions of a roll-out."""
    declared_versions = [
        f'{version.ref.model}/{version.ref.version}'
        for _, version in finding_helpers.versions(document)
    ]
    for index, rollout in enumerate(document.rollouts):
        path = f'rollouts[{index}]'
        references = [
            (f'{path}.incumbent', f'{rollout.model}/{rollout.incumbent}'),
            (f'{path}.candidate', f'{rollout.model}/{rollout.candidate}'),
        ]
        yield from finding_helpers.report_undeclared(
            references, declared_versions, 'version'
        )


def _references(path: str, names: Iterable[str]) -> References:
    return [(f'{path}[{index}]', name) for index, name in enumerate(names)]


def _wrong_kind(
    document: config_data.Document,
    references: References,
    kind: config_data.PoolKind,
) -> Findings:
    wrong_pools = {
        pool.name for pool in document.pools if pool.kind is not kind
    }
    for path, name in references:
        if name in wrong_pools:
            reason = f'pool {name!r} must be of kind {kind.value!r}'
            yield finding_helpers.make_finding(path, reason)


VALIDATIONS = (check_pools, check_allowed, check_account_names, check_rollouts)
