"""Load of a backend server from lagged reports and our own counts.

An engine reports its load some time after it measured it. What this process
sent and got back since then is known to it exactly, so the report is corrected
by that. Without the correction every dispatch inside one lag sees the same
idle server and all of them go there.
"""

import math
from collections.abc import Iterable

from beryllug.core import balance_data, view_data

KEPT_S = 5.0
STALE_S = 5.0
SMOOTHING_S = 0.5
DEVIATIONS = 2.0


def track(
    state: balance_data.BalanceState, server_id: str
) -> balance_data.Track:
    """Return the track of a server, a new one at its first use."""
    found = state.tracks.get(server_id)
    if found is None:
        found = balance_data.Track()
        state.tracks[server_id] = found
    return found


def dispatched(
    state: balance_data.BalanceState, server_id: str, now: float
) -> None:
    """Count a request that goes to a server."""
    _change(track(state, server_id), 1, now)


def finished(
    state: balance_data.BalanceState, server_id: str, now: float
) -> None:
    """Count a request that ended on a server, however it ended."""
    _change(track(state, server_id), -1, now)


def report(
    state: balance_data.BalanceState,
    loads: Iterable[view_data.ServerLoad],
    clock_offset: float,
) -> None:
    """Take reported loads.

    Args:
        state: The tracks to change.
        loads: The loads, in any order; older ones than known are passed over.
        clock_offset: What to add to a report's wall-clock second to get a
            second of this process's clock.
    """
    for load in loads:
        seen = track(state, load.server_id)
        measured_at = load.reported_at + clock_offset
        if seen.reported is None or measured_at > seen.reported_at:
            seen.reported = load.running + load.queued
            seen.reported_at = measured_at
            seen.loaded = frozenset(load.loaded)
            _forget(seen, measured_at)


def load_of(seen: balance_data.Track, now: float, others: float = 0) -> float:
    """Return the requests that a server is believed to have now.

    Args:
        seen: The server's track.
        now: The present second.
        others: Requests of other entries that are taken to have followed
            each of ours since the last report.
    """
    if seen.reported is None or not is_reported(seen, now):
        return seen.in_flight
    corrected = seen.reported + seen.change * (1 + others)
    return max(corrected, seen.in_flight)


def pool_load(
    tracks: Iterable[balance_data.Track], entries: int, now: float
) -> float:
    """Return the requests that a pool is believed to have now.

    A plain service reports no load. What the other entries have there is
    taken to be what this one had on the mean of the last seconds, since the
    balancer deals requests out evenly.
    """
    load = 0.0
    mean = 0.0
    ours = 0
    for seen in tracks:
        if is_reported(seen, now):
            load += load_of(seen, now)
        else:
            mean += smoothed(seen, now)
            ours += seen.in_flight
    # A sudden overload shows in our own count seconds before its mean.
    surely = ours - DEVIATIONS * math.sqrt(ours)
    return load + max(ours, entries * max(mean, surely))


def is_reported(seen: balance_data.Track, now: float) -> bool:
    """Tell whether a server's last report still says something."""
    return seen.reported is not None and now - seen.reported_at <= STALE_S


def smoothed(seen: balance_data.Track, now: float) -> float:
    """Return our mean requests on a server over the last seconds."""
    kept = math.exp(-max(now - seen.smoothed_at, 0) / SMOOTHING_S)
    return kept * seen.smoothed + (1 - kept) * seen.in_flight


def keep_only(
    state: balance_data.BalanceState, servers: Iterable[view_data.BackendServer]
) -> None:
    """Forget servers that are no longer listed and have none of ours."""
    listed = {server.server_id for server in servers}
    gone = [
        server_id
        for server_id, seen in state.tracks.items()
        if server_id not in listed and not seen.in_flight
    ]
    for server_id in gone:
        state.tracks.pop(server_id)


def _change(seen: balance_data.Track, sign: int, now: float) -> None:
    seen.smoothed = smoothed(seen, now)
    seen.smoothed_at = now
    seen.in_flight += sign
    seen.changes.append((now, sign))
    seen.change += sign
    _forget(seen, now - KEPT_S)


def _forget(seen: balance_data.Track, until: float) -> None:
    while seen.changes and seen.changes[0][0] <= until:
        seen.change -= seen.changes.popleft()[1]
