"""Engines, a lease and a weight store in memory, for tests of orders."""

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
    """One engine: what it has loaded and what it obeyed, with the time."""

    checks: bool
    loaded: set[config_data.VersionRef]
    load_s: float = 0.0
    busy: int = 0
    fencing: int = 0
    obeyed: list[tuple[float, engine_data.Order]] = field(default_factory=list)

    def obey(self, order: engine_data.Order) -> None:
        """Carry an order out, or refuse its old token."""
        if self.checks and order.fencing < self.fencing:
            raise engine_data.StaleOrderError(self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        self.obeyed.append((time.monotonic(), order))
        if order.kind is engine_data.OrderKind.UNLOAD:
            self.loaded.discard(order.version)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(self.load_s, self.loaded.add, order.version)


class Wires:
    """One sender's way to the engines.

    Attributes:
        reading: Cleared to hold the sender where it reads back.
        held: Set while it is held there.
        late: Orders on their way, when they come late.
        delays: Whether orders come late: the sender gets no answer.
        loses: Whether answers to orders are lost.
    """

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        """Make a way without faults."""
        self.reading = asyncio.Event()
        self.reading.set()
        self.held = asyncio.Event()
        self.late: list[tuple[str, engine_data.Order]] = []
        self.delays = False
        self.loses = False
        self._engines = engines

    async def load(self, address: str) -> engine_data.LoadReport:
        """Report; measured now."""
        if not self.reading.is_set():
            self.held.set()
            await self.reading.wait()
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
        """Hand an order over, unless it comes late."""
        if self.delays:
            self.late.append((address, order))
            await asyncio.sleep(3600)
        await asyncio.sleep(0.01)
        self._engines[address].obey(order)
        if self.loses:
            raise engine_data.UnknownRunError('answer lost')

    def land(self) -> list[bool]:
        """Let late orders arrive; return which were obeyed."""
        landed = []
        for address, order in self.late:
            try:
                self._engines[address].obey(order)
            except engine_data.StaleOrderError:
                landed.append(False)
            else:
                landed.append(True)
        self.late.clear()
        return landed


class Lease:
    """The lease as one process sees it."""

    def __init__(self, fencing: int) -> None:
        """Hold it without end."""
        self.token: lease_data.Token | None = lease_data.Token(
            'orders/p', 'holder', fencing, float('inf')
        )

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the token while it holds."""
        if self.token is None or now >= self.token.valid_until:
            return None
        return self.token

    def lapse_in(self, left_s: float) -> None:
        """Let it be renewed no more."""
        assert self.token is not None
        until = time.monotonic() + left_s
        self.token = self.token._replace(valid_until=until)


class Store:
    """A weight store with a rate of its own."""

    def __init__(self) -> None:
        """Have every version."""
        self.reads = 0
        self.limited = False
        self.has = True

    async def read(
        self, version: config_data.VersionRef
    ) -> weight_store.Weights | None:
        """Read the facts on a version."""
        self.reads += 1
        if self.limited:
            raise weight_store.RateLimitedError(30)
        return weight_store.Weights(1, 'digest') if self.has else None


class Scene:
    """Engines, a document, and the senders before them."""

    def __init__(
        self, *, checks: bool, loaded: frozenset[config_data.VersionRef]
    ) -> None:
        """Make three engines that have the same loaded."""
        self.engines = {name: FakeEngine(checks, set(loaded)) for name in NAMES}
        self.store = Store()
        self.accepts = True
        kind = config_data.PoolKind.ENGINE
        self._pool = config_data.Pool(POOL, kind, 8, checks)
        self.document = self.declare()

    def declare(
        self, *withdrawn: config_data.VersionRef
    ) -> config_data.Document:
        """Put a document in force."""
        versions = tuple(
            config_data.Version(ref, POOL, 1, withdrawn=ref in withdrawn)
            for ref in (V1, V2)
        )
        self.document = config_data.Document(
            models=(config_data.Model('desk', versions),), pools=(self._pool,)
        )
        return self.document

    def parts(self) -> view_parts.ViewParts:
        """Return the view, with load reports of now."""
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

    def sender(self, lease: Lease, wires: Wires) -> order_sender.OrderSender:
        """Make a sender."""
        wired = order_sender.Wired(
            engines=wires,
            leases=lease,
            weights=order_weights.Weights(self.store),
            parts=self.parts,
            accepts=lambda: self.accepts,
            lease_s=LEASE_S,
            grace_s=GRACE_S,
        )
        return order_sender.OrderSender(POOL, wired)

    def copies(self, ref: config_data.VersionRef) -> int:
        """Return how many engines have a version."""
        return sum(ref in made.loaded for made in self.engines.values())

    def settled(self, *refs: config_data.VersionRef) -> Callable[[], bool]:
        """Return a look whether every engine has exactly some versions."""
        return lambda: self.loaded() == {frozenset(refs)}

    def loaded(self) -> set[frozenset[config_data.VersionRef]]:
        """Return the sets of versions that engines have."""
        return {frozenset(engine.loaded) for engine in self.engines.values()}

    def orders(self) -> list[tuple[float, engine_data.Order]]:
        """Return all obeyed orders in their order."""
        found = [one for made in self.engines.values() for one in made.obeyed]
        return sorted(found, key=lambda one: one[0])


class FakeEngineTest(unittest.TestCase):
    """The fake engine checks tokens, or not."""

    def test_fencing(self) -> None:
        """An old token is refused by an engine that checks it."""
        unload = engine_data.Order('', engine_data.OrderKind.UNLOAD, V1, 1)
        checking = FakeEngine(checks=True, loaded={V1}, fencing=2)
        with self.assertRaises(engine_data.StaleOrderError):
            checking.obey(unload)
        self.assertEqual(checking.loaded, {V1})
        ignoring = FakeEngine(checks=False, loaded={V1}, fencing=2)
        ignoring.obey(unload)
        self.assertEqual(ignoring.loaded, set())


if __name__ == '__main__':
    unittest.main()
