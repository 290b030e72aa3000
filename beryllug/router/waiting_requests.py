"""Service 'waiting_requests': requests that wait for room at a server.

While servers of a service refuse requests, each process sends its part of the
service's capacity and holds other requests in order, for as long as their
answers can still be in time. Used only if the setting `queue_requests` is not
0; while no service is overloaded, a request costs a count and a look-up.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Any, NamedTuple

from beryllug.core import rendezvous, settings_data
from beryllug.core.placement import (
    admission,
    load_sums,
    retry_delay,
    service_rates,
    waiting_queue,
)
from beryllug.core.routes import match
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import call as call_data, dispatch, pool, repeats, turns

IsWithinShare = Callable[[str, str, float | None, float], bool]
# Weight of the newest answer in the mean time to an answer of a route.
NEWEST_WEIGHT = 0.1
# Most routes whose times are kept; names of replaced tables accumulate.
MAX_ROUTES = 1000
# Seconds between two log lines on absurd reports.
ABSURD_LOG_S = 60.0
MS = 1000


class Stage(StrEnum):
    """How far a request has come when it asks for its turn."""

    NEW = 'new'
    REPEATED = 'repeated'
    STARTED = 'started'


CAUSES: Mapping[turns.Result, retry_delay.Cause] = MappingProxyType(
    {
        turns.Result.LATE: retry_delay.Cause.OVERLOADED,
        turns.Result.EXPIRED: retry_delay.Cause.OVERLOADED,
        turns.Result.FULL: retry_delay.Cause.QUEUE_FULL,
        turns.Result.STOPPING: retry_delay.Cause.STOPPING,
    }
)


class _Asked(NamedTuple):
    """A request that asks for its turn, and what was known then.

    Attributes:
        call: The request.
        rank: Its place in the order.
        place: Its place in the queue.
        verdict: What was decided.
        at: The second.
    """

    call: call_data.Call
    rank: waiting_queue.Rank
    place: admission.Place
    verdict: admission.Verdict
    at: float


def _always(
    service: str, account: str, capacity_per_s: float | None, now: float
) -> bool:
    """Default of `is_within_share`."""
    return True


class WaitingRequests:
    """Gives requests for overloaded services their turn, or rejects them.

    Attributes:
        is_within_share: Returns whether a request of an account is within its
            share of a service with some capacity a second.
    """

    def __init__(
        self,
        cfg: settings_data.Router,
        rates: service_rates.Rates,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the rates of the fleet."""
        self.is_within_share: IsWithinShare = _always
        self._rates = rates
        self._repeats: repeats.Repeats | None = None
        self._lines = lines
        self._turns = turns.Turns(cfg, rates)
        self._work_s: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._counts: dict[turns.Result, int] = {}
        self._absurd_logged = (0, float('-inf'))

    async def start(self) -> None:
        """Do nothing: the service is driven by requests."""

    async def stop(self, grace_s: float) -> None:
        """Reject what still waits."""
        self.drain(time.monotonic())

    def connect(self, servers: pool.Pool) -> None:
        """Report the rates to peers, with the other counts of the pool."""
        self._repeats = servers.repeats
        servers.counters.append(self._shared_counts)

    def drain(self, until: float) -> None:
        """Let no request wait after some second."""
        self._turns.drain(until)

    def dump(self) -> dict[str, Any]:
        """Return queue lengths, and the capacity of overloaded services."""
        now = time.monotonic()
        return {
            'waiting': self._turns.queue.requests,
            'bytes': self._turns.queue.size,
            'oldest_s': round(
                waiting_queue.oldest_s(self._turns.queue, now), 3
            ),
            'counts': dict(self._counts),
            'overloaded': {
                service: {
                    'capacity_per_s': known.capacity_per_s,
                    'waiting': waiting_queue.waiting(
                        self._turns.queue, service
                    ),
                    **service_rates.totals(self._rates, service, now)._asdict(),
                }
                for service, known in self._rates.overloads.items()
            },
            'absurd_reports': self._rates.absurd,
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the length and age of the queue, and how waits ended."""
        now = time.monotonic()
        yield metrics_data.Sample(
            'queue_requests',
            self._turns.queue.requests,
            'Requests that wait for room at a backend server.',
        )
        yield metrics_data.Sample(
            'queue_oldest_seconds',
            waiting_queue.oldest_s(self._turns.queue, now),
            'Time for which the oldest of them has waited.',
        )
        yield metrics_data.Sample(
            'services_overloaded',
            len(self._rates.overloads),
            'Services whose servers refuse requests for lack of room.',
        )
        for came, count in self._counts.items():
            yield metrics_data.Sample(
                'queue_results',
                count,
                'Requests that waited, or were rejected, by result.',
                metrics_data.Kind.COUNTER,
                {'result': came},
            )

    async def turn(
        self, call: call_data.Call, stage: Stage
    ) -> call_data.RefusedError | None:
        """Wait until a request may be sent; return why it is rejected, if so.

        A request of which a part has run is never held.
        """
        now = time.monotonic()
        if stage is Stage.NEW:
            service_rates.offered(self._rates, call.service, now)
        capacity = service_rates.capacity_per_s(self._rates, call.service, now)
        if capacity is None:
            return None
        self._log_overload(call.service, now)
        service = self._turns.service(call.service, now)
        if stage is Stage.STARTED:
            self._turns.charge(call.service, now)
            return None
        asked = self._ask(call, service, capacity, stage, now)
        match asked.verdict.decision:
            case admission.Decision.SEND:
                self._turns.charge(call.service, now)
                return None
            case admission.Decision.REJECT:
                return self._ended(asked, turns.Result.LATE)
        return await self._wait(asked)

    def sent(self, call: call_data.Call) -> float:
        """Record that an attempt is sent; return the present second."""
        now = time.monotonic()
        service_rates.sent(self._rates, call.service, now)
        return now

    def ended(
        self, call: call_data.Call, outcome: dispatch.Outcome, sent_at: float
    ) -> None:
        """Record how the head of an attempt's answer was awaited."""
        now = time.monotonic()
        match outcome:
            case (
                dispatch.NotRun(is_gone=True)
                | dispatch.NotRun(is_misdirected=True)
            ):
                service_rates.unsent(self._rates, call.service, now)
                self._turns.refund(call.service)
            case dispatch.NotRun():
                service_rates.refused(self._rates, call.service, now)
            case dispatch.Answered():
                self._record_work(call.route.name, now - sent_at)

    def _shared_counts(self, now: float) -> dict[str, load_sums.Load]:
        if self._repeats is not None:
            self._rates.processes = self._repeats.processes
        return service_rates.reported(self._rates, now)

    def _record_work(self, route: str, took_s: float) -> None:
        known = self._work_s.get(route)
        if known is None:
            if len(self._work_s) >= MAX_ROUTES:
                self._work_s.clear()
            self._work_s[route] = took_s
            return
        self._work_s[route] = known + (took_s - known) * NEWEST_WEIGHT

    def _ask(
        self,
        call: call_data.Call,
        service: turns.Service,
        capacity: float,
        stage: Stage,
        now: float,
    ) -> _Asked:
        work_s = self._work_s.get(call.route.name, 0.0)
        # A repeated request has spent its account's credit before.
        is_within = stage is Stage.REPEATED or self.is_within_share(
            call.service, call.account_name, capacity, now
        )
        urgency = match.urgency(call.route, call.account)
        rank = waiting_queue.Rank(
            not is_within,
            urgency,
            call.arrived_at + call.route.target_s - work_s,
            next(self._numbers),
        )
        rate = service_rates.own_rate_per_s(self._rates, call.service, now)
        rate = rate or capacity
        place = admission.Place(
            admission.refill(service.pace, rate, now),
            rate,
            admission.arrived(service.arrivals, (not is_within, urgency), now),
            waiting_queue.ahead(self._turns.queue, call.service, rank),
        )
        times = admission.Times(
            call.route.target_s,
            work_s,
            now - call.arrived_at,
            min(call.deadline, self._turns.drain_until) - now,
        )
        return _Asked(call, rank, place, admission.decide(place, times), now)

    async def _wait(self, asked: _Asked) -> call_data.RefusedError | None:
        call = asked.call
        entry = waiting_queue.Entry(
            asked.rank,
            call.service,
            len(call.req.body),
            asked.at,
            call.deadline - self._work_s.get(call.route.name, 0.0),
        )
        try:
            came = await self._turns.wait(entry)
        except asyncio.CancelledError:
            self._ended(asked, turns.Result.WITHDRAWN)
            raise
        return self._ended(asked, came)

    def _ended(
        self, asked: _Asked, came: turns.Result
    ) -> call_data.RefusedError | None:
        """Log how a request got its turn; return why not, if it did not."""
        call, now = asked.call, time.monotonic()
        self._counts[came] = self._counts.get(came, 0) + 1
        turn_s, useful_s = asked.verdict.expected_s, asked.verdict.useful_s
        cause = CAUSES.get(came)
        refusal = cause and _refusal(call, cause, turn_s, now)
        self._lines.write(
            'turn',
            id=call.asked.attempt_id,
            service=call.service,
            came=came,
            waited_ms=round((now - asked.at) * MS, 1),
            expected_ms=round(min(turn_s, admission.MAX_ROOM_S) * MS),
            useful_ms=round(useful_s * MS),
            over_share=asked.rank.is_over_share,
            urgency=asked.rank.urgency,
            ahead=asked.place.ahead,
            credit=round(asked.place.credit, 2),
            rate_per_s=round(asked.place.rate_per_s, 2),
            preferred_per_s=round(asked.place.preferred_per_s, 2),
            sums_age_ms=_sums_age_ms(self._rates, asked.at),
        )
        return refusal

    def _log_overload(self, name: str, now: float) -> None:
        """Log the first look at an overload, and absurd reports."""
        count, logged_at = self._absurd_logged
        if self._rates.absurd > count and now - logged_at > ABSURD_LOG_S:
            self._absurd_logged = (self._rates.absurd, now)
            self._lines.write('absurd_rates', count=self._rates.absurd)
        known = self._rates.overloads.get(name)
        if known is None or known.is_logged:
            return
        known.is_logged = True
        self._lines.write(
            'service_overloaded',
            service=name,
            capacity_per_s=known.capacity_per_s,
            sums_age_ms=_sums_age_ms(self._rates, now),
            **service_rates.totals(self._rates, name, now)._asdict(),
        )


def _sums_age_ms(rates: service_rates.Rates, now: float) -> int | None:
    """Return the age of the fleet's sums; None if there are none."""
    return round((now - rates.others.at) * MS) if rates.others.at > 0 else None


def _refusal(
    call: call_data.Call, cause: retry_delay.Cause, turn_s: float, now: float
) -> call_data.RefusedError:
    due_s = None
    if cause is not retry_delay.Cause.STOPPING:
        spread = rendezvous.unit_hash(call.asked.attempt_id)
        due_s = admission.room_in_s(turn_s, spread)
    return call_data.RefusedError(
        call_data.UNAVAILABLE,
        retry_delay.REASONS[cause],
        retry_delay.retry_in_s(
            retry_delay.PlacementFailure(cause, due_s), call.deadline - now
        ),
    )
