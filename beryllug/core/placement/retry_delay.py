"""How long a request that cannot be placed waits, and its retry-after time.

Callers retry a few times at most, and wait for at most a third of their
remaining time. After too short a time a caller meets the same cause and has
used up a retry; after too long a time its answer is late although it could have
been on time. A process that has just started may receive the missing data at
any moment, so it lets a request wait a little before it refuses it.
"""

from collections.abc import Mapping
from enum import Enum, auto
from types import MappingProxyType
from typing import NamedTuple

# Fraction of a caller's remaining time after which it retries.
RETRY_FRACTION = 0.3


class Cause(Enum):
    """Why a request is refused."""

    NO_SERVER = auto()
    NO_REGION = auto()
    EVACUATED = auto()
    COLD = auto()
    LIMITED = auto()
    BACKING_OFF = auto()
    FULL = auto()
    NO_TABLE = auto()
    STOPPING = auto()
    IN_TRIAL = auto()
    OVERLOADED = auto()
    QUEUE_FULL = auto()


class PlacementFailure(NamedTuple):
    """Why there is no server for a request.

    Attributes:
        cause: The cause.
        due_s: Seconds until there is one, where that is known.
    """

    cause: Cause
    due_s: float | None = None


# Maximum retry-after seconds, by cause.
# A replaced or restarted server takes requests again within one second, and a
# cold one is warm, or may take one more request, within one.
# A server with a rate limit takes another request within one second, unless the
# limit is very low.
# An evacuation lasts for seconds at least.
# A process without a route table started during a store outage; that lasts for
# seconds, and a request has already waited for the table before it is refused.
# Another process takes the requests of one that stops.
# A trial that does not crash its server begins to answer within one second.
# A request that can't be served in time carries the time in which room is
# expected; these values hold where none is.
MOST_S: Mapping[Cause, float] = MappingProxyType(
    {
        Cause.NO_SERVER: 1.0,
        Cause.NO_REGION: 3.0,
        Cause.EVACUATED: 3.0,
        Cause.COLD: 1.0,
        Cause.LIMITED: 1.0,
        Cause.BACKING_OFF: 1.0,
        Cause.FULL: 1.0,
        Cause.NO_TABLE: 1.4,
        Cause.STOPPING: 0.1,
        Cause.IN_TRIAL: 1.0,
        Cause.OVERLOADED: 1.0,
        Cause.QUEUE_FULL: 1.0,
    }
)
# Minimum retry-after seconds: otherwise all callers refused at one moment would
# return at once.
MIN_RETRY_AFTER_S = 0.1
# Why there is no server for a request, for its caller and the log.
REASONS: Mapping[Cause, str] = MappingProxyType(
    {
        Cause.NO_SERVER: 'no backend server is listed',
        Cause.NO_REGION: 'no backend server is in a region that is allowed',
        Cause.EVACUATED: 'the zones of all backend servers are evacuated',
        Cause.COLD: 'all backend servers have just started',
        Cause.LIMITED: 'all backend servers are at their rate limit',
        Cause.BACKING_OFF: 'all backend servers have refused for some time',
        Cause.FULL: 'all backend servers are full',
        Cause.STOPPING: 'this process is stopping',
        Cause.OVERLOADED: 'the service has no room in time',
        Cause.QUEUE_FULL: 'too many requests wait for room',
    }
)
# Fraction of a caller's time above the minimum, and the maximum seconds, for
# which a request waits for the route table: after 2.4 s an answer that is due
# in three still begins on time, also for a caller that has already retried and
# will not retry again. Refused at once, such a caller is lost.
WAIT_FRACTION = 0.4
MAX_WAIT_S = 2.4
# Callers with less than this many seconds left do not wait: they expect an
# answer in tenths of a second and have time to retry elsewhere.
LEAST_LEFT_S = 1.5


def retry_in_s(lack: PlacementFailure, left_s: float) -> float:
    """Return the seconds after which a refused caller should retry.

    Args:
        lack: Why it is refused.
        left_s: Seconds that it has left.
    """
    most_s = MOST_S[lack.cause]
    if lack.due_s is not None:
        most_s = max(lack.due_s, MIN_RETRY_AFTER_S)
    return min(max(left_s, 0) * RETRY_FRACTION, most_s)


def table_wait_s(left_s: float) -> float:
    """Return the seconds for which a request waits for the route table.

    Args:
        left_s: Seconds that its caller has left.
    """
    return min(max(left_s - LEAST_LEFT_S, 0) * WAIT_FRACTION, MAX_WAIT_S)
