"""Records and errors of the model engines."""

from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data


class ChatAsk(NamedTuple):
    """A chat completion to be run.

    Attributes:
        request_id: Id under which the engine keeps and resumes the answer.
        account_id: Client account, for the engine's own record.
        version: The model and the version that it must run on.
        body: The caller's JSON body, passed on as it came.
        priority: Lower goes first where requests wait for the batch.
        fresh: Take a new connection, never a kept one.
    """

    request_id: str
    account_id: str
    version: config_data.VersionRef
    body: bytes
    priority: int = 0
    fresh: bool = False


class Usage(NamedTuple):
    """Tokens that an answer used."""

    tokens_in: int
    tokens_out: int


class LoadReport(NamedTuple):
    """What an engine says of itself, always some time ago.

    Attributes:
        running: Requests in the batch.
        queued: Requests that wait for a place in it.
        measured_at: Wall-clock second of the measurement.
        loaded: Versions that are loaded; empty where it runs any.
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
    """What an order demands."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ROLE = 'role'


class Order(NamedTuple):
    """An order to an engine; it states the desired end, so may be repeated.

    Attributes:
        order_id: Unique id.
        kind: What is demanded.
        version: The version to load or unload.
        fencing: Fencing token of the lease under which it is sent.
        adapter: Name of an adapter to load onto the version, or empty.
        role: The role to take, for a role order.
    """

    order_id: str
    kind: OrderKind
    version: config_data.VersionRef
    fencing: int
    adapter: str = ''
    role: str = ''


class CancelResult(NamedTuple):
    """What became of a request that was cancelled.

    Attributes:
        known: False when the engine does not know the request.
        started: Whether it had begun to run.
        finished: Whether it had ended before the cancel.
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
    """A call of an engine failed."""


class NotRunError(EngineError):
    """The call surely had no effect."""


class UnknownRunError(EngineError):
    """The call may or may not have had an effect."""


class FailedRunError(EngineError):
    """The engine answered that the call failed."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the HTTP status."""
        super().__init__(f'status {status}: {reason}')
        self.status = status


class StaleOrderError(NotRunError):
    """The order carried an older fencing token than one already seen."""

    def __init__(self, highest: int) -> None:
        """Keep the highest token that the engine has seen."""
        super().__init__(f'highest fencing token is {highest}')
        self.highest = highest
