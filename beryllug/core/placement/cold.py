"""How much a server that has just started is sent.

A cold server crashes under a rate of requests that a warm one bears. One that
was just listed has the least to do of all, so without a bound every process
prefers it at the same moment, and it is lost again before any of them knows
what the others have sent.

The bound holds for all processes together, and each of them sends a request a
second or so: a message for each would come too late. So a few processes, drawn
by a hash of server and process, may send to a cold server, each one request a
second; the others place their requests as if it weren't there. As many are
drawn as its rate permits, less a part for the luck of the draw. That needs no
message and no agreement, only a rough count of the fleet. Those that can't be
reached count too: on both sides of a cut link as many would be drawn as in the
whole fleet.
"""

from collections import deque
from dataclasses import dataclass, field

from beryllug.core import rendezvous
from beryllug.core.placement import fleet_size

# Part of the rate that is used on the mean. Of six drawn for a rate of eight,
# more than seventeen, at which a server crashes, are drawn once in 30,000.
USED_PART = 0.75
# Seconds in which a process sends what is its part, a little over one: a
# request may be longer under way than the next.
WINDOW_S = 1.05


@dataclass(slots=True)
class Cold:
    """What a process knows of cold servers.

    Attributes:
        name: Name of the process.
        until: When each cold server is taken to be warm.
        sent: When this process sent it requests, within the window.
        size: The size of the fleet; until it is known, a process sends nothing
            to a cold server.
    """

    name: str
    size: fleet_size.FleetSize = field(default_factory=fleet_size.FleetSize)
    until: dict[str, float] = field(default_factory=dict)
    sent: dict[str, deque[float]] = field(default_factory=dict)


def becomes_cold(cold: Cold, instance: str, seconds: float, now: float) -> None:
    """Take that a server is cold; an earlier end does not count."""
    if seconds <= 0:
        return
    # Servers that are gone are asked for no more, and would be kept for ever.
    warm = [name for name, until in cold.until.items() if until <= now]
    for name in warm:
        _forget(cold, name)
    before = cold.until.get(instance, now)
    cold.until[instance] = max(before, now + seconds)


def is_cold(cold: Cold, instance: str, now: float) -> bool:
    """Tell whether a server is cold."""
    until = cold.until.get(instance)
    if until is None:
        return False
    if now < until:
        return True
    _forget(cold, instance)
    return False


def may_send(cold: Cold, instance: str, per_s: float, now: float) -> bool:
    """Tell whether this process may send a request to a server.

    Args:
        cold: What it knows of cold servers.
        instance: The server.
        per_s: Requests a second that it bears while cold; 0 for any.
        now: The present second.
    """
    if per_s <= 0 or not is_cold(cold, instance, now):
        return True
    if fleet_size.unsettled_s(cold.size, now) > 0:
        return False
    used = max(per_s * USED_PART, 1)
    drawn = rendezvous.share(f'{instance}/{cold.name}')
    if drawn * cold.size.ever >= used:
        return False
    window_s = WINDOW_S / min(per_s, 1)
    times = cold.sent.get(instance, deque())
    while times and now - times[0] >= window_s:
        times.popleft()
    return len(times) < max(int(used / cold.size.ever), 1)


def sent(cold: Cold, instance: str, now: float) -> None:
    """Count a request that is sent to a server."""
    if is_cold(cold, instance, now):
        cold.sent.setdefault(instance, deque()).append(now)


def _forget(cold: Cold, instance: str) -> None:
    cold.until.pop(instance)
    cold.sent.pop(instance, None)
