"""Client of the system for the proofs and the demo."""

import json
from typing import Any, NamedTuple

from beryllug.drivers import http_client, http_data

CHAT = '/v1/chat/completions'


class Reply(NamedTuple):
    """The response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection was refused or failed.
        headers: Header values by lower-case name.
        body: The complete body.
        broken: Whether the connection failed after a byte was written.
        reason: Why there is no response; empty if there is one.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    broken: bool = False
    reason: str = ''

    def error(self) -> dict[str, Any]:
        """Return the error object of the body; empty if there is none."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return {}
        found = document.get('error', {}) if isinstance(document, dict) else {}
        return dict(found)


class Caller:
    """Sends requests for one client account."""

    def __init__(self, key: str) -> None:
        """Create a client with the account's bearer key."""
        self._key = key
        self._client = http_client.HttpClient()

    async def ask(
        self,
        address: str,
        method: str,
        target: str,
        body: Any = None,
        **fields: str,
    ) -> Reply:
        """Send one request and read the complete response.

        Args:
            address: Address of the entry process.
            method: HTTP method.
            target: Path and query.
            body: Value to send as JSON, None for no body.
            fields: Header values; ``_`` in a name stands for ``-``.
        """
        named = {name.replace('_', '-'): text for name, text in fields.items()}
        outgoing = http_data.Outgoing(
            method,
            target,
            {'authorization': f'Bearer {self._key}', **named},
            b'' if body is None else json.dumps(body).encode(),
        )
        try:
            incoming, read = await self._client.call(address, outgoing)
        except http_data.NotSentError as exc:
            return Reply(0, {}, b'', reason=str(exc))
        except http_data.BrokenError as exc:
            return Reply(0, {}, b'', broken=True, reason=str(exc))
        return Reply(incoming.status, incoming.headers, read)

    async def chat(
        self, address: str, model: str, prompt: str, **fields: Any
    ) -> Reply:
        """Send a chat request; `stream` and `max_tokens` go into the body."""
        body: dict[str, Any] = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        for name in ('stream', 'max_tokens'):
            if name in fields:
                body[name] = fields.pop(name)
        return await self.ask(address, 'POST', CHAT, body, **fields)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
