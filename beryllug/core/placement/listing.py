"""Which backend servers are believed to be there.

The list is kept by the platform's store, which drops the entry of a server
that falls silent, and also of sound ones while the store itself is away. A
dropped entry is therefore doubted for a while before it is taken for gone: a
doubted server gets work only where no other is left.

Entries are known by the server's name. One that starts again under its name
is another incarnation: the one before is gone, without a doubt.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import servers_data

# Seconds after the store's return in which entries that lapsed meanwhile come
# back; the platform states about two.
RETURN_S = 2.5
# Names whose latest start is remembered: several times those of a fleet, for
# entries that come late after a server is gone.
MOST_BIRTHS = 50000
# Seconds for which a server that states that it leaves is remembered once its
# entry is gone, or while it has none yet; it stops within seconds.
LEAVING_S = 60.0
# Instances that have gone and are remembered: those of some minutes.
MOST_DEPARTED = 1000


class Doubt(NamedTuple):
    """A server whose entry was dropped.

    Attributes:
        server: The server.
        until: Second at which it is forgotten.
        is_lapse: Whether the entry went with an outage of the store.
    """

    server: servers_data.Server
    until: float
    is_lapse: bool


@dataclass(slots=True)
class Book:
    """The listed servers, and those that were dropped a moment ago.

    Attributes:
        doubt_s: Seconds for which a dropped server is doubted.
        servers: Listed servers by name.
        doubted: Dropped ones.
        births: The latest start that each name has stated.
        departed: Instances that have left or were lost, the latest ones.
        leaving: Until when each instance that has stated that it leaves is
            remembered.
        was_away: Whether the store has not answered the last call.
        returned_at: When the store last answered after it had not.
    """

    doubt_s: float
    servers: dict[str, servers_data.Server] = field(default_factory=dict)
    doubted: dict[str, Doubt] = field(default_factory=dict)
    births: dict[str, int] = field(default_factory=dict)
    departed: dict[str, None] = field(default_factory=dict)
    leaving: dict[str, float] = field(default_factory=dict)
    was_away: bool = False
    returned_at: float = float('-inf')


def store_failed(book: Book) -> None:
    """Note that the store could not be read."""
    book.was_away = True


def store_answered(book: Book, now: float) -> None:
    """Note that the store could be read."""
    if book.was_away:
        book.returned_at = now
        book.doubted = {
            name: doubt._replace(until=now + RETURN_S)
            if doubt.is_lapse
            else doubt
            for name, doubt in book.doubted.items()
        }
    book.was_away = False


def store_returned(book: Book, now: float) -> None:
    """Note that the store has returned from an older copy.

    Entries that it lacks count as lapsed: their servers write them again.
    """
    book.was_away = True
    store_answered(book, now)


def states_leaving(book: Book, instance: str, now: float) -> bool:
    """Take that a server states that it leaves; returns whether it is new.

    That holds whatever its entry says, before or after: a server that leaves
    may not reach the store, or the store may have lost its word.
    """
    until = book.leaving.get(instance)
    if until != math.inf:
        is_listed = any(
            server.instance == instance for server in book.servers.values()
        )
        book.leaving[instance] = math.inf if is_listed else now + LEAVING_S
    return until is None


def forget_leaving(book: Book, now: float) -> None:
    """Forget servers whose entry has been gone for long."""
    book.leaving = {
        instance: until
        for instance, until in book.leaving.items()
        if until > now
    }


def is_contradicted(book: Book, server: servers_data.Server) -> bool:
    """Tell whether an entry of an older copy denies that a server leaves."""
    if server.instance in book.departed:
        return True
    known = book.servers.get(server.name)
    return (
        known is not None
        and known.instance == server.instance
        and known.state is servers_data.State.LEAVING
        and server.state is not servers_data.State.LEAVING
    )


def is_stale(book: Book, server: servers_data.Server) -> bool:
    """Tell whether an entry is of an earlier start than is known.

    Taken, it would bring a server back that has crashed. One without a start,
    under a name that has stated one, is not that server's.
    """
    return server.born < book.births.get(server.name, 0)


def put(book: Book, server: servers_data.Server) -> servers_data.Server | None:
    """Take an entry that was added or has changed, and is not stale.

    Returns:
        The incarnation that it takes the place of; None if it is the same.
    """
    doubt = book.doubted.pop(server.name, None)
    book.departed.pop(server.instance, None)
    before = book.servers.get(server.name, doubt and doubt.server)
    book.servers[server.name] = server
    if server.born:
        book.births.pop(server.name, None)
        book.births[server.name] = server.born
        while len(book.births) > MOST_BIRTHS:
            book.births.pop(next(iter(book.births)))
    if before is None or before.instance == server.instance:
        return None
    return before


def drop(book: Book, name: str, now: float) -> servers_data.Server | None:
    """Take that an entry is gone.

    A server that had said it leaves is gone. Another one may have been
    dropped because the store was away.

    Returns:
        The server if it was lost: it had not said that it leaves, and the
        store was there all the while.
    """
    server = book.servers.pop(name, None)
    if server is None:
        return None
    if book.leaving.get(server.instance) == math.inf:
        book.leaving[server.instance] = now + LEAVING_S
    if takes_none(book, server):
        _departs(book, server)
        return None
    returns_until = book.returned_at + RETURN_S
    is_lapse = book.was_away or now < returns_until
    until = max(now + book.doubt_s, returns_until)
    book.doubted[name] = Doubt(server, until, is_lapse)
    if is_lapse:
        return None
    _departs(book, server)
    return server


def withhold(book: Book, name: str) -> servers_data.Server | None:
    """Take an entry out of the list, without a doubt of its server."""
    return book.servers.pop(name, None)


def takes_none(book: Book, server: servers_data.Server) -> bool:
    """Tell whether a server takes no new work: by its entry, or its answers."""
    is_leaving = server.state is servers_data.State.LEAVING
    return is_leaving or server.instance in book.leaving


def usable(
    book: Book, now: float
) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
    """Return the listed servers and the doubted ones, without leaving ones.

    Entries that went with one outage may not be back when the next begins;
    their servers are kept until the store has been back for its time. Else a
    sound server was forgotten 2.5 s after the first outage, in the second.
    """
    gone = [
        name
        for name, doubt in book.doubted.items()
        if doubt.until <= now and not (doubt.is_lapse and book.was_away)
    ]
    for name in gone:
        book.doubted.pop(name)
    reused = {server.address for server in book.servers.values()}
    listed = [
        server
        for server in book.servers.values()
        if not takes_none(book, server)
    ]
    doubted = [
        doubt.server
        for doubt in book.doubted.values()
        if doubt.server.address not in reused
        and not takes_none(book, doubt.server)
    ]
    return listed, doubted


def _departs(book: Book, server: servers_data.Server) -> None:
    book.departed[server.instance] = None
    while len(book.departed) > MOST_DEPARTED:
        book.departed.pop(next(iter(book.departed)))
