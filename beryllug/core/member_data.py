"""Records of the membership of control processes."""

from enum import StrEnum
from typing import NamedTuple


class Status(StrEnum):
    """What is believed of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


class Member(NamedTuple):
    """A control process, as it is believed to be.

    Attributes:
        name: Its name in the fleet.
        address: Where peers reach it.
        zone: Its availability zone.
        incarnation: Grows with each start of the process, and each time it
            contradicts a report of its own death.
        status: What is believed of it.
        started: Its incarnation when it started, which tells starts apart.
    """

    name: str
    address: str
    zone: str
    incarnation: int
    status: Status = Status.ALIVE
    started: int = 0


class Note(NamedTuple):
    """A small fact that is passed on with heartbeats.

    Attributes:
        key: What it is about; of two notes the higher `number` holds.
        number: Its order.
        body: The fact.
    """

    key: str
    number: int
    body: str


class Heartbeat(NamedTuple):
    """What two members tell each other, as question and as reply.

    Attributes:
        sender: The sender about itself.
        news: What it has learnt of others lately.
        notes: Facts that it passes on.
        digest: Digest of all that it believes of members and notes.
        revision: Revision of the configuration it holds.
        whole: Asks for all that the receiver knows, not for news only.
    """

    sender: Member
    news: tuple[Member, ...] = ()
    notes: tuple[Note, ...] = ()
    digest: int = 0
    revision: int = 0
    whole: bool = False


class ProbeAsk(NamedTuple):
    """Ask a member to reach another one that does not answer the asker."""

    address: str


class ProbeReply(NamedTuple):
    """Whether the other one answered."""

    reached: bool
