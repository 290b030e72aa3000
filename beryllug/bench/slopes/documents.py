"""Documents and backend servers of a given size."""

import hashlib
import time

from beryllug.core import config_data, view_data

POOL = 'runners'
MODEL = 'desk'
KEY = 'key-of-account-0'
CONCURRENCY = 512
VERSIONS = 18
ROW = 250
COST_MICRO = 300
FIRST_MS = 20000
TOTAL_MS = 120000
ENGINE = config_data.PoolKind.ENGINE


def document(
    accounts: int = 10, versions: int = VERSIONS
) -> config_data.Document:
    """Return a document with so many client accounts and versions."""
    pools = (config_data.Pool(POOL, ENGINE, CONCURRENCY, checks_fencing=True),)
    classes = ('lookup', 'hold', 'draft', 'report')
    return config_data.Document(
        accounts=tuple(map(account, range(accounts))),
        models=(
            config_data.Model(MODEL, tuple(map(_version, range(versions)))),
        ),
        pools=pools,
        targets=tuple(
            config_data.Targets(name, FIRST_MS, TOTAL_MS) for name in classes
        ),
    )


def account(number: int) -> config_data.Account:
    """Return a client account that may use three models and a cascade."""
    return config_data.Account(
        account_id=f'account-{number:05}',
        key_hashes=(key_hash(f'key-of-account-{number}'),),
        allowed=(
            config_data.VersionRef(MODEL, '*'),
            config_data.VersionRef(MODEL, 'v1'),
            config_data.VersionRef(MODEL, 'v2'),
        ),
    )


def changed(
    declared: config_data.Document, weight: int
) -> config_data.Document:
    """Return a document in which the first account has another weight."""
    first, *others = declared.accounts
    return declared._replace(accounts=(first._replace(weight=weight), *others))


def key_hash(key: str) -> str:
    """Return the hash of a bearer key, as a document states it."""
    return hashlib.sha256(key.encode()).hexdigest()


def servers(count: int, port: int) -> tuple[view_data.BackendServer, ...]:
    """Return so many model engines; one process stands for all of them.

    Each has an address of its own in the loopback network, for a connection
    is kept for each address.
    """
    return tuple(
        view_data.BackendServer(
            f'runner-{number:05}',
            f'127.0.{number // ROW}.{number % ROW + 1}:{port}',
            'zone-0',
            POOL,
            view_data.ServerState.LIVE,
        )
        for number in range(count)
    )


def loads(count: int) -> tuple[view_data.ServerLoad, ...]:
    """Return a load of each of these, with two versions loaded."""
    loaded = (
        config_data.VersionRef(MODEL, 'v0'),
        config_data.VersionRef(MODEL, 'v1'),
    )
    return tuple(
        view_data.ServerLoad(f'runner-{number:05}', 3, 1, time.time(), loaded)
        for number in range(count)
    )


def _version(number: int) -> config_data.Version:
    ref = config_data.VersionRef(MODEL, f'v{number}')
    return config_data.Version(ref, POOL, COST_MICRO)
