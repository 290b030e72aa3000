"""Which processes of the role there are, by signs of life.

A process that was not heard of for a while is taken for gone and forgotten.
Nothing depends on all processes having the same view: it decides whom to
call, and by how many a bound of the fleet is divided.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import rendezvous
from beryllug.core.peering import peering_data

# Seconds without a sign of life after which a process counts as gone. Each
# one calls two peers a second, so a word of it comes round in three.
ALIVE_S = 6.0
# Processes that are told of in one message: with some in each, all are known
# everywhere after a few rounds, whatever the size of the fleet.
TOLD = 6


class Known(NamedTuple):
    """A process that was heard of.

    Attributes:
        address: Where it is called.
        notes: Where it takes datagrams.
        heard_at: Second of the last sign of life of it.
    """

    address: str
    notes: str
    heard_at: float


@dataclass(slots=True)
class Members:
    """The processes that this one knows, by name, without itself."""

    name: str
    known: dict[str, Known] = field(default_factory=dict)


def heard(members: Members, name: str, seen: Known) -> bool:
    """Take a sign of life; returns whether the process was unknown."""
    if name == members.name:
        return False
    before = members.known.get(name)
    if before is None or before.heard_at < seen.heard_at:
        members.known[name] = seen
    return before is None


def left(members: Members, name: str) -> None:
    """Forget a process that said it stops."""
    members.known.pop(name, None)


def forget(members: Members, now: float) -> list[str]:
    """Forget processes that were not heard of for long; returns their names."""
    gone = [
        name
        for name, known in members.known.items()
        if now - known.heard_at > ALIVE_S
    ]
    for name in gone:
        members.known.pop(name)
    return gone


def told(
    members: Members, now: float, rng: random.Random
) -> tuple[peering_data.Peer, ...]:
    """Return some of the known processes, to tell a peer of them."""
    chosen = rng.sample(sorted(members.known), min(TOLD, len(members.known)))
    return tuple(
        peering_data.Peer(
            name,
            members.known[name].address,
            members.known[name].notes,
            round(now - members.known[name].heard_at, 2),
        )
        for name in chosen
    )


def ranked(members: Members, subject: str) -> list[str]:
    """Return all names, this process's too, by preference for a subject."""
    return rendezvous.order(subject, [members.name, *members.known])


def addresses(members: Members, names: Iterable[str]) -> list[str]:
    """Return the addresses of processes that are known."""
    return [
        members.known[name].address for name in names if name in members.known
    ]
