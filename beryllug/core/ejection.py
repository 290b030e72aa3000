"""Ejection of failing and slow backend servers, and their gradual return.

A server that fails each request at once looks idle and would attract all of
the load; one that is ten times slower spoils the tail latency while its
failure count stays zero. Both get no requests for a time that grows with each
ejection. Afterwards the server is probed with one request at a time, so one
that is still bad costs one request per period instead of a burst.
"""

from collections.abc import Iterable

from beryllug.core import balance_data

FAILURES_TO_EJECT = 3
BASE_PAUSE_S = 1.0
MAX_FAILING_PAUSE_S = 4.0
MAX_SLOW_PAUSE_S = 16.0
SLOW_RATIO = 3.0
MIN_SAMPLES = 5
SMOOTHING = 0.2
MAX_EJECTED_FRACTION = 0.5
MAX_RATIO = 100.0


def record_failure(stats: balance_data.ServerStats, now: float) -> None:
    """Record a failure: a refused connection, a reset or a 5xx status."""
    stats.failures += 1
    if stats.returning or stats.failures >= FAILURES_TO_EJECT:
        eject(stats, now, MAX_FAILING_PAUSE_S)


def record_success(stats: balance_data.ServerStats, ratio: float) -> None:
    """Record an answer of the server.

    Args:
        stats: Observations of the server.
        ratio: Measured time to first token divided by the expected one.
    """
    stats.failures = 0
    bounded = min(ratio, MAX_RATIO)
    if stats.returning:
        # Samples from before the ejection no longer describe the server.
        stats.slowness = bounded
        stats.samples = 0
        stats.returning = False
    stats.slowness += SMOOTHING * (bounded - stats.slowness)
    stats.samples += 1
    if stats.samples > MIN_SAMPLES and bounded < SLOW_RATIO:
        stats.ejections = 0


def eject(
    stats: balance_data.ServerStats, now: float, max_pause_s: float
) -> None:
    """Send a server no new requests for a while.

    Probing a failing server costs a request one failed connection; probing a
    slow one costs a slow answer. Failing servers may therefore be probed more
    often, so a pool whose servers all failed recovers sooner.

    Args:
        stats: Observations of the server.
        now: The current time in seconds.
        max_pause_s: Upper bound of the pause.
    """
    pause_s = min(BASE_PAUSE_S * 2**stats.ejections, max_pause_s)
    stats.ejected_until = now + pause_s
    stats.ejections += 1
    stats.failures = 0
    stats.returning = True


def readmit(stats: balance_data.ServerStats) -> None:
    """End an ejection whose cause was not the server."""
    stats.ejected_until = 0
    stats.ejections = 0
    stats.failures = 0
    stats.returning = False


def eject_slow(tracks: Iterable[balance_data.ServerStats], now: float) -> None:
    """Eject the servers of a pool that are far slower than its median.

    At most half of a pool is ejected this way: when most servers are slow, the
    cause is load or the model version, and fewer servers would make it worse.
    """
    pool = list(tracks)
    measured = [stats for stats in pool if stats.samples >= MIN_SAMPLES]
    if len(measured) < 2:
        return
    ranked = sorted(stats.slowness for stats in measured)
    median = ranked[(len(ranked) - 1) // 2]
    ejected_count = sum(is_ejected(stats, now) for stats in pool)
    allowance = int(len(pool) * MAX_EJECTED_FRACTION) - ejected_count
    slow = [
        stats
        for stats in measured
        if stats.slowness > median * SLOW_RATIO and not stats.returning
    ]
    for stats in slow[: max(allowance, 0)]:
        stats.samples = 0
        eject(stats, now, MAX_SLOW_PAUSE_S)


def is_ejected(stats: balance_data.ServerStats, now: float) -> bool:
    """Return whether a server must not get another request now."""
    if now < stats.ejected_until:
        return True
    return stats.returning and stats.in_flight > 0
