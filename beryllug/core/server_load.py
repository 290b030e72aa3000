"""Load of a backend server from delayed reports and own request counts.

A report arrives some time after an engine measured its load. This process
knows exactly which of its own requests were dispatched and ended since then
and corrects the report accordingly. Without the correction every dispatch
within one reporting delay would go to the same apparently idle server.
"""

import math
from collections.abc import Iterable

from beryllug.core import balance_data, view_data

CHANGES_KEPT_S = 5.0
REPORT_VALID_S = 5.0
SMOOTHING_S = 0.5
DEVIATIONS = 2.0


def stats_of(
    state: balance_data.BalanceState, server_id: str
) -> balance_data.ServerStats:
    """Return the observations of a server, created at the first use."""
    stats = state.server_stats.get(server_id)
    if stats is None:
        stats = balance_data.ServerStats()
        state.server_stats[server_id] = stats
    return stats


def record_dispatch(
    state: balance_data.BalanceState, server_id: str, now: float
) -> None:
    """Count a request that is dispatched to a server."""
    _record_change(stats_of(state, server_id), 1, now)


def record_end(
    state: balance_data.BalanceState, server_id: str, now: float
) -> None:
    """Count a request that ended on a server, with any outcome."""
    _record_change(stats_of(state, server_id), -1, now)


def apply_reports(
    state: balance_data.BalanceState,
    loads: Iterable[view_data.ServerLoad],
    clock_offset: float,
) -> None:
    """Apply reported loads.

    Args:
        state: The state to update.
        loads: The loads, in any order; older than known ones are ignored.
        clock_offset: Added to the wall-clock time of a report to get the time
            of this process's clock.
    """
    for load in loads:
        stats = stats_of(state, load.server_id)
        measured_at = load.reported_at + clock_offset
        if stats.reported is None or measured_at > stats.reported_at:
            stats.reported = load.running + load.queued
            stats.reported_at = measured_at
            stats.loaded = frozenset(load.loaded)
            _drop_changes_until(stats, measured_at)


def load_of(
    stats: balance_data.ServerStats, now: float, others: float = 0
) -> float:
    """Return the estimated number of requests on a server.

    Args:
        stats: Observations of the server.
        now: The current time in seconds.
        others: Assumed requests of other entries for each request of this
            process since the last report.
    """
    if stats.reported is None or not is_reported(stats, now):
        return stats.in_flight
    corrected = stats.reported + stats.change * (1 + others)
    return max(corrected, stats.in_flight)


def pool_load(
    tracks: Iterable[balance_data.ServerStats], entries: int, now: float
) -> float:
    """Return the estimated number of requests on a pool.

    A plain service reports no load. Each other entry is assumed to have as
    many requests there as this one had on average over the last seconds,
    since the load balancer in front distributes requests evenly.
    """
    load = 0.0
    own_mean = 0.0
    own_count = 0
    for stats in tracks:
        if is_reported(stats, now):
            load += load_of(stats, now)
        else:
            own_mean += smoothed(stats, now)
            own_count += stats.in_flight
    # A sudden overload is visible in the count seconds before the mean.
    lower_bound = own_count - DEVIATIONS * math.sqrt(own_count)
    return load + max(own_count, entries * max(own_mean, lower_bound))


def is_reported(stats: balance_data.ServerStats, now: float) -> bool:
    """Return whether the server has a report that is recent enough."""
    return (
        stats.reported is not None and now - stats.reported_at <= REPORT_VALID_S
    )


def smoothed(stats: balance_data.ServerStats, now: float) -> float:
    """Return the recent mean of this process's requests on a server."""
    decay = math.exp(-max(now - stats.smoothed_at, 0) / SMOOTHING_S)
    return decay * stats.smoothed + (1 - decay) * stats.in_flight


def keep_only(
    state: balance_data.BalanceState, servers: Iterable[view_data.BackendServer]
) -> None:
    """Drop servers that are not listed and have no own requests."""
    listed = {server.server_id for server in servers}
    removed = [
        server_id
        for server_id, stats in state.server_stats.items()
        if server_id not in listed and not stats.in_flight
    ]
    for server_id in removed:
        state.server_stats.pop(server_id)


def _record_change(
    stats: balance_data.ServerStats, sign: int, now: float
) -> None:
    stats.smoothed = smoothed(stats, now)
    stats.smoothed_at = now
    stats.in_flight += sign
    stats.changes.append((now, sign))
    stats.change += sign
    _drop_changes_until(stats, now - CHANGES_KEPT_S)


def _drop_changes_until(stats: balance_data.ServerStats, until: float) -> None:
    while stats.changes and stats.changes[0][0] <= until:
        stats.change -= stats.changes.popleft()[1]
