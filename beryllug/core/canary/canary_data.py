"""Records of an ordered roll-out and of the evidence about its version."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """The phase of a roll-out."""

    TRIAL = 'trial'
    FULL = 'full'
    COMPLETE = 'complete'
    ROLLED_BACK = 'rolled_back'


class Order(NamedTuple):
    """An operator's order to move a service to a version.

    Attributes:
        service: The service.
        target: The new version.
        duration_s: Seconds within which the roll-out has to be complete.
        revision: Revision of the order, which its status is written against.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class Bounds(NamedTuple):
    """The limits of a roll-out.

    Attributes:
        share: Largest share of a service's requests that a bad version may
            receive.
        slack: Number of requests that it may receive beyond that share, over
            the whole fleet.
        session_s: Seconds within which the next request of a session belongs
            to it, and must run on the same version.
    """

    share: float
    slack: float
    session_s: float


# Histogram of answer times. The key is twice the base-2 logarithm of the
# seconds, so times in one bucket differ by less than half.
Times = dict[int, int]


# Begin of the name of each work whose time is the mean pause of a stream.
PACE = 'next/'


class Answers(NamedTuple):
    """Counts of good and bad answers of one backend server."""

    good: int = 0
    bad: int = 0


class Seen(NamedTuple):
    """Answers of the new version by instance, and of the other versions."""

    by_instance: dict[str, Answers]
    old: Answers


class Evidence(NamedTuple):
    """The answers observed on one route.

    Attributes:
        answers: Answers of the new version, by instance.
        old: Answers of all other versions together.
        new_times: Answer times of the new version, by instance and by the kind
            of work.
        old_times: Answer times of the other versions, by the kind of work.
    """

    answers: dict[str, Answers]
    old: Answers
    new_times: dict[str, dict[str, Times]]
    old_times: dict[str, Times]


@dataclass(slots=True)
class Tally:
    """What one process has observed of a service during a roll-out.

    Attributes:
        requests: Number of requests for the service.
        tried: Number of those that were sent to the new version.
        by_route: The evidence on each route.
    """

    requests: int = 0
    tried: int = 0
    by_route: dict[str, Evidence] = field(default_factory=dict)


def evidence(tally: Tally, route: str) -> Evidence:
    """Return the evidence on a route, creating an empty one if needed."""
    found = tally.by_route.get(route)
    if found is None:
        found = Evidence({}, Answers(), {}, {})
        tally.by_route[route] = found
    return found
