"""Listening sockets that are opened before their server is loaded."""

import socket

# Connections that may wait to be accepted: as many as callers open within a
# quarter of a second when they all reconnect at once.
BACKLOG = 512


def open_listener(address: str) -> socket.socket | None:
    """Listen on an address.

    Connections wait in the socket's backlog until a server accepts them;
    without a listening socket they would be refused.

    Args:
        address: ``ip:port``.

    Returns:
        The socket; None if it can't be bound, an error that the server then
        reports when it binds the address itself.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return None
    listener.setblocking(False)
    return listener
