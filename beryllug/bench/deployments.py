"""The benchmark deployments: servers, zones, request kinds and targets."""

import pathlib
from typing import NamedTuple, TypedDict

import msgspec

from beryllug.bench import engine, workload
from beryllug.core import config_data, view_data

RUNNERS = 'runners'
RUNNER_SLOTS = 16
PLAIN_SLOTS = 8
ENTRIES = 8
MODEL = config_data.VersionRef('chat', 'v1')
WEIGHT_SCALE = 20
URGENT = frozenset(('lookup', 'hold', 'question'))
DEPLOYMENTS_PATH = pathlib.Path(__file__).with_name('deployments.json')


class Deployment(NamedTuple):
    """One deployment.

    Attributes:
        name: Its name.
        kinds: The kinds of request in its load.
        view: The configuration view of its entry hosts.
        zones: Its availability zones.
    """

    name: str
    kinds: tuple[workload.Kind, ...]
    view: view_data.View
    zones: tuple[str, ...]


class _Shape(TypedDict):
    """One deployment in ``deployments.json``."""

    zones: int
    runners: int
    plain: int
    kinds: tuple[workload.Kind, ...]


class _Declared(TypedDict):
    """The content of ``deployments.json``."""

    targets: tuple[config_data.Targets, ...]
    deployments: dict[str, _Shape]


def load() -> tuple[Deployment, ...]:
    """Return the declared deployments."""
    declared = msgspec.json.decode(
        DEPLOYMENTS_PATH.read_bytes(), type=_Declared
    )
    return tuple(
        _deployment(name, shape, declared['targets'])
        for name, shape in declared['deployments'].items()
    )


def capacity(deployment: Deployment) -> float:
    """Return the requests per second that saturate the first pool.

    This assumes full batches and that every session's prefix is cached.
    """
    rates = []
    for pool in deployment.view.document.pools:
        servers = [
            server
            for server in deployment.view.servers
            if server.pool == pool.name
        ]
        busy_s = sum(
            kind.fraction * _slot_s(kind)
            for kind in deployment.kinds
            if kind.pool == pool.name
        )
        rates.append(len(servers) * pool.concurrency / busy_s)
    return min(rates)


def _slot_s(kind: workload.Kind) -> float:
    if kind.plain:
        return kind.tokens_out * engine.SECONDS_PER_MS
    prefill_s = workload.TURN_TOKENS * engine.PREFILL_TOKEN_S
    unbatched_s = prefill_s + kind.tokens_out * engine.TOKEN_S
    return unbatched_s * (1 + engine.BATCH_SLOWDOWN)


def _deployment(
    name: str, shape: _Shape, targets: tuple[config_data.Targets, ...]
) -> Deployment:
    zones = tuple(f'z{number}' for number in range(shape['zones']))
    engines = config_data.PoolKind.ENGINE
    document = config_data.Document(
        accounts=_accounts(),
        models=(
            config_data.Model(
                MODEL.model, (config_data.Version(MODEL, RUNNERS, 1),)
            ),
        ),
        pools=(
            config_data.Pool(RUNNERS, engines, RUNNER_SLOTS),
            config_data.Pool(
                workload.PLAIN, config_data.PoolKind.PLAIN, PLAIN_SLOTS
            ),
        ),
        targets=targets,
    )
    servers = _servers(RUNNERS, shape['runners'], zones)
    servers += _servers(workload.PLAIN, shape['plain'], zones)
    view = view_data.View(1, document, servers=servers)
    return Deployment(name, shape['kinds'], view, zones)


def _accounts() -> tuple[config_data.Account, ...]:
    return tuple(
        config_data.Account(
            workload.account_name(number),
            (),
            (MODEL,),
            services=(workload.PLAIN,),
            weight=max(round(fraction * WEIGHT_SCALE), 1),
        )
        for number, fraction in enumerate(workload.account_shares())
    )


def _servers(
    pool: str, count: int, zones: tuple[str, ...]
) -> tuple[view_data.BackendServer, ...]:
    return tuple(
        view_data.BackendServer(
            f'{pool}-{number}',
            f'127.0.0.1:{number}',
            zones[number % len(zones)],
            pool,
            view_data.ServerState.LIVE,
        )
        for number in range(count)
    )
