"""Records and errors of the HTTP client and server."""

import math
from typing import NamedTuple

import msgspec

Headers = dict[str, str]
RETRY_AFTER = 'retry-after'
RETRY_AFTER_S = 1.0


class Request(NamedTuple):
    """A complete request as the server read it.

    Attributes:
        method: Method in upper case.
        target: Path and query as sent.
        headers: Header values by lower-case name; repeats joined by a comma.
        body: The whole body.
        peer: IP address of the client.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    peer: str


class Limits(NamedTuple):
    """Limits on each connection of a server.

    Attributes:
        header_bytes: Maximum size of a request's head.
        body_bytes: Maximum size of a request's body.
        read_s: Seconds within which a whole request must have arrived.
        idle_s: Seconds a connection may wait for its next request.
        write_s: Seconds for which a write may be blocked by a slow reader.
        connections: Maximum number of connections; more are closed on accept.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    read_s: float = 10.0
    idle_s: float = 75.0
    write_s: float = 60.0
    connections: int = 8192


class AnswerLimits(NamedTuple):
    """Limits on the answers that a client reads.

    Attributes:
        body_bytes: Maximum size of a body that is read whole.
        total_bytes: Size of all bodies that are being read whole, above which
            those that hold more than an equal share of it fail.
        interim: Maximum number of informational responses before an answer.
    """

    body_bytes: int = 4194304
    total_bytes: int = 16777216
    interim: int = 16


class Outgoing(NamedTuple):
    """A request to be sent by the client.

    Attributes:
        method: Method in upper case.
        target: Path and query.
        headers: Header values by lower-case name, without framing headers.
            Without a host header, the address of the server is sent as host.
        body: The whole body.
        new_connection: Open a new connection instead of reusing an idle one.
            The server may close an idle connection just as the request is
            written; it is then unknown whether the request ran.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    new_connection: bool = False


to_json = msgspec.json.Encoder().encode


class NotSentError(Exception):
    """No byte of the request can have reached the server."""


class BrokenError(Exception):
    """The exchange failed after a byte was written; it may have run."""


class ExcessError(BrokenError):
    """The server sent more than a limit allows; the request may have run."""


class RelayLostError(BrokenError):
    """The process that forwards the exchange is lost, not its server."""


def retry_after(headers: Headers, absent_s: float = RETRY_AFTER_S) -> float:
    """Parse ``retry-after`` as seconds; `RETRY_AFTER_S` if it is invalid.

    Args:
        headers: Headers of a response.
        absent_s: The result if there is no such header.
    """
    if RETRY_AFTER not in headers:
        return absent_s
    try:
        seconds = float(headers[RETRY_AFTER])
    except ValueError:
        return RETRY_AFTER_S
    is_valid = math.isfinite(seconds) and seconds >= 0
    return seconds if is_valid else RETRY_AFTER_S
