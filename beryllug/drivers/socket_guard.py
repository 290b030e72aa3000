"""Options that end a TCP connection whose other side fell silent.

A host that lost its power, or is behind a broken link, answers nothing: no
reset comes, and a read waits for ever. The kernel then has to ask. Unread
bytes that stay unacknowledged and probes that stay unanswered both end the
connection within about `SILENT_S`.
"""

import socket

# Seconds. A healthy link answers a probe in a few milliseconds, so three
# seconds of silence are several hundred round trips; a lost packet is sent
# again after a fifth of a second and must not end a connection.
SILENT_S = 3
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
MS = 1000


def guard(sock: socket.socket) -> None:
    """Set keep-alive probes and the bound on unacknowledged bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, SILENT_S * MS)
