"""Records of the membership of control processes."""

from enum import StrEnum
from typing import NamedTuple


class Status(StrEnum):
    """Status of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class Member(NamedTuple):
    """A control process, as known to its peers.

    Attributes:
        name: Its name in the fleet.
        address: Its address for peers.
        zone: Its availability zone.
        incarnation: Grows with each start of the process, and each time it
            refutes a false report about itself.
        status: Its status.
        started: Its incarnation when it started; it differs after a restart.
    """

    name: str
    address: str
    zone: str
    incarnation: int
    status: Status = Status.ALIVE
    started: int = 0


class GossipNote(NamedTuple):
    """A small value that is spread with heartbeats.

    Attributes:
        key: Its key; of two notes with one key the higher `number` wins.
        number: Its version.
        body: The value.
    """

    key: str
    number: int
    body: str


class Heartbeat(NamedTuple):
    """A heartbeat between two members, used for request and reply.

    Attributes:
        sender: The sender's own record.
        news: Recent updates about other members.
        notes: Recent notes.
        digest: Digest of all members and notes of the sender.
        revision: Revision of the configuration it holds.
        whole: Asks for the receiver's full state, not for updates only.
    """

    sender: Member
    news: tuple[Member, ...] = ()
    notes: tuple[GossipNote, ...] = ()
    digest: int = 0
    revision: int = 0
    whole: bool = False


class ProbeRequest(NamedTuple):
    """Ask a member to probe another one that does not answer the sender."""

    address: str


class ProbeReply(NamedTuple):
    """Whether the probed member answered."""

    reached: bool
