"""Socket options that end a TCP connection whose peer stopped responding.

A peer that lost power or is behind a broken network link sends nothing, not
even a reset, and a read would wait for ever. With these options the kernel
ends the connection after about `DEAD_PEER_S`, when sent bytes stay
unacknowledged or keep-alive probes stay unanswered.
"""

import socket

# In seconds. A healthy peer answers a probe within a few milliseconds, so three
# seconds are several hundred round trips; a lost packet is retransmitted after
# a fifth of a second and must not end a connection.
DEAD_PEER_S = 3
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MS_PER_S = 1000


def set_keepalive(sock: socket.socket) -> None:
    """Set keep-alive probes and the timeout of unacknowledged bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, DEAD_PEER_S * MS_PER_S)
