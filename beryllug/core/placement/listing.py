"""Which backend servers are believed to be available.

The list comes from the platform's store, which drops the entry of a server that
stops renewing it, but during a store outage also entries of healthy servers. A
dropped entry is therefore kept as doubted for a while before the server counts
as gone: a doubted server gets requests only if no listed one is left.

Entries are keyed by the server's name. A server that restarts under its name is
another incarnation, and the previous one is gone for certain.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import servers_data

# Seconds after the store's return in which entries that expired during the
# outage are written again; the platform documents about two.
RESTORE_WINDOW_S = 2.5
# Names whose latest start time is remembered: several times a fleet's, for
# entries that arrive late, after a server is gone.
MAX_START_TIMES = 50000
# Seconds for which the leaving notice of a server is remembered after its entry
# is gone, or while it has none yet; it stops within seconds.
LEAVING_S = 60.0
# Departed instances that are remembered: those of some minutes.
MAX_DEPARTED = 1000


class DoubtedServer(NamedTuple):
    """A server whose entry was dropped.

    Attributes:
        server: The server.
        until: Second at which it is removed.
        is_outage_lapse: Whether the entry was dropped during a store outage.
    """

    server: servers_data.Server
    until: float
    is_outage_lapse: bool


@dataclass(slots=True)
class ServerListing:
    """The listed servers, and those that were dropped recently.

    Attributes:
        doubt_s: Seconds for which a dropped server is kept as doubted.
        servers: Listed servers by name.
        doubted: Dropped servers by name.
        start_times: The latest start time that each name has stated.
        departed: Instances that have left or were lost, the latest ones.
        leaving: Until when the leaving notice of each instance is remembered.
        was_store_down: Whether the last read of the store failed.
        returned_at: When a read of the store last succeeded after a failure.
    """

    doubt_s: float
    servers: dict[str, servers_data.Server] = field(default_factory=dict)
    doubted: dict[str, DoubtedServer] = field(default_factory=dict)
    start_times: dict[str, int] = field(default_factory=dict)
    departed: dict[str, None] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    was_store_down: bool = False
    returned_at: float = float('-inf')


def store_failed(book: ServerListing) -> None:
    """Record that the store could not be read."""
    book.was_store_down = True


def store_answered(book: ServerListing, now: float) -> None:
    """Record that the store could be read."""
    if book.was_store_down:
        book.returned_at = now
        book.doubted = {
            name: doubt._replace(until=now + RESTORE_WINDOW_S)
            if doubt.is_outage_lapse
            else doubt
            for name, doubt in book.doubted.items()
        }
    book.was_store_down = False


def store_returned(book: ServerListing, now: float) -> None:
    """Record that the store was restored from an older copy.

    Entries that it lacks are handled as expired: their servers write them
    again.
    """
    book.was_store_down = True
    store_answered(book, now)


def record_leaving(book: ServerListing, instance: str, now: float) -> bool:
    """Record a leaving notice of a server; returns whether it is new.

    It holds whatever the server's entry says, before or after: a leaving server
    may not reach the store, or the store may have lost its update.
    """
    until = book.leaving.get(instance)
    if until != math.inf:
        is_listed = any(
            server.instance == instance for server in book.servers.values()
        )
        book.leaving[instance] = math.inf if is_listed else now + LEAVING_S
    return until is None


def forget_leaving(book: ServerListing, now: float) -> None:
    """Remove the leaving notices of servers whose entry expired long ago."""
    book.leaving = {
        instance: until
        for instance, until in book.leaving.items()
        if until > now
    }


def is_contradicted(book: ServerListing, server: servers_data.Server) -> bool:
    """Tell whether an entry of an older copy denies what is known.

    It does if the server was leaving or its entry had been dropped, also if
    that was during an outage of the store and the server may be healthy.
    """
    if server.instance in book.departed:
        return True
    doubt = book.doubted.get(server.name)
    if doubt is not None and doubt.server.instance == server.instance:
        return True
    known = book.servers.get(server.name)
    return (
        known is not None
        and known.instance == server.instance
        and known.state is servers_data.State.LEAVING
        and server.state is not servers_data.State.LEAVING
    )


def is_stale(book: ServerListing, server: servers_data.Server) -> bool:
    """Tell whether an entry belongs to an earlier start than the known one.

    Accepting it would list a server that has crashed. An entry without a start
    time does not belong to a server whose name has stated one.
    """
    return server.born < book.start_times.get(server.name, 0)


def put(
    book: ServerListing, server: servers_data.Server
) -> servers_data.Server | None:
    """Store an entry that was added or changed and is not stale.

    Returns:
        The incarnation that it replaces; None if it is the same.
    """
    doubt = book.doubted.pop(server.name, None)
    book.departed.pop(server.instance, None)
    before = book.servers.get(server.name, doubt and doubt.server)
    book.servers[server.name] = server
    if server.born:
        book.start_times.pop(server.name, None)
        book.start_times[server.name] = server.born
        while len(book.start_times) > MAX_START_TIMES:
            book.start_times.pop(next(iter(book.start_times)))
    if before is None or before.instance == server.instance:
        return None
    return before


def drop(
    book: ServerListing, name: str, now: float
) -> servers_data.Server | None:
    """Remove an entry.

    A server that had announced that it leaves is gone. Any other one may have
    been dropped because of a store outage.

    Returns:
        The server if it was lost: it had not announced that it leaves, and the
        store was available all the time.
    """
    server = book.servers.pop(name, None)
    if server is None:
        return None
    if book.leaving.get(server.instance) == math.inf:
        book.leaving[server.instance] = now + LEAVING_S
    if is_draining(book, server):
        _record_departure(book, server)
        return None
    returns_until = book.returned_at + RESTORE_WINDOW_S
    is_outage_lapse = book.was_store_down or now < returns_until
    until = max(now + book.doubt_s, returns_until)
    book.doubted[name] = DoubtedServer(server, until, is_outage_lapse)
    if is_outage_lapse:
        return None
    _record_departure(book, server)
    return server


def keep_doubted(
    book: ServerListing, names: Iterable[str], until: float
) -> None:
    """Keep servers doubted whose entries expired in an outage of the store."""
    for name in names:
        doubt = book.doubted.get(name)
        if doubt is not None and doubt.is_outage_lapse:
            book.doubted[name] = doubt._replace(until=max(doubt.until, until))


def withhold(book: ServerListing, name: str) -> servers_data.Server | None:
    """Remove an entry from the list without keeping its server as doubted."""
    return book.servers.pop(name, None)


def is_draining(book: ServerListing, server: servers_data.Server) -> bool:
    """Tell whether a server takes no new requests, by entry or answers."""
    is_leaving = server.state is servers_data.State.LEAVING
    return is_leaving or server.instance in book.leaving


def is_departing(book: ServerListing, instance: str) -> bool:
    """Tell whether a server is known to stop, or to have stopped."""
    if instance in book.departed or instance in book.leaving:
        return True
    return any(
        server.instance == instance and is_draining(book, server)
        for server in book.servers.values()
    )


def usable(
    book: ServerListing, now: float
) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
    """Return the listed and the doubted servers that are not leaving.

    Entries that expired in one outage may not be back when the next one begins;
    their servers are kept until the store has been available for long enough. A
    healthy server was once removed 2.5 s after the first outage, during the
    second.
    """
    expired = [
        name
        for name, doubt in book.doubted.items()
        if doubt.until <= now
        and not (doubt.is_outage_lapse and book.was_store_down)
    ]
    for name in expired:
        _record_departure(book, book.doubted.pop(name).server)
    listed_addresses = {server.address for server in book.servers.values()}
    listed = [
        server
        for server in book.servers.values()
        if not is_draining(book, server)
    ]
    doubted = [
        doubt.server
        for doubt in book.doubted.values()
        if doubt.server.address not in listed_addresses
        and not is_draining(book, doubt.server)
    ]
    return listed, doubted


def _record_departure(book: ServerListing, server: servers_data.Server) -> None:
    book.departed[server.instance] = None
    while len(book.departed) > MAX_DEPARTED:
        book.departed.pop(next(iter(book.departed)))
