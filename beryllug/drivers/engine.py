"""Adapter of the model engines.

Only this module knows their wire format: a chat completions API with request
id, version and priority in headers, and calls for resume, cancel, load,
orders, cache events and KV cache transfer.

Chat completions return the response as an `http_client.IncomingResponse`, whose
bytes pass through unparsed, and raise the HTTP client's errors, which tell
whether a byte can have been sent. The other calls raise
`engine_data.EngineError`s.
"""

from http import HTTPStatus
from typing import Protocol, TypedDict, TypeVar
from urllib import parse as url_parse

import msgspec

from beryllug.core import config_data
from beryllug.drivers import engine_data, http_client, http_data

CHAT = '/v1/chat/completions'
REQUEST_ID = 'x-request-id'
ACCOUNT = 'x-account'
MODEL = 'x-model'
MODEL_VERSION = 'x-model-version'
PRIORITY = 'x-priority'
RUN = 'x-run'
NOT_RUN = 'not_run'
JSON_TYPE = 'application/json'
DECLINE_STATUSES = (
    HTTPStatus.NOT_FOUND,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
MAX_REASON_BYTES = 200

_Shape = TypeVar('_Shape')


class Engine(Protocol):
    """The interface to model engines, each at its address."""

    async def chat(
        self, address: str, ask: engine_data.ChatRequest
    ) -> http_client.IncomingResponse:
        """Run a chat completion; returns once the response head arrived.

        Raises:
            NotSentError: No byte can have reached the engine.
            BrokenError: It may or may not run.
        """

    async def resume(
        self, address: str, request_id: str, offset: int
    ) -> http_client.IncomingResponse | None:
        """Resume a response body at a byte offset.

        Returns:
            The rest of the response, or None if the engine has no such
            response.

        Raises:
            NotSentError: The engine was not reached.
            BrokenError: The exchange failed.
        """

    async def cancel(
        self, address: str, request_id: str
    ) -> engine_data.CancelResult:
        """Cancel a request."""

    async def load(self, address: str) -> engine_data.LoadReport:
        """Read the load report, which lags behind the actual load."""

    async def order(self, address: str, order: engine_data.Order) -> None:
        """Send an order.

        Raises:
            StaleOrderError: The fencing token is old; nothing was done.
            NotRunError: Nothing was done.
            UnknownRunError: It may or may not have been executed.
        """

    async def cache_events(
        self, address: str, after: int
    ) -> engine_data.CacheEvents:
        """Read the prefix cache events after a sequence number."""

    async def export_kv(
        self, address: str, ask: engine_data.ChatRequest
    ) -> bytes:
        """Export the KV cache that the engine has for a prompt's prefix."""

    async def import_kv(self, address: str, exported: bytes) -> int:
        """Import an exported KV cache; returns the imported blocks."""


class _Loaded(TypedDict):
    model: str
    version: str


class _Load(TypedDict):
    running: int
    queued: int
    measured_at: float
    loaded: list[_Loaded]
    role: str
    fencing: int


class _Event(TypedDict):
    sequence: int
    stored: bool
    block: str


class _Events(TypedDict):
    latest: int
    events: list[_Event]


class _Cancelled(TypedDict):
    started: bool
    finished: bool


class _Imported(TypedDict):
    blocks: int


class _Fencing(TypedDict):
    highest: int


class HttpEngine:
    """Model engines over HTTP."""

    def __init__(
        self, client: http_client.HttpClient, timeout_s: float
    ) -> None:
        """Create the adapter; the timeout bounds all calls but chats."""
        self._client = client
        self._timeout_s = timeout_s

    async def chat(
        self, address: str, ask: engine_data.ChatRequest
    ) -> http_client.IncomingResponse:
        """Run a chat completion; see `Engine`."""
        outgoing = http_data.Outgoing(
            'POST', CHAT, _chat_headers(ask), ask.body, ask.new_connection
        )
        return await self._client.request(address, outgoing)

    async def resume(
        self, address: str, request_id: str, offset: int
    ) -> http_client.IncomingResponse | None:
        """Resume a response body at a byte offset; see `Engine`."""
        target = f'{_request_path(request_id)}/resume?offset={offset}'
        outgoing = http_data.Outgoing('GET', target, {})
        incoming = await self._client.request(
            address, outgoing, self._timeout_s
        )
        if incoming.status == HTTPStatus.NOT_FOUND:
            incoming.close()
            return None
        return incoming

    async def cancel(
        self, address: str, request_id: str
    ) -> engine_data.CancelResult:
        """Cancel a request."""
        outgoing = http_data.Outgoing('DELETE', _request_path(request_id), {})
        status, body = await self._call(address, outgoing)
        if status == HTTPStatus.NOT_FOUND:
            return engine_data.CancelResult(known=False)
        _raise_failure(status, body)
        cancelled = _decode(body, _Cancelled)
        return engine_data.CancelResult(known=True, **cancelled)

    async def load(self, address: str) -> engine_data.LoadReport:
        """Read the load report; see `Engine`."""
        body = await self._get(address, '/v1/load')
        report = _decode(body, _Load)
        loaded = (config_data.VersionRef(**line) for line in report['loaded'])
        return engine_data.LoadReport(
            report['running'],
            report['queued'],
            report['measured_at'],
            tuple(loaded),
            report['role'],
            report['fencing'],
        )

    async def order(self, address: str, order: engine_data.Order) -> None:
        """Send an order; see `Engine`."""
        fields = {**order._asdict(), **order.version._asdict()}
        outgoing = _post('/v1/orders', http_data.to_json(fields))
        status, body = await self._call(address, outgoing)
        if status == HTTPStatus.CONFLICT:
            raise engine_data.StaleOrderError(
                _decode(body, _Fencing)['highest']
            )
        _raise_failure(status, body)

    async def cache_events(
        self, address: str, after: int
    ) -> engine_data.CacheEvents:
        """Read the prefix cache events after a sequence number."""
        body = await self._get(address, f'/v1/cache-events?after={after}')
        decoded = _decode(body, _Events)
        events = (engine_data.CacheEvent(**line) for line in decoded['events'])
        return engine_data.CacheEvents(decoded['latest'], tuple(events))

    async def export_kv(
        self, address: str, ask: engine_data.ChatRequest
    ) -> bytes:
        """Export the KV cache that the engine has for a prompt's prefix."""
        outgoing = http_data.Outgoing(
            'POST', '/v1/kv/export', _chat_headers(ask), ask.body
        )
        status, body = await self._call(address, outgoing)
        _raise_failure(status, body)
        return body

    async def import_kv(self, address: str, exported: bytes) -> int:
        """Import an exported KV cache; returns the imported blocks."""
        outgoing = http_data.Outgoing('POST', '/v1/kv/import', {}, exported)
        status, body = await self._call(address, outgoing)
        _raise_failure(status, body)
        return _decode(body, _Imported)['blocks']

    async def _get(self, address: str, target: str) -> bytes:
        outgoing = http_data.Outgoing('GET', target, {})
        status, body = await self._call(address, outgoing)
        _raise_failure(status, body)
        return body

    async def _call(
        self, address: str, outgoing: http_data.Outgoing
    ) -> tuple[int, bytes]:
        try:
            incoming, body = await self._client.call(
                address, outgoing, self._timeout_s
            )
        except http_data.NotSentError as exc:
            raise engine_data.NotRunError(str(exc)) from exc
        except http_data.BrokenError as exc:
            raise engine_data.UnknownRunError(str(exc)) from exc
        if is_declined(incoming):
            raise engine_data.NotRunError(f'status {incoming.status}')
        return incoming.status, body


def is_declined(incoming: http_client.IncomingResponse) -> bool:
    """Return whether the server states that it did not run the request.

    Such a request may be sent to another server. A response that rejects the
    request itself is not meant: every server would give it, so it is passed
    to the caller.
    """
    has_decline_status = incoming.status in DECLINE_STATUSES
    return has_decline_status and incoming.headers.get(RUN) == NOT_RUN


def _chat_headers(ask: engine_data.ChatRequest) -> http_data.Headers:
    return {
        'content-type': JSON_TYPE,
        REQUEST_ID: ask.request_id,
        ACCOUNT: ask.account_id,
        MODEL: ask.version.model,
        MODEL_VERSION: ask.version.version,
        PRIORITY: str(ask.priority),
    }


def _request_path(request_id: str) -> str:
    quoted = url_parse.quote(request_id, safe='')
    return f'/v1/requests/{quoted}'


def _post(target: str, body: bytes) -> http_data.Outgoing:
    return http_data.Outgoing('POST', target, {'content-type': JSON_TYPE}, body)


def _raise_failure(status: int, body: bytes) -> None:
    if status >= HTTPStatus.BAD_REQUEST:
        reason = body[:MAX_REASON_BYTES].decode(errors='replace')
        raise engine_data.FailedRunError(status, reason)


def _decode(body: bytes, response_type: type[_Shape]) -> _Shape:
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.DecodeError as exc:
        raise engine_data.UnknownRunError(f'answer unreadable: {exc}') from exc
