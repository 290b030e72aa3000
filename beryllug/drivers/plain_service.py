"""Adapter of the plain services beside the model engines.

A call passes through as it came, with our request id added. The answer's
bytes pass through too; errors are the HTTP driver's.
"""

from typing import NamedTuple, Protocol

from beryllug.drivers import http_client, http_data

REQUEST_ID = 'x-request-id'
ACCOUNT = 'x-account'
IDEMPOTENCY_KEY = 'idempotency-key'


class PlainAsk(NamedTuple):
    """A call of a plain service.

    Attributes:
        request_id: Our id of the request.
        account_id: The client account.
        method: HTTP method in upper case.
        target: Path and query at the service.
        body: The body as it came.
        content_type: Media type of the body, or empty.
        idempotency_key: The caller's key, or empty.
        fresh: Take a new connection, never a kept one.
    """

    request_id: str
    account_id: str
    method: str
    target: str
    body: bytes = b''
    content_type: str = ''
    idempotency_key: str = ''
    fresh: bool = False


class PlainService(Protocol):
    """What the system needs of plain services, each at its address."""

    async def call(self, address: str, ask: PlainAsk) -> http_client.Incoming:
        """Pass a call on; returns when the answer's head is here.

        Raises:
            NotSentError: No byte can have reached the service.
            BrokenError: It may or may not have run.
        """


class HttpPlainService:
    """Plain services over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Bind the adapter to a client."""
        self._client = client

    async def call(self, address: str, ask: PlainAsk) -> http_client.Incoming:
        """Pass a call on; see `PlainService`."""
        headers = {REQUEST_ID: ask.request_id, ACCOUNT: ask.account_id}
        if ask.content_type:
            headers['content-type'] = ask.content_type
        if ask.idempotency_key:
            headers[IDEMPOTENCY_KEY] = ask.idempotency_key
        outgoing = http_data.Outgoing(
            ask.method, ask.target, headers, ask.body, ask.fresh
        )
        return await self._client.request(address, outgoing)
