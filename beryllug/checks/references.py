"""Names that must be declared, and pools that must be of the right kind."""

from collections.abc import Iterable, Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
Uses = list[tuple[str, str]]


def check_pools(document: config_data.Document) -> Findings:
    """Report pools that are not declared or are of the other kind."""
    engines = [
        (f'{path}.pool', version.pool)
        for path, version in places.versions(document)
    ]
    services = [
        (f'services[{place}].pool', service.pool)
        for place, service in enumerate(document.services)
    ]
    known = [pool.name for pool in document.pools]
    yield from places.unknown([*engines, *services], known, 'pool')
    yield from _other_kind(document, engines, config_data.PoolKind.ENGINE)
    yield from _other_kind(document, services, config_data.PoolKind.PLAIN)


def check_allowed(document: config_data.Document) -> Findings:
    """Report allowed models and versions that are not declared."""
    models = {model.name for model in document.models}
    refs = {version.ref for _, version in places.versions(document)}
    for outer, account in enumerate(document.accounts):
        for inner, ref in enumerate(account.allowed):
            path = f'accounts[{outer}].allowed[{inner}]'
            if ref.model not in models:
                reason = f'model {ref.model!r} is not declared'
                yield places.report(f'{path}.model', reason)
            elif ref.version != config_data.ANY_VERSION and ref not in refs:
                reason = f'model {ref.model!r} has no version {ref.version!r}'
                yield places.report(f'{path}.version', reason)


def check_account_names(document: config_data.Document) -> Findings:
    """Report cascades and services of an account that are not declared."""
    cascades = [cascade.name for cascade in document.cascades]
    services = [service.name for service in document.services]
    for place, account in enumerate(document.accounts):
        path = f'accounts[{place}]'
        asked = _uses(f'{path}.cascades', account.cascades)
        yield from places.unknown(asked, cascades, 'cascade')
        called = _uses(f'{path}.services', account.services)
        yield from places.unknown(called, services, 'service')


def check_rollouts(document: config_data.Document) -> Findings:
    """Report versions of a roll-out that are not declared."""
    refs = [
        f'{version.ref.model}/{version.ref.version}'
        for _, version in places.versions(document)
    ]
    for place, rollout in enumerate(document.rollouts):
        path = f'rollouts[{place}]'
        uses = [
            (f'{path}.incumbent', f'{rollout.model}/{rollout.incumbent}'),
            (f'{path}.candidate', f'{rollout.model}/{rollout.candidate}'),
        ]
        yield from places.unknown(uses, refs, 'version')


def _uses(path: str, names: Iterable[str]) -> Uses:
    return [(f'{path}[{place}]', name) for place, name in enumerate(names)]


def _other_kind(
    document: config_data.Document, uses: Uses, kind: config_data.PoolKind
) -> Findings:
    others = {pool.name for pool in document.pools if pool.kind is not kind}
    for path, name in uses:
        if name in others:
            reason = f'pool {name!r} must be of kind {kind.value!r}'
            yield places.report(path, reason)


VALIDATIONS = (check_pools, check_allowed, check_account_names, check_rollouts)
