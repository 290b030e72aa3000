"""What callers, servers and the soak itself saw, for the checks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.standins import platform_runner


class Sent(NamedTuple):
    """A request of a caller, and what came of it.

    Attributes:
        attempt_id: Its id.
        path: Its path, which names its route.
        body: Its body.
        key: Key that it carried.
        router: Name of the router that took it.
        began_at: Monotonic second at which it was sent.
        ended_at: Second at which its answer was whole, or it failed.
        status: Status of its answer; 0 without a whole one.
        headers: Headers of its answer.
        answer: Body of its answer.
        failure: Why there is no whole answer, or empty.
        is_unsent: Whether no byte of it can have gone out.
    """

    attempt_id: str
    path: str
    body: bytes
    key: str
    router: str
    began_at: float
    ended_at: float
    status: int = 0
    headers: Mapping[str, str] = {}
    answer: bytes = b''
    failure: str = ''
    is_unsent: bool = False


class Span(NamedTuple):
    """A time in which something was wrong; `what` names whom it hit."""

    what: str
    began_at: float
    ended_at: float


class Ran(NamedTuple):
    """A request that began to run at a server."""

    attempt_id: str
    instance: str
    at: float
    account: str
    headers: Mapping[str, str]


class Came(NamedTuple):
    """A request that reached a server which names a limit.

    Attributes:
        at: Monotonic second.
        router: Name of the router that sent it.
        per_s: The limit, in requests a second.
    """

    at: float
    router: str
    per_s: float


class Ordered(NamedTuple):
    """A roll-out that was ordered, and what became of it.

    Attributes:
        is_bad: Whether half of the new version's answers fail.
        began_at: Second of the order.
        ended_at: Second at which its time was over.
        state: What the routers wrote of it; empty where nothing.
        instances: The new version's servers.
    """

    is_bad: bool
    began_at: float
    ended_at: float
    state: str
    instances: frozenset[str]


class Closed(NamedTuple):
    """A zone that was evacuated, from the order until it was taken back."""

    zone: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class Seen:
    """All that a run saw.

    Attributes:
        sent: Requests of callers.
        spans: Troubles with their times.
        revoked_at: When the second key was taken away, or None.
        left_at: When servers were listed as leaving, by instance.
        runs: Runs at the servers, by attempt id.
        ordered: The roll-out, if there was one.
        closed: Zones that were evacuated.
        zones: Zones of all servers, by instance.
        cold_until: When cold servers are warm again, by instance.
        routers: Router that took each request, by attempt id.
        limited: Requests that reached servers while they named a limit, by
            instance.
        arrivals: Requests that reached each server, by instance and router.
    """

    sent: list[Sent] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    revoked_at: float | None = None
    left_at: dict[str, float] = field(default_factory=dict)
    runs: dict[str, list[Ran]] = field(default_factory=dict)
    ordered: Ordered | None = None
    closed: list[Closed] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    cold_until: dict[str, float] = field(default_factory=dict)
    routers: dict[str, str] = field(default_factory=dict)
    limited: dict[str, list[Came]] = field(default_factory=dict)
    arrivals: dict[tuple[str, str], list[platform_runner.Arrival]] = field(
        default_factory=dict
    )

    def is_troubled(
        self, whats: frozenset[str], began_at: float, ended_at: float
    ) -> bool:
        """Tell whether one of some parties was in trouble within a time."""
        return any(
            span.what in whats
            and span.began_at <= ended_at
            and began_at <= span.ended_at
            for span in self.spans
        )
