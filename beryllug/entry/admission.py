"""Admission control: accept or refuse a request at once.

This service owns the state behind the decision: requests in flight by client
account, and latency estimates by version or service.
"""

import time
import types
from typing import Any

from beryllug.core import (
    config_data,
    estimates,
    limits,
    refusal,
    request_data,
    view_merge,
)
from beryllug.entry import call_data, control_link, routing

CODES = types.MappingProxyType(
    {
        limits.RefusalReason.SHARE: refusal.Code.OVER_LIMIT,
        limits.RefusalReason.FULL: refusal.Code.NO_SERVER,
        limits.RefusalReason.LATE: refusal.Code.DEADLINE,
        limits.RefusalReason.DOWN: refusal.Code.NO_SERVER,
    }
)
MESSAGES = types.MappingProxyType(
    {
        limits.RefusalReason.SHARE: 'the account uses more than its share',
        limits.RefusalReason.FULL: 'no capacity is free',
        limits.RefusalReason.LATE: 'the target can not be met now',
        limits.RefusalReason.DOWN: 'no backend server takes work now',
    }
)

# Seconds after the latest answer for which a latency estimate is used.
ESTIMATE_VALID_S = 5.0
# Share of its target that a request is assumed to take without an estimate.
OPTIMISTIC_TARGET_SHARE = 0.25
MS = 1000


class Admission:
    """Service 'admission' of an entry process."""

    def __init__(
        self,
        entries: int,
        link: control_link.ControlLink,
        routes: routing.Routing,
    ) -> None:
        """Initialize the service.

        Args:
            entries: Number of entry processes that share the pools.
            link: Source of view updates.
            routes: Source of server loads.
        """
        self._entries = entries
        self._routing = routes
        self._limits = limits.LimitState()
        self._estimates = estimates.EstimateState()
        self._observed_at: dict[estimates.Key, float] = {}
        self._document = link.known.view.document
        self._weights: dict[str, int] = {}
        link.subscribe(self._on_view)

    async def start(self) -> None:
        """Do nothing: the link's updates drive this service."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return usage by pool and account, and latency estimates."""
        pools = {
            name: {
                'total': use.total,
                'bulk': use.bulk,
                'accounts': {
                    account_id: usage.in_flight
                    for account_id, usage in use.accounts.items()
                },
            }
            for name, use in self._limits.pools.items()
        }
        times = {
            f'{key.name}/{key.request_class}': {
                'first_token_s': known.first_token_s,
                'service_s': known.service_s,
                'samples': known.samples,
            }
            for key, known in self._estimates.known.items()
        }
        return {'pools': pools, 'estimates': times}

    def estimate(self, name: str, request_class: str) -> estimates.Estimate:
        """Return the latency estimate of a version or service."""
        return estimates.get(
            self._estimates, estimates.Key(name, request_class)
        )

    def has_room(self, pool: str) -> bool:
        """Return whether a pool has a free slot, by the loads known here."""
        room = self._routing.room(pool, self._entries, time.monotonic())
        return room.load < room.slots

    def admit(
        self, call: call_data.Call, pool: str, name: str
    ) -> limits.Ticket:
        """Admit a call to a pool.

        The caller must `release` the ticket.

        Args:
            call: The call.
            pool: Name of the pool.
            name: Version or service whose latency estimate applies.

        Raises:
            RefusedError: The call is refused and has not run.
        """
        now = time.monotonic()
        first_token_s, service_s = self._expected_times(name, call.facts, now)
        request = limits.AdmissionRequest(
            account_id=call.account.account_id,
            targets=call.facts.targets,
            first_token_s=first_token_s,
            service_s=service_s,
            elapsed_s=now - call.facts.arrived_at,
        )
        room = self._routing.room(pool, self._entries, now)
        decision = limits.admit(self._limits, self._weights, room, request, now)
        if isinstance(decision, limits.Refused):
            raise _refusal_error(decision)
        return decision

    def release(self, ticket: limits.Ticket) -> None:
        """Release the ticket of a call that has ended on its pool."""
        limits.release(self._limits, ticket, time.monotonic())

    def observe(
        self,
        name: str,
        facts: request_data.Facts,
        times: tuple[float, float],
        load_share: float,
    ) -> None:
        """Update a latency estimate from an answer.

        Args:
            name: Version or service that answered.
            facts: The request.
            times: Seconds to the first token and from it to the end.
            load_share: Load of the server at dispatch, divided by its slots.
        """
        key = estimates.Key(name, facts.request_class)
        self._observed_at[key] = time.monotonic()
        estimates.observe(self._estimates, key, *times, load_share)

    def _expected_times(
        self, name: str, facts: request_data.Facts, now: float
    ) -> tuple[float, float]:
        """Return the expected times, optimistic ones without a recent estimate.

        A default guess, or an old estimate from a slow period, would refuse
        every request whose target it misses. No request would run to correct
        it, so a new process would refuse all lookups permanently.
        """
        key = estimates.Key(name, facts.request_class)
        known = estimates.get(self._estimates, key)
        age_s = now - self._observed_at.get(key, float('-inf'))
        if age_s <= ESTIMATE_VALID_S and known.quiet_samples:
            return known.first_token_s, known.service_s
        first_s = OPTIMISTIC_TARGET_SHARE * facts.targets.first_token_ms / MS
        whole_s = OPTIMISTIC_TARGET_SHARE * facts.targets.total_ms / MS
        return min(known.first_token_s, first_s), min(known.service_s, whole_s)

    def _on_view(self, known: view_merge.EntryState) -> None:
        document = known.view.document
        if document is not self._document:
            self._document = document
            self._weights = _weights(document)


def _weights(document: config_data.Document) -> dict[str, int]:
    return {account.account_id: account.weight for account in document.accounts}


def _refusal_error(decision: limits.Refused) -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(
            CODES[decision.why],
            MESSAGES[decision.why],
            retry_after_s=decision.retry_after_s,
        )
    )
