"""How long a request that can't be placed waits, and when it comes back.

Callers come back a few times at most, and keep to a third of the time that
they have. Sent away for too short, one meets the same cause and has used up a
try; for too long, its answer is late although it could have been in time. A
process that has just started may learn what it needs at any moment, so there
a request waits a little before it is sent away.
"""

from collections.abc import Mapping
from enum import Enum, auto
from types import MappingProxyType
from typing import NamedTuple

# Part of what is left of a caller's time after which it comes back.
PART = 0.3


class Cause(Enum):
    """Why a request is refused."""

    NO_SERVER = auto()
    NO_REGION = auto()
    EVACUATED = auto()
    COLD = auto()
    LIMITED = auto()
    BACKING_OFF = auto()
    NO_TABLE = auto()
    STOPPING = auto()


class Lack(NamedTuple):
    """Why there is no server for a request.

    Attributes:
        cause: Why.
        due_s: Seconds until there is one, where that is known.
    """

    cause: Cause
    due_s: float | None = None


# Most seconds for which a caller is sent away, by cause.
# A server that was replaced or has restarted takes work again within one, and
# one that is cold is warm, or free for one more request, within one.
# One with a limit takes a further request within one, unless that is very low.
# An evacuation lasts for seconds at the least.
# A process without a route table started while the store is away; that lasts
# for seconds, and a request has waited for it before it is sent away.
# Another process takes the requests of one that stops.
MOST_S: Mapping[Cause, float] = MappingProxyType(
    {
        Cause.NO_SERVER: 1.0,
        Cause.NO_REGION: 3.0,
        Cause.EVACUATED: 3.0,
        Cause.COLD: 1.0,
        Cause.LIMITED: 1.0,
        Cause.BACKING_OFF: 1.0,
        Cause.NO_TABLE: 1.4,
        Cause.STOPPING: 0.1,
    }
)
# Seconds for which a caller is sent away at the least: all that are refused at
# one moment would else come back together at once.
LEAST_DUE_S = 0.1
# Why there is no server for a request, for its caller and the log.
REASONS: Mapping[Cause, str] = MappingProxyType(
    {
        Cause.NO_SERVER: 'no backend server is listed',
        Cause.NO_REGION: 'no backend server is in a region that is allowed',
        Cause.EVACUATED: 'the zones of all backend servers are evacuated',
        Cause.COLD: 'all backend servers have just started',
        Cause.LIMITED: 'all backend servers are at their rate limit',
        Cause.BACKING_OFF: 'all backend servers have refused for some time',
    }
)
# Part of a caller's time beyond the least, and most seconds, for which a
# request waits for the route table: after 2.4 s an answer that is due in three
# still begins on time, also for one who has come back already and will not
# again. Sent away at once, such a caller is lost.
HOLD_PART = 0.4
MOST_HELD_S = 2.4
# Seconds under which a caller does not wait: it wants its answer in tenths of
# a second, and has a try elsewhere while there is time.
LEAST_LEFT_S = 1.5


def after_s(lack: Lack, left_s: float) -> float:
    """Return the seconds after which a refused caller should come back.

    Args:
        lack: Why it is refused.
        left_s: Seconds that it has left.
    """
    most_s = MOST_S[lack.cause]
    if lack.due_s is not None:
        most_s = max(lack.due_s, LEAST_DUE_S)
    return min(max(left_s, 0) * PART, most_s)


def held_s(left_s: float) -> float:
    """Return the seconds for which a request waits for the route table.

    Args:
        left_s: Seconds that its caller has left.
    """
    return min(max(left_s - LEAST_LEFT_S, 0) * HOLD_PART, MOST_HELD_S)
