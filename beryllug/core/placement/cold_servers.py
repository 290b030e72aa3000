"""Limit on the requests sent to servers that have just started.

A cold server crashes at a request rate that a warm one can handle. A newly
listed server has the least load of all, so without a limit every process
prefers it at the same moment, and it crashes before any of them knows what the
others have sent.

The limit applies to all processes together, while each of them sends about one
request a second, so a message for each request would come too late. Instead a
few processes, selected by a hash of server and process, may each send one
request a second to a cold server; the others place their requests as if it were
not listed. The rate determines how many are selected, less a margin for the
variance of the hash. This needs no message and no agreement, only an
approximate fleet size. Unreachable processes are counted too: otherwise each
side of a network partition would select as many as the whole fleet.
"""

from collections import deque
from dataclasses import dataclass, field

from beryllug.core import rendezvous
from beryllug.core.placement import fleet_size

# Fraction of the rate that is used on average. With six processes selected on
# average for a rate of eight, more than seventeen, at which a server crashes,
# are selected once in 30,000.
USED_PART = 0.75
# Seconds in which a process sends its share, slightly over one: a request may
# take longer to arrive than the next one.
WINDOW_S = 1.05


@dataclass(slots=True)
class Cold:
    """What a process knows of cold servers.

    Attributes:
        name: Name of the process.
        until: When each cold server is assumed to be warm.
        sent: When this process sent it requests, within the window.
        size: The fleet size; until it is known, a process sends nothing to a
            cold server.
    """

    name: str
    size: fleet_size.FleetSize = field(default_factory=fleet_size.FleetSize)
    until: dict[str, float] = field(default_factory=dict)
    sent: dict[str, deque[float]] = field(default_factory=dict)


def becomes_cold(cold: Cold, instance: str, seconds: float, now: float) -> None:
    """Record that a server is cold; an earlier end is ignored."""
    if seconds <= 0:
        return
    # Nothing asks for servers that are gone, so their entries would never be
    # removed.
    expired = [name for name, until in cold.until.items() if until <= now]
    for name in expired:
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
        per_s: Requests a second that it can handle while cold; 0 for no limit.
        now: The present second.
    """
    if per_s <= 0 or not is_cold(cold, instance, now):
        return True
    if fleet_size.until_settled_s(cold.size, now) > 0:
        return False
    usable_per_s = max(per_s * USED_PART, 1)
    draw = rendezvous.unit_hash(f'{instance}/{cold.name}')
    if draw * cold.size.ever >= usable_per_s:
        return False
    window_s = WINDOW_S / min(per_s, 1)
    times = cold.sent.get(instance, deque())
    while times and now - times[0] >= window_s:
        times.popleft()
    return len(times) < max(int(usable_per_s / cold.size.ever), 1)


def sent(cold: Cold, instance: str, now: float) -> None:
    """Count a request that is sent to a server."""
    if is_cold(cold, instance, now):
        cold.sent.setdefault(instance, deque()).append(now)


def _forget(cold: Cold, instance: str) -> None:
    cold.until.pop(instance)
    cold.sent.pop(instance, None)
