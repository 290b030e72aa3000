"""Which backend servers are believed to be there.

The list is kept by the platform's store, which drops the entry of a server
that falls silent, and also of sound ones while the store itself is away. A
dropped entry is therefore doubted for a while before it is taken for gone: a
doubted server gets work only where no other is left.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from beryllug.core.placement import servers_data

# Seconds after the store's return in which entries that lapsed meanwhile come
# back; the platform states about two.
RETURN_S = 2.5


@dataclass(slots=True)
class Book:
    """The listed servers, and those that were dropped a moment ago.

    Attributes:
        doubt_s: Seconds for which a dropped server is doubted.
        servers: Listed servers by instance.
        doubted: Dropped ones, each with the second at which it is forgotten.
        was_away: Whether the store has not answered the last call.
        returned_at: When the store last answered after it had not.
    """

    doubt_s: float
    servers: dict[str, servers_data.Server] = field(default_factory=dict)
    doubted: dict[str, tuple[servers_data.Server, float]] = field(
        default_factory=dict
    )
    was_away: bool = False
    returned_at: float = float('-inf')


def store_failed(book: Book) -> None:
    """Note that the store could not be read."""
    book.was_away = True


def store_answered(book: Book, now: float) -> None:
    """Note that the store could be read."""
    if book.was_away:
        book.returned_at = now
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
    book.doubted[instance] = (server, max(now + book.doubt_s, returns_until))
    return not book.was_away and now >= returns_until


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
    """Return the listed servers and the doubted ones, without leaving ones."""
    gone = [each for each, (_, until) in book.doubted.items() if until <= now]
    for instance in gone:
        book.doubted.pop(instance)
    reused = {server.address for server in book.servers.values()}
    listed = [
        server
        for server in book.servers.values()
        if server.state is servers_data.State.READY
    ]
    doubted = [
        server
        for server, _ in book.doubted.values()
        if server.address not in reused
    ]
    return listed, doubted
