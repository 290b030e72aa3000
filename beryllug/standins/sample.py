"""A sample deployment in the shape of a small resort chain's.

Two client accounts, three models (one with a rollout in progress, one with a
withdrawn version), one cascade and a booking service.
"""

import hashlib

from beryllug.core import config_data
from beryllug.standins import engine_worker, harness

LARGE_KEY = 'key-of-kutch'
SMALL_KEY = 'key-of-saputara'
ZONES = ('zone-1', 'zone-2', 'zone-3')
SMALL = 'runners-small'
LARGE = 'runners-large'
BOOKING = 'booking'
ENGINE = config_data.PoolKind.ENGINE
CONCURRENCY = 16
SMALL_COST = 200
CANDIDATE_COST = 180
LARGE_COST = 2400


def document() -> config_data.Document:
    """Return the configuration document of the sample."""
    return config_data.Document(
        accounts=(
            config_data.Account(
                account_id='kutch',
                key_hashes=(key_hash(LARGE_KEY),),
                allowed=(
                    config_data.VersionRef('desk-small', '*'),
                    config_data.VersionRef('desk-large', 'v1'),
                    config_data.VersionRef('roster', '*'),
                ),
                cascades=('offers',),
                services=(BOOKING,),
                weight=5,
            ),
            config_data.Account(
                account_id='saputara',
                key_hashes=(key_hash(SMALL_KEY),),
                allowed=(config_data.VersionRef('desk-small', 'v1'),),
                services=(BOOKING,),
            ),
        ),
        models=_models(),
        cascades=(
            config_data.Cascade(
                name='offers',
                stages=('desk-small', 'desk-large'),
                quality_target=0.8,
                min_rating=0.7,
            ),
        ),
        rollouts=(
            config_data.Rollout(
                model='desk-small',
                incumbent='v1',
                candidate='v2',
                stages=(5, 25, 100),
                exposure_budget=40,
                max_error_rate=0.05,
                min_rating=0.5,
            ),
        ),
        pools=(
            config_data.Pool(SMALL, ENGINE, CONCURRENCY, checks_fencing=True),
            config_data.Pool(LARGE, ENGINE, CONCURRENCY, checks_fencing=True),
            config_data.Pool(BOOKING, config_data.PoolKind.PLAIN, CONCURRENCY),
        ),
        services=(
            config_data.Service(
                name=BOOKING,
                pool=BOOKING,
                operations=(
                    config_data.Operation('GET', '/slots', repeatable=True),
                    config_data.Operation('POST', '/holds', repeatable=False),
                ),
            ),
        ),
        targets=(
            config_data.Targets('lookup', 1000, 3000),
            config_data.Targets('hold', 2000, 10000),
            config_data.Targets('draft', 3000, 20000),
            config_data.Targets('report', 10000, 120000),
        ),
    )


def servers() -> tuple[harness.ServerPlan, ...]:
    """Return the plans of five model engines and three booking servers."""
    engines = engine_worker.EngineCfg(concurrency=CONCURRENCY)
    small = (_engine(SMALL, index, engines) for index in range(3))
    large = (_engine(LARGE, index, engines) for index in range(2))
    plain = (
        harness.ServerPlan(f'{BOOKING}-{index}', BOOKING, zone)
        for index, zone in enumerate(ZONES)
    )
    return (*small, *large, *plain)


def plan(hosts: int = 2) -> harness.Plan:
    """Return the plan of the sample deployment."""
    return harness.Plan(document(), servers(), hosts, ZONES)


def key_hash(key: str) -> str:
    """Return the hash of a bearer key in the document's format."""
    return hashlib.sha256(key.encode()).hexdigest()


def withdraw(
    declared: config_data.Document, ref: config_data.VersionRef
) -> config_data.Document:
    """Return a copy of the document with one version withdrawn."""
    models = tuple(
        model._replace(
            versions=tuple(
                version._replace(
                    withdrawn=version.withdrawn or version.ref == ref
                )
                for version in model.versions
            )
        )
        for model in declared.models
    )
    return declared._replace(models=models)


def _models() -> tuple[config_data.Model, ...]:
    return (
        config_data.Model(
            'desk-small',
            (
                _version('desk-small', 'v1', SMALL, SMALL_COST),
                _version('desk-small', 'v2', SMALL, CANDIDATE_COST),
            ),
        ),
        config_data.Model(
            'desk-large', (_version('desk-large', 'v1', LARGE, LARGE_COST),)
        ),
        config_data.Model(
            'roster',
            (
                _version('roster', 'v1', LARGE, LARGE_COST)._replace(
                    withdrawn=True
                ),
                _version('roster', 'v2', LARGE, LARGE_COST),
            ),
        ),
    )


def _version(
    model: str, name: str, pool: str, cost_micro: int
) -> config_data.Version:
    ref = config_data.VersionRef(model, name)
    return config_data.Version(ref, pool, cost_micro)


def _engine(
    pool: str, index: int, cfg: engine_worker.EngineCfg
) -> harness.ServerPlan:
    zone = ZONES[index % len(ZONES)]
    return harness.ServerPlan(f'{pool}-{index}', pool, zone, cfg)
