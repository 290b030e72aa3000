"""Record of a request that an entry process serves."""

from typing import NamedTuple

from beryllug.core import config_data, request_data


class Call(NamedTuple):
    """A client request after parsing and authentication.

    Attributes:
        facts: Input for routing and admission decisions.
        account: The client account.
        method: HTTP method for the backend server.
        target: Path and query for the backend server.
        body: Request body as received.
        content_type: Media type of the body.
        body_hash: Hex digest of method, target and body.
        idempotency_key: Key sent by the client, or empty.
        session_id: Session name sent by the client, or empty.
        session_token: Token from an earlier answer, or empty.
        stream: Whether the client wants the answer as an event stream.
        deadline: Monotonic second by which the answer must be complete.
        wall: Wall-clock second of arrival.
    """

    facts: request_data.Facts
    account: config_data.Account
    method: str
    target: str
    body: bytes
    content_type: str
    body_hash: str
    idempotency_key: str
    session_id: str
    session_token: str
    stream: bool
    deadline: float
    wall: float

    @property
    def request_id(self) -> str:
        """Unique id, and key of the billing record."""
        return self.facts.request_id

    @property
    def fingerprint(self) -> str:
        """Identifies the request across resends."""
        return f'{self.account.account_id}:{self.body_hash}'
