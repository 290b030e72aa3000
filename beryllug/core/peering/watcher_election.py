"""Which processes watch the platform's store on behalf of the others.

A watch is a long poll that wakes its process at every change, so the cost of a
change would grow with the number of processes that watch. Only a few do,
chosen by rendezvous hash among the live processes, and they forward what they
learn. A process that knows of no watcher watches the store itself.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.peering import members, peering_data

# Processes that watch. With three, two may be partitioned or die at the same
# time and the third still forwards changes.
WATCHERS = 3
# Seconds after which a watcher that has not been heard of no longer counts.
# Watchers announce themselves twice a second, and a change has to take effect
# within two seconds.
SILENT_S = 1.2
RANKING_SUBJECT = 'store'
# Range of the random factor applied to the wait at startup, so that not all
# processes contact the store at the same moment if no seed answers.
START_JITTER = (1.0, 2.0)
# Seconds to wait for each preferred process that does not watch. A process that
# begins to watch is heard of within half a second; three dead ones are skipped
# in less.
SKIP_DELAY_S = 0.1
# Beyond this many skipped processes, each further one adds
# `EXTRA_SKIP_DELAY_S`: while the store is unreachable for all, no attempt
# succeeds, and a thousand processes would overload it when it returns.
MAX_SKIPPED_WITHOUT_DELAY = 10
EXTRA_SKIP_DELAY_S = 1.0


class LastAnnouncement(NamedTuple):
    """When a process last announced a watch that the store answers."""

    at: float


@dataclass(slots=True)
class WatcherState:
    """What this process knows about the watchers.

    Attributes:
        watching: When each watcher was last heard of, by name.
        silent: When the store stopped answering each former watcher, by name.
        too_few_since: Time since which too few watchers are known, or None.
        waits_until: Time until which this process, having just started, leaves
            the store to others.
    """

    watching: dict[str, LastAnnouncement] = field(default_factory=dict)
    silent: dict[str, float] = field(default_factory=dict)
    too_few_since: float | None = None
    waits_until: float = float('-inf')


def record_watcher(standing: WatcherState, name: str, now: float) -> None:
    """Record that a process watches and that the store answers it.

    The same news may arrive again later by a longer path; the latest counts.
    """
    before = standing.watching.get(name)
    is_newer = before is None or before.at < now
    if is_newer and now > standing.silent.get(name, float('-inf')):
        standing.watching[name] = LastAnnouncement(now)


def record_store_silence(standing: WatcherState, name: str, now: float) -> None:
    """Record that the store stopped answering a process that watches.

    Earlier news of its watch that arrives later by a longer path is ignored.
    """
    standing.watching.pop(name, None)
    standing.silent = {
        each: at for each, at in standing.silent.items() if now - at <= SILENT_S
    }
    standing.silent[name] = now
    if standing.too_few_since is None:
        standing.too_few_since = now


def known_watchers(
    standing: WatcherState, now: float
) -> tuple[peering_data.WatcherReport, ...]:
    """Return the current watchers, to send to other processes."""
    return tuple(
        peering_data.WatcherReport(
            name, round(now - standing.watching[name].at, 2)
        )
        for name in sorted(watching(standing, now))
    )


def record_watchers(
    standing: WatcherState,
    reported: Iterable[peering_data.WatcherReport],
    now: float,
) -> None:
    """Record the watchers that another process has reported."""
    for follower in reported:
        record_watcher(standing, follower.name, now - follower.ago_s)


def watching(standing: WatcherState, now: float) -> set[str]:
    """Return the names of the current watchers."""
    return {
        name
        for name, each in standing.watching.items()
        if now - each.at <= SILENT_S
    }


def delay_watch_at_start(
    standing: WatcherState, now: float, wait_s: float, jitter: float
) -> None:
    """Delay the watch of this process, which is starting up.

    When a whole fleet starts, the seeds, which all others call first, read the
    store, and the others learn its content from them within a tenth of a
    second. Without the delay all processes would watch for some seconds, and
    each server that registers would wake every one of them. A process that
    restarts does not wait, as callers are waiting for it and the seeds may be
    down as well.

    Args:
        standing: What this process knows about the watchers.
        now: The current time in seconds.
        wait_s: Minimum wait in seconds.
        jitter: A random number from 0 to 1, drawn for this process.
    """
    lowest, highest = START_JITTER
    standing.waits_until = now + wait_s * (lowest + jitter * (highest - lowest))


def must_watch(
    standing: WatcherState, known: members.Members, now: float
) -> bool:
    """Return whether this process should watch the store itself."""
    return watch_due_at(standing, known, now) <= now


def watch_due_at(
    standing: WatcherState, known: members.Members, now: float
) -> float:
    """Return from when this process should watch the store itself.

    Args:
        standing: What this process knows about the watchers.
        known: The known processes.
        now: The current time in seconds.

    Returns:
        A time in seconds, unless other news comes before; infinite if there
        are enough watchers.
    """
    if now < standing.waits_until:
        return standing.waits_until
    watchers = watching(standing, now)
    others = watchers - {known.name}
    if len(others) >= WATCHERS:
        standing.too_few_since = None
    elif standing.too_few_since is None:
        standing.too_few_since = now
    ranking = members.ranked(known, RANKING_SUBJECT)
    preferred = ranking[: ranking.index(known.name)]
    preferred_watchers = sum(name in watchers for name in preferred)
    if preferred_watchers >= WATCHERS:
        return math.inf
    if known.name in watchers:
        return now
    # A preferred process may not watch because the store rejects it or because
    # it is gone. It is skipped after a short delay; without the delay all
    # others would list the whole store at once.
    too_few_since = now
    if standing.too_few_since is not None:
        too_few_since = standing.too_few_since
    skipped = len(preferred) - preferred_watchers
    skipped_late = max(skipped - MAX_SKIPPED_WITHOUT_DELAY, 0)
    return (
        too_few_since
        + SKIP_DELAY_S * skipped
        + EXTRA_SKIP_DELAY_S * skipped_late
    )
