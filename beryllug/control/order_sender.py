"""Sends the orders of one pool while this process holds its lease.

A sender can be paused between any two steps and resume after another process
has acquired its lease. Three measures guard against this, in this order:

* Right before each write the sender checks its lease against the monotonic
  clock. The lease must be valid for longer than the timeout of the write.
* Engines that check the fencing token refuse orders that arrive later. A new
  holder presents its token to each engine, even without an order for it.
* For engines that ignore the token, a new holder sends nothing for the duration
  of a lease plus a write, so that all orders that the previous holder sent
  under a valid lease have arrived before.

Two cases remain: a holder that is frozen after the check of the clock and
before the operating system accepts the bytes, and bytes that the network or the
engine delays for longer than a lease. An engine that ignores the token executes
such an order. The order can load a version, or unload one of which another
engine keeps a copy, and the current holder corrects either once a load report
shows it. The same holds for a host that is suspended, so that its monotonic
clock does not advance.

A load order causes reads of the rate-limited weight store by this process and
by the engine. All senders of a process share one budget. As a pool has one
sender at a time, one pool never exceeds that budget either.
"""

import asyncio
import dataclasses
import os
import time
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from absl import logging

from beryllug.core import (
    lease_data,
    orders,
    orders_data,
    view_parts,
)
from beryllug.control import order_weights, order_world
from beryllug.drivers import engine_data

ROUND_INTERVAL_S = 1.0
ORDER_ID_BYTES = 8
LEASE_PREFIX = 'orders/'


