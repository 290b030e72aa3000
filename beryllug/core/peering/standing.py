"""Who follows the platform's store for the others.

Each watch of each process is a call that wakes it at every change, so that
all processes together would pay for a change as many times as they are. A few
watch instead, chosen by a hash over the living processes, and tell the rest.
A process that hears of no one who watches follows the store itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.peering import members, peering_data

# Processes that watch. With three, two may be cut off or die at a time and
# the third still tells what changes.
WATCHERS = 3
# Seconds without a word of a process that watches, after which one watches
# itself. They speak twice a second; a change is to be in force within two.
SILENT_S = 1.2
SUBJECT = 'store'
# Parts of the wait at a start between which each one's is drawn: where no seed
# answers, not all turn to the store in the same moment.
START_JITTER = (1.0, 2.0)
# Seconds that each chosen one is waited for that does not watch. The word of
# one that begins to watch comes within half a second; three dead ones are
# passed over in less.
PASS_OVER_S = 0.1
# Of a large fleet, so many try soon and the others a second each later: while
# the store is down for all, no one's try succeeds, and a thousand processes
# would press it as it comes back.
SOON = 10
LATE_S = 1.0


class Heard(NamedTuple):
    """When a process last said that it watches, and the store answers it."""

    at: float


@dataclass(slots=True)
class Standing:
    """What this process knows of those who watch.

    Attributes:
        watching: When each was last heard of, by name.
        silent: When the store fell silent for each, by name.
        few_since: Second since which too few are heard of; None if enough.
        waits_until: Second until which this process, which has just started,
            leaves the store to others.
    """

    watching: dict[str, Heard] = field(default_factory=dict)
    silent: dict[str, float] = field(default_factory=dict)
    few_since: float | None = None
    waits_until: float = float('-inf')


def heard(standing: Standing, name: str, now: float) -> None:
    """Take that a process watches and that the store answers it.

    Its word may come again later by a longer way; the latest counts.
    """
    before = standing.watching.get(name)
    is_newer = before is None or before.at < now
    if is_newer and now > standing.silent.get(name, float('-inf')):
        standing.watching[name] = Heard(now)


def silent(standing: Standing, name: str, now: float) -> None:
    """Take that the store has fallen silent for a process that watches.

    What it had said before then, and comes later by a longer way, is over.
    """
    standing.watching.pop(name, None)
    standing.silent = {
        each: at for each, at in standing.silent.items() if now - at <= SILENT_S
    }
    standing.silent[name] = now
    if standing.few_since is None:
        standing.few_since = now


def followers(
    standing: Standing, now: float
) -> tuple[peering_data.Follower, ...]:
    """Return who watches, to tell others."""
    return tuple(
        peering_data.Follower(name, round(now - standing.watching[name].at, 2))
        for name in sorted(watching(standing, now))
    )


def take_followers(
    standing: Standing, told: Iterable[peering_data.Follower], now: float
) -> None:
    """Take who watches, as another process has heard."""
    for word in told:
        heard(standing, word.name, now - word.ago_s)


def watching(standing: Standing, now: float) -> set[str]:
    """Return the names of those who watch."""
    return {
        name
        for name, each in standing.watching.items()
        if now - each.at <= SILENT_S
    }


def started(
    standing: Standing, now: float, wait_s: float, drawn: float
) -> None:
    """Take that this process starts, and leaves the store to others.

    Where a whole fleet starts, those whom all call first, the seeds, read the
    store, and the others learn from them within a tenth of a second. Else all
    follow it for some seconds, and each server that is listed wakes each of
    them. A process that restarts does not wait: callers do, and the seeds may
    be down as well.

    Args:
        standing: What it knows of those who watch.
        now: The present second.
        wait_s: Seconds to wait, at the least.
        drawn: A number from 0 to 1, drawn for this process.
    """
    least, most = START_JITTER
    standing.waits_until = now + wait_s * (least + drawn * (most - least))


def must_watch(standing: Standing, known: members.Members, now: float) -> bool:
    """Tell whether this process is to follow the store itself."""
    if now < standing.waits_until:
        return False
    present = watching(standing, now)
    others = present - {known.name}
    if len(others) >= WATCHERS:
        standing.few_since = None
    elif standing.few_since is None:
        standing.few_since = now
    ranked = members.ranked(known, SUBJECT)
    ahead = ranked[: ranked.index(known.name)]
    watching_ahead = sum(name in present for name in ahead)
    if watching_ahead >= WATCHERS:
        return False
    if known.name in present:
        return True
    # Who was chosen and does not watch, since the store turns it away or it
    # is gone, is passed over after a moment. Without the moment all others
    # would list the whole store at once.
    few_s = 0 if standing.few_since is None else now - standing.few_since
    passed_over = len(ahead) - watching_ahead
    late = max(passed_over - SOON, 0)
    return few_s >= PASS_OVER_S * passed_over + LATE_S * late
