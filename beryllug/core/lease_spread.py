"""Which live member is preferred for which lease.

Rendezvous hashing with a bound: no member is preferred for more than its
even share of one kind of lease. All members compute the same from the same
live members; while they believe differently for a moment, two may want one
lease, and the lease itself decides.
"""

import heapq
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from beryllug.core import rendezvous

# Members remembered for each name; more are hardly ever asked for.
TOP = 8
KIND_SEPARATOR = '/'

Scored = tuple[int, str]


@dataclass(slots=True)
class Spread:
    """Preferences, kept so that one member's change costs little.

    Attributes:
        members: The live members they are for.
        tops: Best members of each name with their scores, best first.
        preferred: The preferred member of each name.
    """

    members: frozenset[str] = frozenset()
    tops: dict[str, list[Scored]] = field(default_factory=dict)
    preferred: dict[str, str] = field(default_factory=dict)


def update(
    spread: Spread, names: Iterable[str], members: Iterable[str]
) -> None:
    """Take in the wanted leases and the live members."""
    wanted = sorted(names)
    present = frozenset(members)
    if present == spread.members and wanted == list(spread.preferred):
        return
    joined = present - spread.members
    left = spread.members - present
    spread.members = present
    spread.tops = {
        name: _top(spread.tops.get(name), name, present, joined, left)
        for name in wanted
    }
    spread.preferred = _prefer(spread.tops, len(present))


def rank(spread: Spread, name: str, member: str) -> int:
    """Return a member's place for a lease, 0 for the preferred one."""
    preferred = spread.preferred.get(name)
    if preferred == member:
        return 0
    order = [top for _, top in spread.tops.get(name, ()) if top != preferred]
    return order.index(member) + 1 if member in order else TOP


def heir(spread: Spread, name: str, member: str) -> str | None:
    """Return who is preferred for a lease once a member gives it up."""
    preferred = spread.preferred.get(name)
    if preferred != member:
        return preferred
    order = [top for _, top in spread.tops.get(name, ()) if top != member]
    return order[0] if order else None


def best(spread: Spread, name: str) -> tuple[str, ...]:
    """Return the members that come first for a lease."""
    preferred = spread.preferred.get(name)
    tops = tuple(member for _, member in spread.tops.get(name, ()))
    return tuple(dict.fromkeys((preferred, *tops))) if preferred else tops


def share(spread: Spread, name: str) -> int:
    """Return how many leases of a kind one member should hold at most."""
    kind = _kind(name)
    count = sum(1 for known in spread.preferred if _kind(known) == kind)
    return math.ceil(count / max(1, len(spread.members)))


def excess(spread: Spread, held: Iterable[str], member: str) -> str | None:
    """Return a held lease that should go to its preferred member, if any.

    Only a member that holds more than its share gives one up: a lease that
    moves is a short pause for its callers.
    """
    kept = list(held)
    counts = Counter(_kind(name) for name in kept)
    for name in kept:
        strange = spread.preferred.get(name, member) != member
        if strange and counts[_kind(name)] > share(spread, name):
            return name
    return None


def _top(
    known: list[Scored] | None,
    name: str,
    members: frozenset[str],
    joined: frozenset[str],
    left: frozenset[str],
) -> list[Scored]:
    if known is None or any(member in left for _, member in known):
        return heapq.nlargest(TOP, _scores(name, members))
    if not joined:
        return known
    return heapq.nlargest(TOP, [*known, *_scores(name, joined)])


def _scores(name: str, members: Iterable[str]) -> list[Scored]:
    return [(rendezvous.score(name, member), member) for member in members]


def _prefer(tops: dict[str, list[Scored]], count: int) -> dict[str, str]:
    kinds = Counter(_kind(name) for name in tops)
    loads: Counter[tuple[str, str]] = Counter()
    preferred: dict[str, str] = {}
    for name, top in tops.items():
        kind = _kind(name)
        most = math.ceil(kinds[kind] / max(1, count))
        free = (member for _, member in top if loads[kind, member] < most)
        chosen = next(free, top[0][1] if top else '')
        loads[kind, chosen] += 1
        preferred[name] = chosen
    return preferred


def _kind(name: str) -> str:
    return name.partition(KIND_SEPARATOR)[0]
