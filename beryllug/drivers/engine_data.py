"""Records and errors of the model engines."""

from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data


class ChatRequest(NamedTuple):
    """A chat completion request.

    Attributes:
        request_id: Id under which the engine keeps and resumes the response.
        account_id: Client account, for the engine's own records.
        version: The model and the version that it must run on.
        body: The caller's JSON body, forwarded unchanged.
        priority: Lower goes first while requests wait for the batch.
        new_connection: Open a new connection instead of reusing an idle one.
    """

    request_id: str
    account_id: str
    version: config_data.VersionRef
    body: bytes
    priority: int = 0
    new_connection: bool = False


class Usage(NamedTuple):
    """Token counts of a response."""

    tokens_in: int
    tokens_out: int


class LoadReport(NamedTuple):
    """An engine's report of its own state, which always lags behind.

    Attributes:
        running: Requests in the batch.
        queued: Requests that wait for a slot in the batch.
        measured_at: Wall-clock time of the measurement, in seconds.
        loaded: Versions that are loaded; empty if it runs any version.
        role: Its role, as ``mixed``, ``prefill`` or ``decode``.
        fencing: Highest fencing token it has seen.
    """

    running: int
    queued: int
    measured_at: float
    loaded: tuple[config_data.VersionRef, ...] = ()
    role: str = ''
    fencing: int = 0


class OrderKind(StrEnum):
    """Kinds of orders."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ROLE = 'role'


class Order(NamedTuple):
    """An order to an engine; idempotent, as it states the desired state.

    Attributes:
        order_id: Unique id.
        kind: Kind of the order.
        version: The version to load or unload.
        fencing: Fencing token of the lease under which it is sent.
        adapter: Name of an adapter to load onto the version, or empty.
        role: The new role, for a role order.
    """

    order_id: str
    kind: OrderKind
    version: config_data.VersionRef
    fencing: int
    adapter: str = ''
    role: str = ''


class CancelResult(NamedTuple):
    """The state of a cancelled request.

    Attributes:
        known: Whether the engine knows the request.
        started: Whether it had begun to run.
        finished: Whether it had ended before it was cancelled.
    """

    known: bool
    started: bool = False
    finished: bool = False


class CacheEvent(NamedTuple):
    """A block of a prompt prefix was stored or evicted."""

    sequence: int
    stored: bool
    block: str


class CacheEvents(NamedTuple):
    """Events after a sequence number; a jump in the numbers is a gap."""

    latest: int
    events: tuple[CacheEvent, ...]


class EngineError(Exception):
    """A call to an engine failed."""


class NotRunError(EngineError):
    """The call certainly had no effect."""


class UnknownRunError(EngineError):
    """The call may or may not have had an effect."""


class FailedRunError(EngineError):
    """The engine responded that the call failed."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the HTTP status."""
        super().__init__(f'status {status}: {reason}')
        self.status = status


class StaleOrderError(NotRunError):
    """The engine has already seen a newer fencing token."""

    def __init__(self, highest: int) -> None:
        """Keep the highest fencing token that the engine has seen."""
        super().__init__(f'highest fencing token is {highest}')
        self.highest = highest
