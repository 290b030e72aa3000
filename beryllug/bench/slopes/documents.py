"""Builds configuration documents and backend servers of a given size."""

import hashlib
import time

from beryllug.core import config_data, view_data

POOL = 'runners'
MODEL = 'desk'
KEY = 'key-of-account-0'
CONCURRENCY = 512
VERSIONS = 18
SUBNET_SIZE = 250
COST_MICRO = 300
TARGET_FIRST_TOKEN_MS = 20000
TARGET_TOTAL_MS = 120000
ENGINE = config_data.PoolKind.ENGINE


def document(
    accounts: int = 10, versions: int = VERSIONS
) -> config_data.Document:
    """Return a document with that many client accounts and versions."""
    pools = (config_data.Pool(POOL, ENGINE, CONCURRENCY, checks_fencing=True),)
    classes = ('lookup', 'hold', 'draft', 'report')
    return config_data.Document(
        accounts=tuple(map(account, range(accounts))),
        models=(
            config_data.Model(MODEL, tuple(map(_version, range(versions)))),
        ),
        pools=pools,
        targets=tuple(
            config_data.Targets(name, TARGET_FIRST_TOKEN_MS, TARGET_TOTAL_MS)
            for name in classes
        ),
    )


def account(number: int) -> config_data.Account:
    """Return a client account with three entries in its allowed list."""
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
    original: config_data.Document, weight: int
) -> config_data.Document:
    """Return a copy of a document with a new weight for its first account."""
    first, *others = original.accounts
    return original._replace(accounts=(first._replace(weight=weight), *others))


def key_hash(key: str) -> str:
    """Return the hash of a bearer key in the form used in a document."""
    return hashlib.sha256(key.encode()).hexdigest()


def servers(count: int, port: int) -> tuple[view_data.BackendServer, ...]:
    """Return model engines that are all served by one process.

    Each has its own loopback address, because one connection is kept per
    address.
    """
    return tuple(
        view_data.BackendServer(
            f'runner-{number:05}',
            f'127.0.{number // SUBNET_SIZE}.{number % SUBNET_SIZE + 1}:{port}',
            'zone-0',
            POOL,
            view_data.ServerState.LIVE,
        )
        for number in range(count)
    )


def loads(count: int) -> tuple[view_data.ServerLoad, ...]:
    """Return the load of each of these servers, with two versions loaded."""
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
