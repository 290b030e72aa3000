"""In-memory engines, lease and weight store for tests of orders."""

import asyncio
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from beryllug.control import (
    order_sender,
    order_weights,
)
from beryllug.core import config_data, lease_data, view_data, view_parts
from beryllug.drivers import engine_data, weight_store

POOL = 'p'
V1 = config_data.VersionRef('desk', 'v1')
V2 = config_data.VersionRef('desk', 'v2')
BOTH = frozenset((V1, V2))
LEASE_S = 6.0
GRACE_S = 26.0
NAMES = ('x', 'y', 'z')


@dataclass
class FakeEngine:
    """One engine with its loaded versions and the orders it executed."""

    checks: bool
    loaded: set[config_data.VersionRef]
    load_s: float = 0.0
    busy: int = 0
    fencing: int = 0
    executed: list[tuple[float, engine_data.Order]] = field(
        default_factory=list
    )

    def execute(self, order: engine_data.Order) -> None:
        """Execute an order, or refuse it if its fencing token is stale."""
        if self.checks and order.fencing < self.fencing:
            raise engine_data.StaleOrderError(self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        self.executed.append((time.monotonic(), order))
        if order.kind is engine_data.OrderKind.UNLOAD:
            self.loaded.discard(order.version)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(self.load_s, self.loaded.add, order.version)


class FaultyClient:
    """The engine client of one sender, with injected faults.

    Attributes:
        read_gate: Cleared to block the sender when it reads a load report.
        blocked: Set once the sender is blocked there.
        delayed: Delayed orders with their addresses.
        delays: Whether orders are delayed and get no answer.
        loses_answers: Whether answers to orders are lost.
    """

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        """Initialize without faults."""
        self.read_gate = asyncio.Event()
        self.read_gate.set()
        self.blocked = asyncio.Event()
        self.delayed: list[tuple[str, engine_data.Order]] = []
        self.delays = False
        self.loses_answers = False
        self._engines = engines

    async def load(self, address: str) -> engine_data.LoadReport:
        """Return a load report, measured now."""
        if not self.read_gate.is_set():
            self.blocked.set()
            await self.read_gate.wait()
        await asyncio.sleep(0.01)
        engine = self._engines[address]
        return engine_data.LoadReport(
            engine.busy,
            0,
            time.time(),
            tuple(engine.loaded),
            fencing=engine.fencing,
        )

    async def order(self, address: str, order: engine_data.Order) -> None:
        """Deliver an order, or delay it."""
        if self.delays:
            self.delayed.append((address, order))
            await asyncio.sleep(3600)
        await asyncio.sleep(0.01)
        self._engines[address].execute(order)
        if self.loses_answers:
            raise engine_data.UnknownRunError('answer lost')

    def deliver_late(self) -> list[bool]:
        """Deliver the delayed orders; return which were executed."""
        delivered = []
        for address, order in self.delayed:
            try:
                self._engines[address].execute(order)
            except engine_data.StaleOrderError:
                delivered.append(False)
            else:
                delivered.append(True)
        self.delayed.clear()
        return delivered


class Lease:
    """A fake lease of one process."""

    def __init__(self, fencing: int) -> None:
        """Hold the lease without expiry."""
        self.token: lease_data.Token | None = lease_data.Token(
            'orders/p', 'holder', fencing, float('inf')
        )

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the token while it is valid."""
        if self.token is None or now >= self.token.valid_until:
            return None
        return self.token

    def expire_in(self, left_s: float) -> None:
        """Let the lease expire after some seconds."""
        assert self.token is not None
        until = time.monotonic() + left_s
        self.token = self.token._replace(valid_until=until)


class Store:
    """A weight store that can refuse reads by its rate limit."""

    def __init__(self) -> None:
        """Store every version, without a rate limit."""
        self.reads = 0
        self.limited = False
        self.has_weights = True

    async def read(
        self, version: config_data.VersionRef
    ) -> weight_store.Weights | None:
        """Return the weights of a version."""
        self.reads += 1
        if self.limited:
            raise weight_store.RateLimitedError(30)
        return weight_store.Weights(1, 'digest') if self.has_weights else None


class OrdersFixture:
    """Engines, a configuration document, and senders for them."""

    def __init__(
        self, *, checks: bool, loaded: frozenset[config_data.VersionRef]
    ) -> None:
        """Create three engines with the same versions loaded."""
        self.engines = {name: FakeEngine(checks, set(loaded)) for name in NAMES}
        self.store = Store()
        self.accepts = True
        kind = config_data.PoolKind.ENGINE
        self._pool = config_data.Pool(POOL, kind, 8, checks)
        self.document = self.declare()

    def declare(
        self, *withdrawn: config_data.VersionRef
    ) -> config_data.Document:
        """Replace the document; the given versions are withdrawn."""
        versions = tuple(
            config_data.Version(ref, POOL, 1, withdrawn=ref in withdrawn)
            for ref in (V1, V2)
        )
        self.document = config_data.Document(
            models=(config_data.Model('desk', versions),), pools=(self._pool,)
        )
        return self.document

    def parts(self) -> view_parts.ViewParts:
        """Return the view, with current load reports."""
        live = view_data.ServerState.LIVE
        return view_parts.ViewParts(
            document=self.document,
            servers=tuple(
                view_data.BackendServer(name, name, 'zone', POOL, live)
                for name in NAMES
            ),
            loads=tuple(
                view_data.ServerLoad(
                    name, engine.busy, 0, time.time(), tuple(engine.loaded)
                )
                for name, engine in self.engines.items()
            ),
        )

    def sender(
        self, lease: Lease, client: FaultyClient
    ) -> order_sender.OrderSender:
        """Create a sender."""
        context = order_sender.SenderContext(
            engines=client,
            leases=lease,
            weights=order_weights.LoadLimiter(self.store),
            parts=self.parts,
            accepts=lambda: self.accepts,
            lease_s=LEASE_S,
            grace_s=GRACE_S,
        )
        return order_sender.OrderSender(POOL, context)

    def copies(self, ref: config_data.VersionRef) -> int:
        """Return how many engines have a version loaded."""
        return sum(ref in made.loaded for made in self.engines.values())

    def all_have(self, *refs: config_data.VersionRef) -> Callable[[], bool]:
        """Return a condition: all engines have exactly these versions."""
        return lambda: self.loaded() == {frozenset(refs)}

    def loaded(self) -> set[frozenset[config_data.VersionRef]]:
        """Return the distinct sets of loaded versions."""
        return {frozenset(engine.loaded) for engine in self.engines.values()}

    def orders(self) -> list[tuple[float, engine_data.Order]]:
        """Return all executed orders by time of execution."""
        found = [one for made in self.engines.values() for one in made.executed]
        return sorted(found, key=lambda one: one[0])


class FakeEngineTest(unittest.TestCase):
    """Tests of the fake engine itself."""

    def test_fencing(self) -> None:
        """Only an engine that checks fencing tokens refuses a stale one."""
        unload = engine_data.Order('', engine_data.OrderKind.UNLOAD, V1, 1)
        checking = FakeEngine(checks=True, loaded={V1}, fencing=2)
        with self.assertRaises(engine_data.StaleOrderError):
            checking.execute(unload)
        self.assertEqual(checking.loaded, {V1})
        ignoring = FakeEngine(checks=False, loaded={V1}, fencing=2)
        ignoring.execute(unload)
        self.assertEqual(ignoring.loaded, set())


if __name__ == '__main__':
    unittest.main()
