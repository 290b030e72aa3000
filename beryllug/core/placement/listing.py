"""Which backend servers are believed to be there.

The list is kept by the platform's store, which drops the entry of a server
that falls silent, and also of sound ones while the store itself is away. A
dropped entry is therefore doubted for a while before it is taken for gone: a
doubted server gets work only where no other is left.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import servers_data

# Seconds after the store's return in which entries that lapsed meanwhile come
# back; the platform states about two.
RETURN_S = 2.5


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
        servers: Listed servers by instance.
        doubted: Dropped ones.
        was_away: Whether the store has not answered the last call.
        returned_at: When the store last answered after it had not.
    """

    doubt_s: float
    servers: dict[str, servers_data.Server] = field(default_factory=dict)
    doubted: dict[str, Doubt] = field(default_factory=dict)
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
            instance: doubt._replace(until=now + RETURN_S)
            if doubt.is_lapse
            else doubt
            for instance, doubt in book.doubted.items()
        }
    book.was_away = False


def put(book: Book, server: servers_data.Server) -> None:
    """Take an entry that was added or has changed."""
    book.doubted.pop(server.instance, None)
    book.servers[server.instance] = server


def drop(book: Book, instance: str, now: float) -> bool:
    """Take that an entry is gone.

    A server that had said it leaves is gone. Another one may have been
    dropped because the store was away.

    Returns:
        Whether the server was lost: it had not said that it leaves, and the
        store was there all the while.
    """
    server = book.servers.pop(instance, None)
    if server is None or server.state is servers_data.State.LEAVING:
        return False
    returns_until = book.returned_at + RETURN_S
    is_lapse = book.was_away or now < returns_until
    until = max(now + book.doubt_s, returns_until)
    book.doubted[instance] = Doubt(server, until, is_lapse)
    return not is_lapse


def replace(
    book: Book, servers: Iterable[servers_data.Server], now: float
) -> None:
    """Take a whole listing."""
    listed = {server.instance: server for server in servers}
    gone = [each for each in book.servers if each not in listed]
    for instance in gone:
        drop(book, instance, now)
    for server in listed.values():
        put(book, server)


def usable(
    book: Book, now: float
) -> tuple[list[servers_data.Server], list[servers_data.Server]]:
    """Return the listed servers and the doubted ones, without leaving ones.

    Entries that went with one outage may not be back when the next begins;
    their servers are kept until the store has been back for its time. Else a
    sound server was forgotten 2.5 s after the first outage, in the second.
    """
    gone = [
        instance
        for instance, doubt in book.doubted.items()
        if doubt.until <= now and not (doubt.is_lapse and book.was_away)
    ]
    for instance in gone:
        book.doubted.pop(instance)
    reused = {server.address for server in book.servers.values()}
    listed = [
        server
        for server in book.servers.values()
        if server.state is servers_data.State.READY
    ]
    doubted = [
        doubt.server
        for doubt in book.doubted.values()
        if doubt.server.address not in reused
    ]
    return listed, doubted
