"""Ejection of failing and slow backend servers, and their careful return.

A server that fails each request at once looks idle and would draw all of the
load; one that is ten times slower ruins the tail while its failure count stays
zero. Both get no requests for a time that grows with each ejection. Then one
request at a time tests it: a server that is still bad costs one request a
period and not a burst.
"""

from collections.abc import Iterable

from beryllug.core import balance_data

FAILURES_TO_EJECT = 3
BASE_S = 1.0
MOST_FAILING_S = 4.0
MOST_SLOW_S = 16.0
SLOW_RATIO = 3.0
MIN_SAMPLES = 5
SMOOTHING = 0.2
MOST_EJECTED_PART = 0.5
MOST_RATIO = 100.0


def failed(seen: balance_data.Track, now: float) -> None:
    """Take a failure of the server: a refused connect, a reset, a 5xx."""
    seen.failures += 1
    if seen.returning or seen.failures >= FAILURES_TO_EJECT:
        eject(seen, now, MOST_FAILING_S)


def succeeded(seen: balance_data.Track, ratio: float) -> None:
    """Take an answer of the server.

    Args:
        seen: The server's track.
        ratio: Seen time to first token over the expected one.
    """
    seen.failures = 0
    bounded = min(ratio, MOST_RATIO)
    if seen.returning:
        # What was learnt before the ejection says nothing of it now.
        seen.slowness = bounded
        seen.samples = 0
        seen.returning = False
    seen.slowness += SMOOTHING * (bounded - seen.slowness)
    seen.samples += 1
    if seen.samples > MIN_SAMPLES and bounded < SLOW_RATIO:
        seen.ejections = 0


def eject(seen: balance_data.Track, now: float, most_s: float) -> None:
    """Keep a server from new requests for a while.

    A test of a failing server costs its request a failed connect; a test of a
    slow one costs a slow answer. The first may come more often, and a pool
    that was lost as a whole is back the sooner.

    Args:
        seen: The server's track.
        now: The present second.
        most_s: Longest pause.
    """
    pause_s = min(BASE_S * 2**seen.ejections, most_s)
    seen.ejected_until = now + pause_s
    seen.ejections += 1
    seen.failures = 0
    seen.returning = True


def eject_slow(tracks: Iterable[balance_data.Track], now: float) -> None:
    """Eject the servers of a pool that are far slower than its median.

    At most half of a pool is ejected so: when most of it is slow, the cause is
    load or the version, and fewer servers would make it worse.
    """
    pool = list(tracks)
    judged = [seen for seen in pool if seen.samples >= MIN_SAMPLES]
    if len(judged) < 2:
        return
    ranked = sorted(seen.slowness for seen in judged)
    median = ranked[(len(ranked) - 1) // 2]
    out = sum(is_out(seen, now) for seen in pool)
    room = int(len(pool) * MOST_EJECTED_PART) - out
    slow = [
        seen
        for seen in judged
        if seen.slowness > median * SLOW_RATIO and not seen.returning
    ]
    for seen in slow[: max(room, 0)]:
        seen.samples = 0
        eject(seen, now, MOST_SLOW_S)


def is_out(seen: balance_data.Track, now: float) -> bool:
    """Tell whether a server may not have another request now."""
    if now < seen.ejected_until:
        return True
    return seen.returning and seen.in_flight > 0
