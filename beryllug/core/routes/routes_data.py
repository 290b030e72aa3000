"""Records of a route table: what an operator declares for callers.

A table is immutable; a newer version replaces it as a whole.
"""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple


class RequestKind(StrEnum):
    """Whether a failed request may be repeated."""

    SAFE = 'safe'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class Target(NamedTuple):
    """A service that a route sends requests to, with its relative weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    Attributes:
        name: Its name.
        host: Host that callers name, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether its requests may be repeated.
        timeout_s: Maximum time that a caller waits.
        target_s: Time within which an answer has its full value.
        gap_s: Longest pause between two events of a stream that is on time.
        priority: Priority of its requests, 0 being the most urgent.
        models: Models to choose from, the smallest first; empty if the caller
            names its model.
        targets: Services with their weights.
        max_attempts: Maximum number of backend servers that one request may be
            sent to.
        is_anonymous: Whether no key is required.
        is_resumable: Whether a stream may be resumed at another backend server.
        regions: Regions that its requests may run in; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    models: tuple[str, ...]
    targets: tuple[Target, ...]
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool
    regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


class Engine(NamedTuple):
    """The capacity of the model runners of a service.

    Attributes:
        slots: Requests that run at once.
        kv_tokens: KV cache capacity in tokens, shared by all of them.
        costs: Cost of 1,000 generated tokens, by model.
        kv_token_bytes: Bytes of a token in the KV cache.
        link_mbps: Rate at which a runner copies cached tokens from another one,
            in Mbit/s.
        may_copy: Whether runners may copy cached prefixes from one another.
    """

    slots: int
    kv_tokens: int
    costs: Mapping[str, float]
    kv_token_bytes: int = 0
    link_mbps: float = 0
    may_copy: bool = False


class Service(NamedTuple):
    """A service.

    Attributes:
        name: Its name.
        max_connections: Connections that one of its servers accepts.
        engine: Capacity of its model runners; None if it runs no models.
        cold_s: Seconds for which a server is cold after its start.
        cold_per_s: Requests a second that a cold server can handle, from all
            callers together; 0 if as many as a warm one.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_s: float = 0
    cold_per_s: float = 0


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Its name.
        priority: Priority of its requests instead of the route's; or None.
        regions: Regions that its requests may run in; empty for any.
    """

    name: str
    priority: int | None
    regions: frozenset[str] = frozenset()


class CallerLimits(NamedTuple):
    """Size limits of a caller's request in bytes, and timeouts in seconds."""

    header_bytes: int
    body_bytes: int
    read_s: float
    idle_s: float


class RouteTable(NamedTuple):
    """Everything that an operator declares for callers.

    Attributes:
        version: Grows with each change.
        routes: Routes by host, the longest prefix first.
        services: Services by name.
        accounts: Client accounts by key.
        needs_keys: Whether requests carry keys at all.
        limits: Limits on callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    needs_keys: bool
    limits: CallerLimits


NO_ROUTES: Mapping[str, tuple[Route, ...]] = MappingProxyType({})
