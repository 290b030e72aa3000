"""Membership: the live processes of the role `router`.

A process is gone when it says that it stops, or when two calls to it failed;
whoever detects that notifies all others. Silence alone is a slow signal: with
a few calls a second, news of any one process of a large fleet arrives only now
and then, so the timeout grows with the size of the fleet. A later sign of
life, which also spreads to the others, makes the process a member again.

Nothing requires all processes to have the same view: it determines which peers
are called, and by how many processes a fleet-wide limit is divided.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import rendezvous
from beryllug.core.peering import peering_data

# Seconds without a sign of life after which a process counts as gone; in a
# fleet of more than ten, this many per process. Each process calls two peers a
# second and includes six others in each message. With one timeout for all
# sizes, processes of a large fleet expire one another all the time, and the
# watchers of the store keep changing.
PEER_TIMEOUT_S = 6.0
PEER_TIMEOUT_PER_PEER_S = 0.6
# Seconds for which a process that is gone is remembered. Older news of it is
# ignored, and it is called now and then: after a network partition the two
# halves of a fleet would otherwise stay separate when the link is back.
GONE_PEER_RETENTION_S = 600.0
# Processes included in one message. With a few in each, all processes are known
# everywhere after a few rounds, whatever the size of the fleet.
MAX_PEERS_PER_MESSAGE = 6


class KnownPeer(NamedTuple):
    """A known process.

    Attributes:
        address: Address for calls.
        notes: Address for datagrams.
        heard_at: Time of its last sign of life, in seconds.
        zone: Its availability zone, or empty if unknown.
    """

    address: str
    notes: str
    heard_at: float
    zone: str = ''


class GonePeer(NamedTuple):
    """A process that is gone, with the time and its address."""

    at: float
    address: str


@dataclass(slots=True)
class Members:
    """The processes known to this one, by name, without itself.

    Attributes:
        name: Name of this process.
        known: Live processes; changed only by the functions of this module.
        gone: Processes that are gone.
        orders: Cached ranking of all names by subject, until a process joins
            or leaves.
        zones: Cached names in a zone and elsewhere, by zone.
    """

    name: str
    known: dict[str, KnownPeer] = field(default_factory=dict)
    gone: dict[str, GonePeer] = field(default_factory=dict)
    orders: dict[str, list[str]] = field(default_factory=dict)
    zones: dict[str, tuple[list[str], list[str]]] = field(default_factory=dict)


def record_peer(members: Members, name: str, seen: KnownPeer) -> bool:
    """Record a sign of life; return whether the process was unknown."""
    gone = members.gone.get(name)
    is_outdated = gone is not None and seen.heard_at <= gone.at
    if name == members.name or is_outdated:
        return False
    members.gone.pop(name, None)
    before = members.known.get(name)
    if before is None or before.heard_at < seen.heard_at:
        members.known[name] = seen
    if before is None or before.zone != seen.zone:
        _clear_caches(members)
    return before is None


def refresh_peer(members: Members, name: str, now: float) -> None:
    """Record a sign of life that does not carry the process's address."""
    known = members.known.get(name)
    if known is not None:
        members.known[name] = known._replace(heard_at=now)


def mark_gone(members: Members, name: str, at: float) -> bool:
    """Remove a process that was gone at a given time.

    Returns:
        Whether it was removed; it stays if a later sign of life is known.
    """
    known = members.known.get(name)
    if known is None or known.heard_at > at:
        return False
    members.known.pop(name)
    members.gone[name] = GonePeer(at, known.address)
    _clear_caches(members)
    return True


def peer_timeout_s(members: Members) -> float:
    """Return the seconds of silence after which a process counts as gone."""
    return max(PEER_TIMEOUT_S, PEER_TIMEOUT_PER_PEER_S * len(members.known))


def count_known_and_gone(members: Members) -> int:
    """Count live and gone processes, including this one."""
    return 1 + len(members.known) + len(members.gone)


def expire_peers(members: Members, now: float) -> list[str]:
    """Remove processes that have been silent too long; return their names."""
    timeout_s = peer_timeout_s(members)
    silent = [
        name
        for name, known in members.known.items()
        if now - known.heard_at > timeout_s
    ]
    for peer in silent:
        mark_gone(members, peer, now)
    members.gone = {
        name: gone
        for name, gone in members.gone.items()
        if now - gone.at < GONE_PEER_RETENTION_S
    }
    return silent


def name_of(members: Members, address: str) -> str | None:
    """Return the name of the process with an address, if it is known."""
    return next(
        (
            name
            for name, known in members.known.items()
            if known.address == address
        ),
        None,
    )


def sample_peers(
    members: Members, now: float, rng: random.Random
) -> tuple[peering_data.Peer, ...]:
    """Return a random sample of the known processes to send to a peer."""
    selected = rng.sample(
        sorted(members.known), min(MAX_PEERS_PER_MESSAGE, len(members.known))
    )
    return tuple(
        peering_data.Peer(
            name,
            members.known[name].address,
            members.known[name].notes,
            round(now - members.known[name].heard_at, 2),
            members.known[name].zone,
        )
        for name in selected
    )


def ranked(members: Members, subject: str) -> list[str]:
    """Return all names, including this process's, by rank for a subject.

    The ranking is read several times a second and changes several times a
    minute, so it is cached until a process joins or leaves.
    """
    ranking = members.orders.get(subject)
    if ranking is None:
        ranking = rendezvous.order(subject, [members.name, *members.known])
        members.orders[subject] = ranking
    return ranking


def by_zone(members: Members, zone: str) -> tuple[list[str], list[str]]:
    """Return the sorted names of processes in a zone, and of the others."""
    split = members.zones.get(zone)
    if split is None:
        near: list[str] = []
        far: list[str] = []
        for name in sorted(members.known):
            is_near = members.known[name].zone == zone
            (near if is_near else far).append(name)
        split = near, far
        members.zones[zone] = split
    return split


def choose_gossip_peers(
    members: Members, zone: str, count: int, rng: random.Random
) -> list[str]:
    """Return random peers to exchange digests with: one of a zone, then any.

    Traffic between zones is billed, hence the one of the own zone. Every
    process is still called within some rounds, and each sends news to other
    zones once a second, as it would in any case.
    """
    near, far = by_zone(members, zone)
    chosen = rng.sample(near, min(1, len(near)))
    others = [name for name in (*near, *far) if name not in chosen]
    other_count = min(count - len(chosen), len(others))
    return chosen + rng.sample(others, other_count)


def addresses(members: Members, names: Iterable[str]) -> list[str]:
    """Return the call addresses of the named processes that are known."""
    return [
        members.known[name].address for name in names if name in members.known
    ]


def note_addresses(members: Members, names: Iterable[str]) -> list[str]:
    """Return the datagram addresses of the named processes that are known."""
    return [
        members.known[name].notes for name in names if name in members.known
    ]


def other_zones(members: Members, zone: str) -> list[str]:
    """Return the zones of the known processes, except one."""
    return sorted({each.zone for each in members.known.values()} - {zone})


def _clear_caches(members: Members) -> None:
    """Clear what is derived from the set of known names and zones."""
    members.orders.clear()
    members.zones.clear()
