"""Derives the inputs of the order decisions from the current view."""

from beryllug.core import config_data, orders_data, view_data, view_parts
from beryllug.drivers import engine_data

# Timeout of an order as a share of the lease duration.
WRITE_SHARE = 0.25
# A request is assumed to have ended after this multiple of the longest target.
LONGEST_TARGET_FACTOR = 5
MIN_LONGEST_REQUEST_S = 600.0
MS_PER_S = 1000


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
) -> orders_data.OrderLimits:
    """Return the timeouts and delays of orders.

    Args:
        document: The document in force.
        lease_s: Duration of a lease.
        grace_s: Seconds after a withdrawal in which requests for the version
            may still be sent.
    """
    targets = document.targets if document else ()
    longest_ms = max((target.total_ms for target in targets), default=0)
    write_s = lease_s * WRITE_SHARE
    return orders_data.OrderLimits(
        write_s=write_s,
        settle_s=lease_s + write_s,
        grace_s=grace_s,
        longest_s=max(
            MIN_LONGEST_REQUEST_S, LONGEST_TARGET_FACTOR * longest_ms / MS_PER_S
        ),
    )


def world(
    parts: view_parts.ViewParts, pool: str, clock_offset: float
) -> orders_data.PoolSnapshot:
    """Return the known state of a pool.

    Args:
        parts: The current view.
        pool: Name of the pool.
        clock_offset: Difference from the wall clock to the monotonic clock,
            in seconds.
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
    return orders_data.PoolSnapshot(document, parts.rollouts, sights)


def with_report(
    before: orders_data.PoolSnapshot,
    sight: orders_data.EngineReport,
    report: engine_data.LoadReport,
    clock_offset: float,
) -> orders_data.PoolSnapshot:
    """Return the state updated with a new load report of one engine."""
    updated = sight._replace(
        loaded=frozenset(report.loaded),
        busy=report.running + report.queued,
        seen_at=report.measured_at + clock_offset,
    )
    sights = tuple(
        updated if one.server_id == sight.server_id else one
        for one in before.engine_reports
    )
    return before._replace(engine_reports=sights)


def address(parts: view_parts.ViewParts, server_id: str) -> str | None:
    """Return the address of a server; None if it is not live."""
    for server in parts.servers:
        if server.server_id == server_id:
            live = server.state is view_data.ServerState.LIVE
            return server.address if live else None
    return None


def _sight(
    server: view_data.BackendServer,
    load: view_data.ServerLoad,
    clock_offset: float,
) -> orders_data.EngineReport:
    return orders_data.EngineReport(
        server.server_id,
        server.address,
        frozenset(load.loaded),
        load.running + load.queued,
        load.reported_at + clock_offset,
    )
