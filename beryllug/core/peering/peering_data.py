"""Messages between processes of the role `router`.

They travel as MessagePack arrays, so fields are only added at the end and
with a default.
"""

from typing import NamedTuple

from beryllug.core.canary import canary_data


class Peer(NamedTuple):
    """A process that was heard of.

    Attributes:
        name: Its name; unique in the fleet.
        address: Where it is called.
        notes: Where it takes datagrams.
        heard_ago_s: Seconds since a sign of life of it.
    """

    name: str
    address: str
    notes: str
    heard_ago_s: float


class RolloutNews(NamedTuple):
    """How far a roll-out has come, as the sender knows.

    Attributes:
        service: Its service.
        target: Its version.
        phase: How far it has come.
        age_s: Seconds since its order, as far as the sender knows.
    """

    service: str
    target: str
    phase: canary_data.Phase
    age_s: float


class TallyNews(NamedTuple):
    """What the sender has seen of a roll-out since its order."""

    service: str
    target: str
    requests: int
    tried: int
    answers: dict[str, canary_data.Answers]
    old: canary_data.Answers
    new_pace: dict[str, canary_data.Pace]
    old_pace: dict[str, canary_data.Pace]


class Loads(NamedTuple):
    """Seconds of reading that the sender has sent to each model runner."""

    name: str
    seconds: dict[str, float]


class Digest(NamedTuple):
    """What a process tells when it calls a peer, and what it is answered.

    Attributes:
        name: Name of the sender.
        address: Where it is called.
        notes: Where it takes datagrams.
        is_leaving: Whether it stops.
        table_version: Version of its route table, 0 for none.
        servers_revision: Revision of the store up to which it knows the
            backend servers; 0 where it does not know them.
        is_cut_off: Whether the store does not answer it at present.
        peers: Some of the processes that it knows.
        rollouts: The roll-outs that it knows.
        tallies: What it has seen of open ones.
        table: The stored route table as JSON, for a peer with an older one.
        servers: The stored entries of backend servers as JSON, by instance,
            for a peer that the store does not answer.
    """

    name: str
    address: str
    notes: str
    is_leaving: bool = False
    table_version: int = 0
    servers_revision: int = 0
    is_cut_off: bool = False
    peers: tuple[Peer, ...] = ()
    rollouts: tuple[RolloutNews, ...] = ()
    tallies: tuple[TallyNews, ...] = ()
    table: bytes = b''
    servers: bytes = b''
