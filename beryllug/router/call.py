"""A caller's request as the flows of the router handle it."""

import functools
import hashlib
from typing import NamedTuple

from beryllug.core.placement import suspect_keys
from beryllug.core.routes import routes_data
from beryllug.drivers import http_data
from beryllug.platform import requests

# Statuses that the router itself answers with.
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
DIGEST_BYTES = 8
# Lists of segments whose keys are kept. Requests of a conversation share them.
MAX_KEPT_LISTS = 16


class Call(NamedTuple):
    """A request with its route.

    Attributes:
        req: The request.
        asked: The parsed request headers.
        route: Its route.
        account: Its client account; None on a route without keys.
        service: The service that it is routed to.
        arrived_at: Monotonic second at which it was read.
        deadline: Monotonic second by which the caller must have an answer.
    """

    req: http_data.Request
    asked: requests.RequestHeaders
    route: routes_data.Route
    account: routes_data.Account | None
    service: str
    arrived_at: float
    deadline: float

    @property
    def account_name(self) -> str:
        """Return the name of the client account, or an empty string."""
        return self.account.name if self.account else ''

    @property
    def segments(self) -> tuple[str, ...]:
        """Return the ids of the prompt segments that others may share."""
        shared = self.asked.shared
        if not shared:
            return ()
        return tuple(dict.fromkeys(shared.split(',')))

    @property
    def segment_keys(self) -> suspect_keys.Keys:
        """Return the keys of these segments."""
        shared = self.asked.shared
        return _segment_keys(shared) if shared else ()

    @property
    def keys(self) -> suspect_keys.Keys:
        """Return all keys by which it is known."""
        return (self.fingerprint, *self.segment_keys)

    @property
    def fingerprint(self) -> str:
        """Return a digest that is the same when a request is sent again."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self.req.method, self.req.target, self.account_name):
            digest.update(part.encode())
            digest.update(b'\n')
        digest.update(self.req.body)
        return digest.hexdigest()


@functools.lru_cache(MAX_KEPT_LISTS)
def _segment_keys(shared: str) -> suspect_keys.Keys:
    return suspect_keys.segment_keys(shared.split(','))


class RefusedError(Exception):
    """The router itself answers a request with an error.

    Attributes:
        status: HTTP status. 429 and 503 guarantee that the request has not run
            and never will; 502 and 504 guarantee nothing.
        reason: The reason, for the log and the response body.
        retry_after_s: Seconds after which a retry can succeed, or None.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Store the status, the reason and the retry delay."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
