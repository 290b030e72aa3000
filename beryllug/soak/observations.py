"""Observations of callers, servers and the soak itself, for the checks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.standins import platform_runner


class Sent(NamedTuple):
    """A request of a caller, and its result.

    Attributes:
        attempt_id: Its attempt id.
        path: Its path, which identifies the route.
        body: Its body.
        key: The API key that it carried.
        router: Name of the router that received it.
        began_at: Monotonic time at which it was sent.
        ended_at: Monotonic time at which its answer was complete or it failed.
        status: Status of its answer; 0 without a complete one.
        headers: Headers of its answer.
        answer: Body of its answer.
        failure: Why there is no complete answer, or empty.
        is_unsent: Whether certainly no byte of it was sent.
        prompt: Its prompt segments, if not those of its route.
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
    prompt: str = ''


class FaultPeriod(NamedTuple):
    """A period of a fault; `component` names the affected component."""

    component: str
    began_at: float
    ended_at: float


class Run(NamedTuple):
    """A request that started to run at a server."""

    attempt_id: str
    instance: str
    at: float
    account: str
    headers: Mapping[str, str]


class LimitedArrival(NamedTuple):
    """A request that reached a server which stated a limit.

    Attributes:
        at: Monotonic time.
        router: Name of the router that sent it.
        per_s: The limit, in requests per second.
    """

    at: float
    router: str
    per_s: float


class RolloutResult(NamedTuple):
    """A roll-out that was ordered, and its result.

    Attributes:
        is_bad: Whether half of the new version's answers are errors.
        began_at: Time of the order.
        ended_at: Time at which its duration was over.
        state: The state that the routers wrote; empty if none.
        instances: Servers of the new version.
    """

    is_bad: bool
    began_at: float
    ended_at: float
    state: str
    instances: frozenset[str]


class Evacuation(NamedTuple):
    """A zone that was evacuated, from the order until its removal."""

    zone: str
    began_at: float
    ended_at: float


@dataclass(slots=True)
class Observations:
    """All observations of a run.

    Attributes:
        sent: Requests of callers.
        fault_periods: Periods of faults.
        revoked_at: When the second key was revoked, or None.
        raised_at: When the limit of bodies was raised, or None.
        draining_since: When servers were listed as draining, by instance.
        runs: Runs at the servers, by attempt id.
        rollout_result: The roll-out, if there was one.
        closed: Zones that were evacuated.
        zones: Zones of all servers, by instance.
        cold_until: When the cold start of servers ends, by instance.
        routers: Router that received each request, by attempt id.
        limited: Requests that reached servers while they stated a limit, by
            instance.
        arrivals: Requests that reached each server, by instance and router.
        falls: How often each server fell over, by instance.
        crashes: When servers crashed under the request that crashes them.
        known_after: Crashes from which such requests are known: fewer if it
            is one that is sent again and again.
    """

    sent: list[Sent] = field(default_factory=list)
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    revoked_at: float | None = None
    raised_at: float | None = None
    draining_since: dict[str, float] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    rollout_result: RolloutResult | None = None
    closed: list[Evacuation] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    cold_until: dict[str, float] = field(default_factory=dict)
    routers: dict[str, str] = field(default_factory=dict)
    limited: dict[str, list[LimitedArrival]] = field(default_factory=dict)
    arrivals: dict[tuple[str, str], list[platform_runner.ReceivedRequest]] = (
        field(default_factory=dict)
    )
    falls: dict[str, int] = field(default_factory=dict)
    crashes: list[float] = field(default_factory=list)
    known_after: int = 3

    def had_fault(
        self, components: frozenset[str], began_at: float, ended_at: float
    ) -> bool:
        """Return whether a fault of some components overlaps a period."""
        return any(
            span.component in components
            and span.began_at <= ended_at
            and began_at <= span.ended_at
            for span in self.fault_periods
        )
