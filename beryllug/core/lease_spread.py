"""Assign a preferred live member to each lease.

Rendezvous hashing with bounded loads: no member is preferred for more than
its even share of one kind of lease. All members compute the same result from
the same live members. While their views differ, two may want one lease, and
the conditional write of the lease decides.
"""

import heapq
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from beryllug.core import rendezvous

# Ranked members kept for each name; lower ranks are rarely needed.
MAX_RANKED = 8
KIND_SEPARATOR = '/'

ScoredMember = tuple[int, str]


@dataclass(slots=True)
class LeasePreferences:
    """Preferences, kept so that an update after one change is cheap.

    Attributes:
        members: The live members of the last update.
        ranked: Best members of each name with their scores, best first.
        preferred: The preferred member of each name.
    """

    members: frozenset[str] = frozenset()
    ranked: dict[str, list[ScoredMember]] = field(default_factory=dict)
    preferred: dict[str, str] = field(default_factory=dict)


def update(
    spread: LeasePreferences, names: Iterable[str], members: Iterable[str]
) -> None:
    """Recompute the preferences for the wanted leases and live members."""
    wanted = sorted(names)
    present = frozenset(members)
    if present == spread.members and wanted == list(spread.preferred):
        return
    joined = present - spread.members
    left = spread.members - present
    spread.members = present
    spread.ranked = {
        name: _rank_members(
            spread.ranked.get(name), name, present, joined, left
        )
        for name in wanted
    }
    spread.preferred = _assign_preferred(spread.ranked, len(present))


def rank(spread: LeasePreferences, name: str, member: str) -> int:
    """Return a member's rank for a lease, 0 for the preferred one."""
    preferred = spread.preferred.get(name)
    if preferred == member:
        return 0
    order = [
        other for _, other in spread.ranked.get(name, ()) if other != preferred
    ]
    return order.index(member) + 1 if member in order else MAX_RANKED


def successor_of(
    spread: LeasePreferences, name: str, member: str
) -> str | None:
    """Return the preferred member for a lease that a member gives up."""
    preferred = spread.preferred.get(name)
    if preferred != member:
        return preferred
    order = [
        other for _, other in spread.ranked.get(name, ()) if other != member
    ]
    return order[0] if order else None


def best(spread: LeasePreferences, name: str) -> tuple[str, ...]:
    """Return the best ranked members for a lease, the preferred one first."""
    preferred = spread.preferred.get(name)
    ranked = tuple(member for _, member in spread.ranked.get(name, ()))
    return tuple(dict.fromkeys((preferred, *ranked))) if preferred else ranked


def share(spread: LeasePreferences, name: str) -> int:
    """Return how many leases of a kind one member should hold at most."""
    kind = _kind(name)
    count = sum(1 for known in spread.preferred if _kind(known) == kind)
    return math.ceil(count / max(1, len(spread.members)))


def excess(
    spread: LeasePreferences, held: Iterable[str], member: str
) -> str | None:
    """Return a held lease that should go to its preferred member, if any.

    Only a member that holds more than its share gives one up: moving a lease
    pauses its callers for a short time.
    """
    held_names = list(held)
    counts = Counter(_kind(name) for name in held_names)
    for name in held_names:
        is_misplaced = spread.preferred.get(name, member) != member
        if is_misplaced and counts[_kind(name)] > share(spread, name):
            return name
    return None


def _rank_members(
    known: list[ScoredMember] | None,
    name: str,
    members: frozenset[str],
    joined: frozenset[str],
    left: frozenset[str],
) -> list[ScoredMember]:
    if known is None or any(member in left for _, member in known):
        return heapq.nlargest(MAX_RANKED, _scores(name, members))
    if not joined:
        return known
    return heapq.nlargest(MAX_RANKED, [*known, *_scores(name, joined)])


def _scores(name: str, members: Iterable[str]) -> list[ScoredMember]:
    return [(rendezvous.score(name, member), member) for member in members]


def _assign_preferred(
    ranked: dict[str, list[ScoredMember]], count: int
) -> dict[str, str]:
    kinds = Counter(_kind(name) for name in ranked)
    loads: Counter[tuple[str, str]] = Counter()
    preferred: dict[str, str] = {}
    for name, ranked_members in ranked.items():
        kind = _kind(name)
        max_load = math.ceil(kinds[kind] / max(1, count))
        below_max = (
            member
            for _, member in ranked_members
            if loads[kind, member] < max_load
        )
        chosen = next(below_max, ranked_members[0][1] if ranked_members else '')
        loads[kind, chosen] += 1
        preferred[name] = chosen
    return preferred


def _kind(name: str) -> str:
    return name.partition(KIND_SEPARATOR)[0]
