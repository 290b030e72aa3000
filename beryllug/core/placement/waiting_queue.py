"""A bounded queue of requests that wait for room at a server.

Load handled: more requests than slots for some seconds. Waiting here instead of
in the queues of servers, requests can be reordered and withdrawn.

Requests within their account's share come first, then the more urgent ones,
then those whose remaining time ends first. A request that can no longer end
before its deadline is not served. Since no new request may wait longer than its
target, none of the same urgency is overtaken for longer than that: no account,
size, zone or session starves.
"""

import bisect
from dataclasses import dataclass, field
from typing import NamedTuple


class Rank(NamedTuple):
    """The place of a request in the order; the lowest is served first.

    Attributes:
        is_over_share: Whether its account is over its share.
        urgency: Its urgency, 0 being the most urgent.
        useful_until: Second until which it can still be served on time.
        number: Its number, unique in the queue.
    """

    is_over_share: bool
    urgency: int
    useful_until: float
    number: int = 0


class Entry(NamedTuple):
    """A request that waits.

    Attributes:
        rank: Its place in the order.
        service: The service that it waits for.
        size: Size of its body in bytes.
        added_at: Second at which it began to wait.
        start_by: Second from which it can no longer end before its deadline.
    """

    rank: Rank
    service: str
    size: int
    added_at: float
    start_by: float


@dataclass(slots=True)
class Queue:
    """Requests that wait, in order, by service.

    Attributes:
        max_requests: Maximum number of requests.
        max_bytes: Maximum size of their bodies.
        services: Requests by service, in order; none is empty.
        requests: Number of requests.
        size: Size of their bodies.
    """

    max_requests: int
    max_bytes: int
    services: dict[str, list[Entry]] = field(default_factory=dict)
    requests: int = 0
    size: int = 0


def add(queue: Queue, entry: Entry) -> list[Entry]:
    """Add a request; return those that don't fit, which may include it."""
    if entry.size > queue.max_bytes:
        return [entry]
    bisect.insort(queue.services.setdefault(entry.service, []), entry)
    queue.requests += 1
    queue.size += entry.size
    rejected = []
    while queue.requests > queue.max_requests or queue.size > queue.max_bytes:
        last = max(entries[-1] for entries in queue.services.values())
        withdraw(queue, last)
        rejected.append(last)
    return rejected


def ahead(queue: Queue, service: str, rank: Rank) -> int:
    """Return how many requests of a service come before a rank."""
    entries = queue.services.get(service, [])
    return bisect.bisect_left(entries, rank, key=lambda each: each.rank)


def next_entry(queue: Queue, service: str) -> Entry | None:
    """Remove and return the first request of a service."""
    entries = queue.services.get(service)
    if not entries:
        return None
    first = entries[0]
    withdraw(queue, first)
    return first


def expire(queue: Queue, service: str, now: float) -> list[Entry]:
    """Remove and return requests that can't end before their deadline."""
    expired = [
        each for each in queue.services.get(service, ()) if each.start_by <= now
    ]
    for each in expired:
        withdraw(queue, each)
    return expired


def withdraw(queue: Queue, entry: Entry) -> bool:
    """Remove a request; return whether it was in the queue."""
    entries = queue.services.get(entry.service, [])
    place = bisect.bisect_left(entries, entry)
    if place == len(entries) or entries[place] != entry:
        return False
    entries.pop(place)
    queue.requests -= 1
    queue.size -= entry.size
    if not entries:
        queue.services.pop(entry.service)
    return True


def waiting(queue: Queue, service: str) -> int:
    """Return the number of requests that wait for a service."""
    return len(queue.services.get(service, ()))


def oldest_s(queue: Queue, now: float) -> float:
    """Return for how long the oldest request has waited."""
    oldest = min(
        (
            each.added_at
            for entries in queue.services.values()
            for each in entries
        ),
        default=now,
    )
    return now - oldest
