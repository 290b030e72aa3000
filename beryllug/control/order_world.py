"""What the orders to a pool follow from, taken from the present view."""

from beryllug.core import config_data, orders_data, view_data, view_parts
from beryllug.drivers import engine_data

# Share of a lease that an order may take.
WRITE_SHARE = 0.25
# A request is taken to have ended after this many times its longest target.
LONGEST_TARGETS = 5
LONGEST_S = 600.0
MS = 1000


def engine_pools(
    document: config_data.Document | None,
) -> dict[str, config_data.Pool]:
    """Return the pools of model engines by name."""
    if document is None:
        return {}
    return {
        pool.name: pool
        for pool in document.pools
        if pool.kind is config_data.PoolKind.ENGINE
    }


def engine_pool(
    document: config_data.Document | None, name: str
) -> config_data.Pool | None:
    """Return a pool of model engines; None when it is not declared."""
    return engine_pools(document).get(name)


def terms(
    document: config_data.Document | None, lease_s: float, grace_s: float
) -> orders_data.Terms:
    """Return the durations of orders.

    Args:
        document: The document in force.
        lease_s: How long a lease holds.
        grace_s: How long after a withdrawal work may still be sent.
    """
    targets = document.targets if document else ()
    longest_ms = max((target.total_ms for target in targets), default=0)
    write_s = lease_s * WRITE_SHARE
    return orders_data.Terms(
        write_s=write_s,
        settle_s=lease_s + write_s,
        grace_s=grace_s,
        longest_s=max(LONGEST_S, LONGEST_TARGETS * longest_ms / MS),
    )


def world(
    parts: view_parts.ViewParts, pool: str, clock_offset: float
) -> orders_data.World:
    """Return what is known of a pool.

    Args:
        parts: The present view.
        pool: The pool.
        clock_offset: What to add to a second of the wall clock to get one of
            the monotonic clock.
    """
    loads = {load.server_id: load for load in parts.loads}
    sights = tuple(
        _sight(server, loads[server.server_id], clock_offset)
        for server in parts.servers
        if server.pool == pool
        and server.state is view_data.ServerState.LIVE
        and server.server_id in loads
    )
    document = parts.document or config_data.Document()
    return orders_data.World(document, parts.rollouts, sights)


def refreshed(
    before: orders_data.World,
    sight: orders_data.Sight,
    report: engine_data.LoadReport,
    clock_offset: float,
) -> orders_data.World:
    """Return the same with a fresh report of one engine."""
    fresh = sight._replace(
        loaded=frozenset(report.loaded),
        busy=report.running + report.queued,
        seen_at=report.measured_at + clock_offset,
    )
    sights = tuple(
        fresh if one.server_id == sight.server_id else one
        for one in before.sights
    )
    return before._replace(sights=sights)


def address(parts: view_parts.ViewParts, server_id: str) -> str | None:
    """Return the address of a live server."""
    for server in parts.servers:
        if server.server_id == server_id:
            live = server.state is view_data.ServerState.LIVE
            return server.address if live else None
    return None


def _sight(
    server: view_data.BackendServer,
    load: view_data.ServerLoad,
    clock_offset: float,
) -> orders_data.Sight:
    return orders_data.Sight(
        server.server_id,
        server.address,
        frozenset(load.loaded),
        load.running + load.queued,
        load.reported_at + clock_offset,
    )
