"""Records of a request on its way through an entry process."""

from typing import NamedTuple

from beryllug.core import config_data, request_data


class Call(NamedTuple):
    """A caller's request after parsing and authentication.

    Attributes:
        facts: What the deciding functions need of it.
        account: The client account.
        method: HTTP method for the backend server.
        target: Path and query for the backend server.
        body: The body as received.
        content_type: Media type of the body.
        body_hash: Hex digest of method, target and body.
        idempotency_key: The caller's key, or empty.
        session_id: The caller's name of its session, or empty.
        session_token: Token of an earlier answer, or empty.
        stream: Whether the answer is wanted as events.
        deadline: Monotonic second by which the answer must have ended.
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
        """Unique id; the key of the bill."""
        return self.facts.request_id

    @property
    def fingerprint(self) -> str:
        """What stays the same when the caller sends the request again."""
        return f'{self.account.account_id}:{self.body_hash}'
