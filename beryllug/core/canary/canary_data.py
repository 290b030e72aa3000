"""Records of an ordered roll-out and of what was seen of its version."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """How far a roll-out has come."""

    TRIAL = 'trial'
    FULL = 'full'
    COMPLETE = 'complete'
    ROLLED_BACK = 'rolled_back'


class Order(NamedTuple):
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        target: The new version.
        duration_s: Seconds in which it is to be done.
        revision: Revision of the order, which its status is written against.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class Bounds(NamedTuple):
    """What a roll-out must keep to.

    Attributes:
        share: Largest share of a service's requests that a bad version may
            get.
        slack: Requests that it may get beyond that share, fleet-wide.
        session_s: Seconds within which a session's next request belongs to
            it, and must run on its version.
    """

    share: float
    slack: float
    session_s: float


class Pace(NamedTuple):
    """How long answers took: their count and the sum of log2 of seconds."""

    answers: int = 0
    log_sum: float = 0.0


class Answers(NamedTuple):
    """Answers of one backend server of a version."""

    good: int = 0
    bad: int = 0


@dataclass(slots=True)
class Tally:
    """What one process has seen of a service during a roll-out.

    Attributes:
        requests: Requests for the service.
        tried: Those of them that went to the new version.
        answers: By instance, of the new version.
        old: Answers of the other versions together.
        new_pace: By what was asked, of the new version.
        old_pace: By what was asked, of the others.
    """

    requests: int = 0
    tried: int = 0
    answers: dict[str, Answers] = field(default_factory=dict)
    old: Answers = Answers()
    new_pace: dict[str, Pace] = field(default_factory=dict)
    old_pace: dict[str, Pace] = field(default_factory=dict)


class Tallied(NamedTuple):
    """A tally as it travels between processes."""

    requests: int
    tried: int
    answers: dict[str, Answers]
    old: Answers
    new_pace: dict[str, Pace]
    old_pace: dict[str, Pace]
