"""Sends the orders of one pool while this process holds its lease.

A sender can be paused between any two steps and wake when its lease has gone
to another. Against this, in the order in which they apply:

* Right before each write it looks at its lease on the monotonic clock. The
  lease must hold for longer than the write may take, and the write is broken
  off after that time.
* Engines that check the fencing token refuse what comes later still. A new
  holder shows its token to each engine, also where it has nothing to order.
* Where they ignore it, a new holder sends nothing until a lease and a write
  after it won, so what a holder sent in time arrived before.

What cannot be excluded: a holder that is frozen after its look at the clock
and before the operating system takes the bytes, or bytes that the network or
the engine holds for longer than a lease. Such an order is obeyed by an engine
that ignores the token. It can load a version, or unload one of which another
engine keeps a copy, and the present holder puts either right once a load
report shows it. A host that is suspended, so that its monotonic clock stands
still, is in the same case.

Orders to load cost reads of the rate-limited weight store, ours and the
engine's. All senders of a process share one budget; as a pool has one sender
at a time, a pool never uses more than that either.
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

TICK_S = 1.0
ORDER_ID_BYTES = 8
LEASE_PREFIX = 'orders/'


class Held(Protocol):
    """What a sender needs of the leases."""

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the proof that this process holds a lease now, or None."""


class Engines(Protocol):
    """What a sender needs of the engines; see `engine.Engine`."""

    async def load(self, address: str) -> engine_data.LoadReport:
        """Read the lagging load report."""

    async def order(self, address: str, order: engine_data.Order) -> None:
        """Give an order."""


class Wired(NamedTuple):
    """What all senders of a process share.

    Attributes:
        engines: The engines.
        leases: The leases.
        weights: The weight store's budget.
        parts: Returns the present view.
        accepts: Tells whether that view is a present one.
        lease_s: How long a lease holds.
        grace_s: How long after a withdrawal no more work is sent.
    """

    engines: Engines
    leases: Held
    weights: order_weights.Weights
    parts: Callable[[], view_parts.ViewParts]
    accepts: Callable[[], bool]
    lease_s: float
    grace_s: float


class OrderSender:
    """Brings the engines of one pool to their desired state.

    Attributes:
        book: What it remembers while it holds the lease, else None.
    """

    def __init__(self, pool: str, wired: Wired) -> None:
        """Make a sender; `start` begins to look and to send."""
        self.book: orders_data.Book | None = None
        self._pool = pool
        self._name = LEASE_PREFIX + pool
        self._wired = wired
        self._counts: dict[str, int] = {}
        self._paused_until = float('-inf')
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to look and to send."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Let orders under way end, then stop."""
        await self.pause()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def pause(self) -> None:
        """Let orders under way end and send none while a lease lasts.

        By then it was handed over, or that failed and this process goes on.
        """
        self._paused_until = time.monotonic() + self._wired.lease_s
        async with self._lock:
            self.book = None

    def dump(self) -> dict[str, Any]:
        """Return what is remembered, and counts of orders by outcome."""
        shown: dict[str, Any] = {'counts': dict(self._counts)}
        book = self.book
        if book is None:
            return shown
        return {
            **shown,
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
            await asyncio.sleep(TICK_S)

    async def _try_round(self) -> None:
        try:
            await self._round()
        except Exception:
            # A sender that ended here would hold the lease and do nothing.
            logging.exception('event=orders_failed pool=%s', self._pool)

    async def _round(self) -> None:
        """Send what is due to all engines at once, one order each."""
        now = time.monotonic()
        parts = self._wired.parts()
        pool = order_world.engine_pool(parts.document, self._pool)
        book = self._open_book(now)
        if pool is None or book is None:
            return
        world = order_world.world(parts, self._pool, now - time.time())
        terms = order_world.terms(
            parts.document, self._wired.lease_s, self._wired.grace_s
        )
        orders.note(book, self._pool, world)
        orders.note_withdrawn(book, self._pool, world, now)
        chosen = orders.steps(book, pool, world, terms, now)
        await asyncio.gather(
            *(self._order(book, step, terms) for step in chosen)
        )

    def _open_book(self, now: float) -> orders_data.Book | None:
        """Return the book of the lease held now; a new one after a change.

        An old configuration must not order anything: a version it does not
        know as live again would be unloaded.
        """
        token = self._wired.leases.held(self._name, now)
        if token is None or now < self._paused_until:
            self.book = None
        elif self.book is None or self.book.fencing != token.fencing:
            self.book = orders_data.Book(token.fencing, now)
        return self.book if self._wired.accepts() else None

    async def _order(
        self,
        book: orders_data.Book,
        step: orders_data.Step,
        terms: orders_data.Terms,
    ) -> None:
        """Read back, then order, if it is still right."""
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
        book: orders_data.Book,
        step: orders_data.Step,
        terms: orders_data.Terms,
    ) -> bool:
        """Tell whether an order is still right by fresh reports."""
        parts = self._wired.parts()
        now = time.monotonic()
        world = order_world.world(parts, self._pool, now - time.time())
        asked = {step.server_id}
        if isinstance(step, orders_data.Unload):
            kept_by = orders.keeper(step.ref, world)
            asked.add(kept_by or step.server_id)
        for sight in world.sights:
            if sight.server_id in asked:
                report = await self._wired.engines.load(sight.address)
                book.superseded |= report.fencing > book.fencing
                world = order_world.refreshed(world, sight, report, now)
        if isinstance(step, orders_data.Load):
            if not await self._wired.weights.admit(step.ref):
                return False
        pool = order_world.engine_pool(parts.document, self._pool)
        return pool is not None and orders.still_stands(
            book, pool, step, world, terms, time.monotonic()
        )

    async def _write(
        self,
        book: orders_data.Book,
        step: orders_data.Step,
        terms: orders_data.Terms,
    ) -> None:
        address = order_world.address(self._wired.parts(), step.server_id)
        order = _order_of(step, book.fencing)
        now = time.monotonic()
        if address is None or not self._may_write(book, terms, now):
            return
        orders.sent(book, step, now, read_back=True)
        try:
            async with asyncio.timeout(terms.write_s):
                await self._wired.engines.order(address, order)
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
        self, book: orders_data.Book, terms: orders_data.Terms, now: float
    ) -> bool:
        """Look at the lease, right before the bytes are written.

        A pause since the round began may have outlasted the lease. An order
        that ends after it would meet those of the next holder.
        """
        token = self._wired.leases.held(self._name, now)
        if token is None or token.fencing != book.fencing:
            self._count('lease_lost')
            return False
        return self.book is book and now + terms.write_s < token.valid_until

    def _count(self, outcome: str) -> None:
        self._counts[outcome] = self._counts.get(outcome, 0) + 1

    def _log(
        self, step: orders_data.Step, outcome: str, exc: Exception | None
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


def _order_of(step: orders_data.Step, fencing: int) -> engine_data.Order:
    kind = engine_data.OrderKind.LOAD
    if isinstance(step, orders_data.Unload):
        kind = engine_data.OrderKind.UNLOAD
    order_id = os.urandom(ORDER_ID_BYTES).hex()
    return engine_data.Order(order_id, kind, step.ref, fencing)
