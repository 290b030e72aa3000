"""Turns of requests for overloaded services: who waits, and who is next."""

import asyncio
import time
from dataclasses import dataclass
from enum import StrEnum

from beryllug.core import settings_data
from beryllug.core.placement import admission, service_rates, waiting_queue

# Seconds between two looks at a queue: at most the report period of the fleet,
# by which its rate may change.
MIN_WAKE_S = 0.005
MAX_WAKE_S = service_rates.STEP_S


class Result(StrEnum):
    """How a request ended its wait, or why it was rejected."""

    SENT = 'sent'
    LATE = 'late'
    EXPIRED = 'expired'
    FULL = 'full'
    STOPPING = 'stopping'
    WITHDRAWN = 'withdrawn'


@dataclass(slots=True)
class Service:
    """An overloaded service, as this process sees it.

    Attributes:
        overload: The overload.
        pace: What may be sent to it now.
        arrivals: Rates of requests for it.
    """

    overload: service_rates.Overload | None
    pace: admission.Pace
    arrivals: admission.Arrivals


class Turns:
    """Holds requests and gives them their turn as servers get room.

    Attributes:
        queue: Requests that wait.
        drain_until: Second after which none waits.
    """

    def __init__(
        self, cfg: settings_data.Router, rates: service_rates.Rates
    ) -> None:
        """Bind to the rates of the fleet."""
        self.queue = waiting_queue.Queue(cfg.queue_requests, cfg.queue_bytes)
        self.drain_until = float('inf')
        self._rates = rates
        self._turns: dict[int, asyncio.Future[Result]] = {}
        self._services: dict[str, Service] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def service(self, name: str, now: float) -> Service:
        """Return a service; a new one in each overload."""
        known = self._services.get(name)
        overload = self._rates.overloads.get(name)
        is_new = overload is not None and overload is not (
            known and known.overload
        )
        if known is None or is_new:
            known = Service(
                overload, admission.Pace(at=now), admission.Arrivals(at=now)
            )
            self._services[name] = known
        return known

    def refund(self, name: str) -> None:
        """Return the credit of a request that no server has taken.

        It may be the refused one, if its route permits another attempt. The
        queue is not looked at earlier for it: while servers refuse at once, all
        that waits would be sent and refused within a fraction of a second.
        """
        known = self._services.get(name)
        if known is not None:
            credit = known.pace.credit + 1
            known.pace.credit = min(credit, admission.MAX_CREDIT)

    def charge(self, name: str, now: float) -> None:
        """Spend the credit of a request that is sent without waiting."""
        pace = self.service(name, now).pace
        pace.credit = max(pace.credit - 1, -admission.MAX_CREDIT)

    def drain(self, until: float) -> None:
        """Let no request wait after some second."""
        self.drain_until = min(until, self.drain_until)
        for name in tuple(self.queue.services):
            self._pump(name)

    async def wait(self, entry: waiting_queue.Entry) -> Result:
        """Wait until a request has its turn or is rejected."""
        turn = asyncio.get_running_loop().create_future()
        self._turns[entry.rank.number] = turn
        for rejected in waiting_queue.add(self.queue, entry):
            self._give_turn(rejected, Result.FULL)
        self._pump(entry.service)
        try:
            came: Result = await turn
        except asyncio.CancelledError:
            self._turns.pop(entry.rank.number, None)
            is_waiting = waiting_queue.withdraw(self.queue, entry)
            if not is_waiting and _was_sent(turn):
                # It had its turn at the same moment, and does not use it.
                self.refund(entry.service)
            self._pump(entry.service)
            raise
        return came

    def _pump(self, name: str) -> None:
        """Give the next requests of a service their turn."""
        now = time.monotonic()
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        is_draining = now >= self.drain_until
        latest = float('inf') if is_draining else now
        for expired in waiting_queue.expire(self.queue, name, latest):
            self._give_turn(
                expired, Result.STOPPING if is_draining else Result.EXPIRED
            )
        wake_s = self._send_next(name, now)
        left = waiting_queue.waiting(self.queue, name)
        self._rates.waiting[name] = left
        if left:
            self._timers[name] = asyncio.get_running_loop().call_later(
                wake_s, self._pump, name
            )

    def _send_next(self, name: str, now: float) -> float:
        """Send what may be sent; return the seconds until the next may be."""
        pace = self.service(name, now).pace
        rate = service_rates.own_rate_per_s(self._rates, name, now)
        if rate is None:
            # The overload has ended; so few wait that they find room.
            sent = True
            while sent:
                sent = self._send_first(name)
            return MAX_WAKE_S
        admission.refill(pace, rate, now)
        while pace.credit >= 1 and self._send_first(name):
            pace.credit -= 1
        wake_s = max(1 - pace.credit, 0) / rate
        return min(max(wake_s, MIN_WAKE_S), MAX_WAKE_S)

    def _send_first(self, name: str) -> bool:
        entry = waiting_queue.next_entry(self.queue, name)
        if entry is not None:
            self._give_turn(entry, Result.SENT)
        return entry is not None

    def _give_turn(self, entry: waiting_queue.Entry, came: Result) -> None:
        turn = self._turns.pop(entry.rank.number, None)
        if turn is not None and not turn.done():
            turn.set_result(came)


def _was_sent(turn: asyncio.Future[Result]) -> bool:
    is_decided = turn.done() and not turn.cancelled()
    return is_decided and turn.result() is Result.SENT
