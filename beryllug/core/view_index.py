"""Lookup tables of a view, built once for each new view.

A request must not search the document: with many accounts, a linear search for
each request would cost more than forwarding it.
"""

import hashlib
from typing import NamedTuple

from beryllug.core import config_data, view_data


class ViewIndex(NamedTuple):
    """A view with its lookup tables.

    Attributes:
        view: The view itself.
        accounts: Client accounts by the hash of a bearer key.
        models: Models by name.
        cascades: Cascades by name.
        versions: Versions by reference.
        pools: Pools by name.
        services: Plain services by name.
        servers: Backend servers by pool, live and leaving.
        loads: Reported loads by server.
        targets: Service targets by request class.
    """

    view: view_data.View
    accounts: dict[str, config_data.Account]
    models: dict[str, config_data.Model]
    cascades: dict[str, config_data.Cascade]
    versions: dict[config_data.VersionRef, config_data.Version]
    pools: dict[str, config_data.Pool]
    services: dict[str, config_data.Service]
    servers: dict[str, tuple[view_data.BackendServer, ...]]
    loads: dict[str, view_data.ServerLoad]
    targets: dict[str, config_data.Targets]


def build(view: view_data.View) -> ViewIndex:
    """Build the lookup tables of a view."""
    document = view.document
    return ViewIndex(
        view=view,
        accounts=_accounts_by_key(document),
        models={model.name: model for model in document.models},
        cascades={cascade.name: cascade for cascade in document.cascades},
        versions={
            version.ref: version
            for model in document.models
            for version in model.versions
        },
        pools={pool.name: pool for pool in document.pools},
        services={service.name: service for service in document.services},
        servers=_servers_by_pool(view),
        loads={load.server_id: load for load in view.loads},
        targets={target.request_class: target for target in document.targets},
    )


def account_of(index: ViewIndex, bearer: str) -> config_data.Account | None:
    """Return the client account of a bearer key, or None."""
    digest = hashlib.sha256(bearer.encode()).hexdigest()
    return index.accounts.get(digest)


def _accounts_by_key(
    document: config_data.Document,
) -> dict[str, config_data.Account]:
    return {
        key_hash: account
        for account in document.accounts
        for key_hash in account.key_hashes
    }


def _servers_by_pool(
    view: view_data.View,
) -> dict[str, tuple[view_data.BackendServer, ...]]:
    grouped: dict[str, list[view_data.BackendServer]] = {}
    for server in view.servers:
        grouped.setdefault(server.pool, []).append(server)
    return {pool: tuple(servers) for pool, servers in grouped.items()}
