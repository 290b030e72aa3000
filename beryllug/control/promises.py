"""Promises not to acquire leases, requested and given in an outage.

The rules are in `core.outage`.
"""

import asyncio
import time

from beryllug.control import candidate_calls, lease_outage
from beryllug.core import lease_data, outage, outage_data
from beryllug.drivers import answer_timeouts, methods, object_api, object_data
from beryllug.kernel import background_tasks

PROBE_KEY = 'beryllug/leases/probe'
PROBE_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
ASK_INTERVAL_SHARE = 0.25


class Promises:
    """The promises that this process gave and received."""

    def __init__(
        self,
        api: object_api.ObjectApi,
        leases: lease_outage.LeaseOutage,
        calls: candidate_calls.CandidateCalls,
        boot: str,
    ) -> None:
        """Initialize with the platform, the leases and the peers.

        Args:
            api: The platform.
            leases: Leases of this process.
            calls: Calls to candidates.
            boot: Random id of the start of this process.
        """
        self._api = api
        self._leases = leases
        self._calls = calls
        self._boot = boot
        self._received = outage.Promises()
        self._given: set[str] = set()
        self._ask_interval_s = leases.terms.promise_s * ASK_INTERVAL_SHARE
        self._asked_at = float('-inf')
        self._round: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: candidate_calls.Server) -> None:
        """Register the RPC method at the server of this process."""
        server.unary(methods.PROMISE, self.promise)

    def start(self) -> None:
        """Start to request promises whenever leases can't be renewed."""
        self._task = asyncio.create_task(
            background_tasks.run_repeatedly('promises', self._keep_asking)
        )

    async def stop(self) -> None:
        """Stop requesting promises."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, float]:
        """Return the remaining seconds of each received promise."""
        now = time.monotonic()
        return {
            f'{lease_name} by {candidate.name}': round(until - now, 3)
            for (lease_name, candidate), until in self._received.until.items()
        }

    def has_promised_to(self, boot: str) -> bool:
        """Tell whether a promise was ever given to a start of a process."""
        return boot in self._given

    def is_promise_valid(
        self, lease_name: str, candidate: lease_data.Candidate
    ) -> bool:
        """Tell whether the promise of a candidate is valid now."""
        until = outage.promised_until(self._received, lease_name, (candidate,))
        return until > time.monotonic()

    def covered_s(self, lease_name: str) -> float:
        """Return for how long no process can acquire a lease held here."""
        candidates = self._leases.candidates(lease_name)
        end = min(
            outage.promised_until(self._received, lease_name, candidates),
            self._leases.candidates_only_until(lease_name),
        )
        return max(0.0, end - time.monotonic())

    async def ensure_covered(self, lease_name: str) -> float:
        """Return how long promises cover a lease; request them if needed.

        So the first requests of an outage need not be refused. Candidates
        that were asked within the last interval are not asked again.
        """
        waited_s = time.monotonic() - self._asked_at
        recent = self._round is not None and waited_s < self._ask_interval_s
        if not self.covered_s(lease_name) and not recent:
            await self._ask_round()
        return self.covered_s(lease_name)

    async def promise(
        self, ask: outage_data.PromiseRequest
    ) -> outage_data.PromiseReply:
        """Promise to acquire no lease if the platform is unreachable here."""
        started = self._leases.own().started
        reached = await self._reaches_platform()
        until = time.monotonic() + ask.promise_s
        if reached or not self._leases.block_acquisition(until):
            return outage_data.PromiseReply(started)
        self._given.add(ask.boot)
        names = (
            held.name
            for held in ask.leases
            if self._leases.known_fencing(held.name) <= held.fencing
        )
        return outage_data.PromiseReply(started, tuple(names))

    async def _keep_asking(self) -> None:
        if self._leases.is_renewal_overdue(time.monotonic()):
            await self._ask_round()
        await asyncio.sleep(self._ask_interval_s)

    async def _ask_round(self) -> None:
        """Ask all candidates; concurrent callers share one round."""
        if self._round is None or self._round.done():
            self._asked_at = time.monotonic()
            self._round = asyncio.create_task(self._ask_promises())
        await asyncio.shield(self._round)

    async def _ask_promises(self) -> None:
        names = {
            candidate.name
            for held in self._leases.held()
            for candidate in self._leases.candidates(held.name)
        }
        outage.forget_ended(self._received, time.monotonic())
        await asyncio.gather(*map(self._ask_promise, sorted(names)))

    async def _ask_promise(self, name: str) -> None:
        terms = self._leases.terms
        ask = outage_data.PromiseRequest(
            self._boot, terms.promise_s, self._leases.held()
        )
        sent_at = time.monotonic()
        reply = await self._calls.call(
            name, methods.PROMISE, ask, CALL_TIMEOUT_S
        )
        if reply is not None:
            outage.record_promise(self._received, name, reply, sent_at, terms)

    async def _reaches_platform(self) -> bool:
        try:
            async with answer_timeouts.AnswerTimeouts().within(PROBE_TIMEOUT_S):
                await self._api.read(PROBE_KEY)
        except (object_data.ObjectApiError, TimeoutError):
            return False
        return True
