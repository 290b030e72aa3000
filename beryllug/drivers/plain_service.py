"""Adapter of plain HTTP services, which run beside the model engines.

A call is forwarded unchanged, with the request id added. The response's bytes
pass through as well; errors are those of the HTTP client.
"""

from typing import NamedTuple, Protocol

from beryllug.drivers import http_client, http_data

REQUEST_ID = 'x-request-id'
ACCOUNT = 'x-account'
IDEMPOTENCY_KEY = 'idempotency-key'


class PlainRequest(NamedTuple):
    """A call of a plain service.

    Attributes:
        request_id: Id of the request, assigned by beryllug.
        account_id: The client account.
        method: HTTP method in upper case.
        target: Path and query at the service.
        body: The body as received.
        content_type: Media type of the body, or empty.
        idempotency_key: The caller's key, or empty.
        new_connection: Open a new connection instead of reusing an idle one.
    """

    request_id: str
    account_id: str
    method: str
    target: str
    body: bytes = b''
    content_type: str = ''
    idempotency_key: str = ''
    new_connection: bool = False


class PlainService(Protocol):
    """The interface to plain services, each at its address."""

    async def call(
        self, address: str, ask: PlainRequest
    ) -> http_client.IncomingResponse:
        """Forward a call; returns once the response head arrived.

        Raises:
            NotSentError: No byte can have reached the service.
            BrokenError: It may or may not have run.
        """


class HttpPlainService:
    """Plain services over HTTP."""

    def __init__(self, client: http_client.HttpClient) -> None:
        """Keep the HTTP client."""
        self._client = client

    async def call(
        self, address: str, ask: PlainRequest
    ) -> http_client.IncomingResponse:
        """Forward a call; see `PlainService`."""
        headers = {REQUEST_ID: ask.request_id, ACCOUNT: ask.account_id}
        if ask.content_type:
            headers['content-type'] = ask.content_type
        if ask.idempotency_key:
            headers[IDEMPOTENCY_KEY] = ask.idempotency_key
        outgoing = http_data.Outgoing(
            ask.method, ask.target, headers, ask.body, ask.new_connection
        )
        return await self._client.request(address, outgoing)
