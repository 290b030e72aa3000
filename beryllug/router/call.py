"""One request of a caller, as the flows of this role pass it on."""

from typing import NamedTuple

from beryllug.core.routes import routes_data
from beryllug.drivers import http_data
from beryllug.platform import requests

# Statuses of our own.
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Call(NamedTuple):
    """A request that has a route.

    Attributes:
        req: The request.
        asked: What its headers say.
        route: Its route.
        account: Its client account; None on a route without keys.
        service: The service that it goes to.
        arrived_at: Monotonic second at which it was read.
        deadline: Monotonic second by which its caller must have an answer.
    """

    req: http_data.Request
    asked: requests.Asked
    route: routes_data.Route
    account: routes_data.Account | None
    service: str
    arrived_at: float
    deadline: float

    @property
    def account_name(self) -> str:
        """Return the name of the client account, or nothing."""
        return self.account.name if self.account else ''


class RefusedError(Exception):
    """A request gets an answer of our own.

    Attributes:
        status: HTTP status. 429 and 503 promise that it has not run and
            never will; 502 and 504 promise nothing.
        reason: Why, for the log and the body.
        retry_after_s: Seconds after which it can be served, or None.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Keep what is to be answered."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