class LeaseChecker(Protocol):
    """The part of the leases service that a sender uses."""

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the token of a lease that is held now, else None."""


class Engines(Protocol):
    """The part of the engine client that a sender uses."""

    async def load(self, address: str) -> engine_data.LoadReport:
        """Read the load report, which may be out of date."""

    async def order(self, address: str, order: engine_data.Order) -> None:
        """Send an order."""


class SenderContext(NamedTuple):
    """Dependencies and settings that all senders of a process share.

    Attributes:
        engines: The engine client.
        leases: The leases service.
        weights: The read budget of the weight store.
        parts: Returns the current view.
        accepts: Tells whether that view is up to date.
        lease_s: Duration of a lease.
        grace_s: Seconds after a withdrawal until no entry sends requests for
            the version any more.
    """

    engines: Engines
    leases: LeaseChecker
    weights: order_weights.LoadLimiter
    parts: Callable[[], view_parts.ViewParts]
    accepts: Callable[[], bool]
    lease_s: float
    grace_s: float


class OrderSender:
    """Brings the engines of one pool to their desired state.

    Attributes:
        book: State of the orders while the lease is held, else None.
    """

    def __init__(self, pool: str, context: SenderContext) -> None:
        """Initialize the sender; `start` runs it."""
        self.book: orders_data.SenderState | None = None
        self._pool = pool
        self._name = LEASE_PREFIX + pool
        self._context = context
        self._counts: dict[str, int] = {}
        self._paused_until = float('-inf')
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the rounds in which orders are sent."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Wait for the orders in flight, then stop."""
        await self.pause()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def pause(self) -> None:
        """Wait for the orders in flight and send none for a lease duration.

        After that time the lease was handed over, or the hand-over failed
        and this process continues.
        """
        self._paused_until = time.monotonic() + self._context.lease_s
        async with self._lock:
            self.book = None

    def dump(self) -> dict[str, Any]:
        """Return the state, and counts of orders by outcome."""
        state_dump: dict[str, Any] = {'counts': dict(self._counts)}
        book = self.book
        if book is None:
            return state_dump
        return {
            **state_dump,
            'fencing': book.fencing,
            'superseded': book.superseded,
            'asserted': len(book.asserted),
            'tried': [
                {
                    'kind': type(step).__name__,
                    **dataclasses.asdict(step),
                    **tried._asdict(),
                }
                for step, tried in book.tried.items()
            ],
            'withdrawn': sorted(book.withdrawn),
        }

    async def _run(self) -> None:
        while True:
            async with self._lock:
                await self._try_round()
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def _try_round(self) -> None:
        try:
            await self._round()
        except Exception:
            # If the task ended here the lease would stay held, with no sender.
            logging.exception('event=orders_failed pool=%s', self._pool)

    async def _round(self) -> None:
        """Send the due orders to all engines in parallel, one order each."""
        now = time.monotonic()
        parts = self._context.parts()
        pool = order_world.engine_pool(parts.document, self._pool)
        book = self._book_for_lease(now)
        if pool is None or book is None:
            return
        world = order_world.world(parts, self._pool, now - time.time())
        terms = order_world.terms(
            parts.document, self._context.lease_s, self._context.grace_s
        )
        orders.note(book, self._pool, world)
        orders.note_withdrawn(book, self._pool, world, now)
        due_steps = orders.steps(book, pool, world, terms, now)
        await asyncio.gather(
            *(self._order(book, step, terms) for step in due_steps)
        )

    def _book_for_lease(self, now: float) -> orders_data.SenderState | None:
        """Return the book of the lease held now; a new one for a new token.

        Returns None without a lease, during a pause, and while the
        configuration is out of date: orders by an old configuration could
        unload a version that has been declared live again.
        """
        token = self._context.leases.held(self._name, now)
        if token is None or now < self._paused_until:
            self.book = None
        elif self.book is None or self.book.fencing != token.fencing:
            self.book = orders_data.SenderState(token.fencing, now)
        return self.book if self._context.accepts() else None

    async def _order(
        self,
        book: orders_data.SenderState,
        step: orders_data.EngineOrder,
        terms: orders_data.OrderLimits,
    ) -> None:
        """Read current load reports, then send the order if still needed."""
        try:
            may_send = await self._confirm(book, step, terms)
        except engine_data.EngineError:
            orders.sent(book, step, time.monotonic(), read_back=False)
            self._count('unreachable')
            return
        if may_send:
            await self._write(book, step, terms)

    async def _confirm(
        self,
        book: orders_data.SenderState,
        step: orders_data.EngineOrder,
        terms: orders_data.OrderLimits,
    ) -> bool:
        """Tell whether current load reports still require an order."""
        parts = self._context.parts()
        now = time.monotonic()
        world = order_world.world(parts, self._pool, now - time.time())
        servers_to_read = {step.server_id}
        if isinstance(step, orders_data.Unload):
            keeper_id = orders.keeper(step.ref, world)
            servers_to_read.add(keeper_id or step.server_id)
        for sight in world.engine_reports:
            if sight.server_id in servers_to_read:
                report = await self._context.engines.load(sight.address)
                book.superseded |= report.fencing > book.fencing
                world = order_world.with_report(world, sight, report, now)
        if isinstance(step, orders_data.Load):
            if not await self._context.weights.admit(step.ref):
                return False
        pool = order_world.engine_pool(parts.document, self._pool)
        return pool is not None and orders.is_still_valid(
            book, pool, step, world, terms, time.monotonic()
        )

    async def _write(
        self,
        book: orders_data.SenderState,
        step: orders_data.EngineOrder,
        terms: orders_data.OrderLimits,
    ) -> None:
        address = order_world.address(self._context.parts(), step.server_id)
        order = _order_of(step, book.fencing)
        now = time.monotonic()
        if address is None or not self._may_write(book, terms, now):
            return
        orders.sent(book, step, now, read_back=True)
        try:
            async with asyncio.timeout(terms.write_s):
                await self._context.engines.order(address, order)
        except engine_data.StaleOrderError as exc:
            book.superseded = True
            self._log(step, 'stale', exc)
        except (engine_data.NotRunError, engine_data.FailedRunError) as exc:
            self._log(step, 'refused', exc)
        except (engine_data.UnknownRunError, TimeoutError) as exc:
            self._log(step, 'unsure', exc)
        else:
            orders.accepted(book, step)
            self._log(step, 'accepted', None)

    def _may_write(
        self,
        book: orders_data.SenderState,
        terms: orders_data.OrderLimits,
        now: float,
    ) -> bool:
        """Check the lease right before the order is written.

        The lease may have expired in a pause since the round began. A write
        that ends after the lease could conflict with the next holder's orders.
        """
        token = self._context.leases.held(self._name, now)
        if token is None or token.fencing != book.fencing:
            self._count('lease_lost')
            return False
        return self.book is book and now + terms.write_s < token.valid_until

    def _count(self, outcome: str) -> None:
        self._counts[outcome] = self._counts.get(outcome, 0) + 1

    def _log(
        self, step: orders_data.EngineOrder, outcome: str, exc: Exception | None
    ) -> None:
        self._count(outcome)
        logging.info(
            'event=order kind=%s server=%s model=%s version=%s outcome=%s '
            'error=%s',
            type(step).__name__.lower(),
            step.server_id,
            step.ref.model,
            step.ref.version,
            outcome,
            exc,
        )


def _order_of(step: orders_data.EngineOrder, fencing: int) -> engine_data.Order:
    kind = engine_data.OrderKind.LOAD
    if isinstance(step, orders_data.Unload):
        kind = engine_data.OrderKind.UNLOAD
    order_id = os.urandom(ORDER_ID_BYTES).hex()
    return engine_data.Order(order_id, kind, step.ref, fencing)
