"""Records and errors of the HTTP drivers."""

import math
from typing import NamedTuple

import msgspec

Headers = dict[str, str]
RETRY_AFTER = 'retry-after'
RETRY_AFTER_S = 1.0


class Request(NamedTuple):
    """A whole request as the server read it.

    Attributes:
        method: Method in upper case.
        target: Path and query as sent.
        headers: Header values by lower-case name; repeats joined by a comma.
        body: The whole body.
        peer: IP address of the other side.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    peer: str


class Limits(NamedTuple):
    """Bounds on what one connection may take.

    Attributes:
        header_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a body.
        read_s: Seconds within which a request must have come whole.
        idle_s: Seconds a connection may wait for its next request.
        write_s: Seconds for which a write may be blocked by a slow reader.
        connections: Most connections at once; more are closed at once.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    read_s: float = 10.0
    idle_s: float = 75.0
    write_s: float = 60.0
    connections: int = 8192


class Outgoing(NamedTuple):
    """A request that we send.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Header values by lower-case name, without framing. Where
            it has no host, the address of the server is sent.
        body: The whole body.
        fresh: Take a new connection, never a kept one. A kept connection
            may be closed by the server just as the request is written, after
            which nobody knows whether it ran.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    fresh: bool = False


to_json = msgspec.json.Encoder().encode


class NotSentError(Exception):
    """No byte of the request can have reached the server."""


class BrokenError(Exception):
    """The exchange broke after a byte was written; it may have run."""


def retry_after(headers: Headers, absent_s: float = RETRY_AFTER_S) -> float:
    """Return the seconds of ``retry-after``; one where it can't be read.

    Args:
        headers: Headers of an answer.
        absent_s: What is returned where there is none.
    """
    if RETRY_AFTER not in headers:
        return absent_s
    try:
        seconds = float(headers[RETRY_AFTER])
    except ValueError:
        return RETRY_AFTER_S
    is_time = math.isfinite(seconds) and seconds >= 0
    return seconds if is_time else RETRY_AFTER_S
