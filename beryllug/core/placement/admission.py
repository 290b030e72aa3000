"""Whether a request for an overloaded service is sent, waits or is rejected.

Load handled: more requests than slots for some seconds. Each process sends at
most its part of the capacity. It is decided at arrival whether a request can be
sent in time, since a request that is held and rejected late is worse for its
caller than one that is rejected at once.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

# Requests that a process may send at once after a pause. With one, a process of
# a large fleet, which gets a request every few seconds, would lose its part of
# the capacity whenever it has none to send: 43% of it at a load of 1.3 times
# the capacity, against 11% with four.
MAX_CREDIT = 4.0
# The credit that is left to more urgent requests if they use the whole rate.
RESERVE = 2.0
# Fraction of the target for which a request may wait even if its answer then
# begins late: a longer wait is a cost by itself.
MIN_WAIT_FRACTION = 0.125
# The fraction of that time that the expected wait may take. The rate follows
# sums of half a second ago, and more urgent requests may arrive: in replays
# with 8 processes at 1.5 times the capacity 0.07 of the answers were late with
# 1, and 0.02 with 0.5; as many were served.
SURE_FRACTION = 0.5
# Seconds after which a rejected caller may return, if no room is foreseen.
MAX_ROOM_S = 3.0
# Seconds over which arrivals are averaged.
ARRIVALS_S = 1.0
# The fraction of the expected time until there is room after which the first
# rejected callers return; the others are spread over the rest.
SPREAD_FROM = 0.5


class Decision(StrEnum):
    """What is done with a request."""

    SEND = 'send'
    WAIT = 'wait'
    REJECT = 'reject'


@dataclass(slots=True)
class Pace:
    """The requests that this process may send to a service now.

    Attributes:
        credit: Their number; negative if some were sent without waiting.
        at: Second at which it was updated.
    """

    credit: float = 1.0
    at: float = 0.0


# Whether an account is over its share, and the urgency of a request.
Preference = tuple[bool, int]


@dataclass(slots=True)
class Arrivals:
    """Rates of requests that arrive for one service.

    Attributes:
        per_s: Requests a second by preference, as of `at`.
        at: Second at which they were updated.
    """

    per_s: dict[Preference, float] = field(default_factory=dict)
    at: float = 0.0


class Place(NamedTuple):
    """The place that a request would have.

    Attributes:
        credit: Requests that may be sent now.
        rate_per_s: Requests that this process may send in a second.
        preferred_per_s: Requests a second that arrive and will come first.
        ahead: Waiting requests that come first.
    """

    credit: float
    rate_per_s: float
    preferred_per_s: float
    ahead: int


class Times(NamedTuple):
    """The times of a request, in seconds.

    Attributes:
        target: Target of its route.
        work: Expected time from sending it to its answer.
        waited: Time since its arrival.
        left: Time until its deadline.
    """

    target: float
    work: float
    waited: float
    left: float


class Verdict(NamedTuple):
    """A decision.

    Attributes:
        decision: What is done.
        expected_s: Expected seconds until it can be sent.
        useful_s: Seconds for which it may wait.
    """

    decision: Decision
    expected_s: float
    useful_s: float


def refill(pace: Pace, rate_per_s: float, now: float) -> float:
    """Add the credit of the time since the last call; return the credit."""
    elapsed_s = max(now - pace.at, 0)
    pace.at = now
    pace.credit = min(pace.credit + elapsed_s * rate_per_s, MAX_CREDIT)
    return pace.credit


def arrived(arrivals: Arrivals, preference: Preference, now: float) -> float:
    """Count a request; return the rate of those that come before it."""
    kept = math.exp(-max(now - arrivals.at, 0) / ARRIVALS_S)
    arrivals.at = now
    known = {each: per_s * kept for each, per_s in arrivals.per_s.items()}
    known[preference] = known.get(preference, 0) + 1 / ARRIVALS_S
    arrivals.per_s = known
    return sum(known[each] for each in known if each < preference)


def useful_s(times: Times) -> float:
    """Return the seconds for which a request may wait."""
    until_late = times.target - times.work
    longest = max(until_late, times.target * MIN_WAIT_FRACTION) - times.waited
    return min(longest, times.left - times.work)


def expected_s(place: Place) -> float:
    """Return the expected seconds until a request can be sent."""
    missing = place.ahead + 1 + _reserve(place) - place.credit
    if missing <= 0:
        return 0.0
    # Those that arrive later and come first use a part of the rate.
    rate_per_s = place.rate_per_s - place.preferred_per_s
    return missing / rate_per_s if rate_per_s > 0 else math.inf


def _reserve(place: Place) -> float:
    """Return the credit that is left to requests that come first.

    In a large fleet hardly any request waits, so that the order of the queue
    alone would not prefer the urgent ones.
    """
    if not place.preferred_per_s:
        return 0.0
    part = place.preferred_per_s / max(place.rate_per_s, place.preferred_per_s)
    return part * RESERVE


def decide(place: Place, times: Times) -> Verdict:
    """Return what is done with a request that has just arrived."""
    turn_s = expected_s(place)
    longest_s = useful_s(times)
    if turn_s > max(longest_s, 0) * SURE_FRACTION:
        return Verdict(Decision.REJECT, turn_s, longest_s)
    decision = Decision.WAIT if turn_s else Decision.SEND
    return Verdict(decision, turn_s, longest_s)


def room_in_s(turn_s: float, spread: float) -> float:
    """Return the seconds after which a rejected caller should return.

    Args:
        turn_s: Expected seconds until its request could have been sent.
        spread: A number from 0 to 1, drawn for the request.
    """
    return min(turn_s, MAX_ROOM_S) * (SPREAD_FROM + spread)
