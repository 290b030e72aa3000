"""Senders of orders that are paused, killed and answered badly.

Real senders, in virtual time, before engines in memory that check the fencing
token or ignore it. The checks read what the engines obeyed and have loaded.
"""

import asyncio
import time
from collections.abc import Callable
from unittest import main, mock

from beryllug.control import (
    fake_engines_test,
    order_sender,
    order_world,
    virtual_time_test,
)

V1 = fake_engines_test.V1
V2 = fake_engines_test.V2
LEASE_S = fake_engines_test.LEASE_S
WRITE_S = LEASE_S * order_world.WRITE_SHARE
BOTH = frozenset((V1, V2))
ONE = frozenset((V1,))
UNTIL_S = 300.0


async def until(is_true: Callable[[], object]) -> None:
    """Wait for a condition, for a bounded virtual time."""
    async with asyncio.timeout(UNTIL_S):
        while not is_true():
            await asyncio.sleep(0.05)


class OrdersCase(virtual_time_test.VirtualTimeCase):
    """Starts senders and stops them."""

    async def asyncSetUp(self) -> None:
        """Let the wall clock follow the virtual one."""
        await super().asyncSetUp()
        patched = mock.patch.object(time, 'time', self.clock.time)
        patched.start()
        self.addCleanup(patched.stop)

    def start(
        self, scene: fake_engines_test.Scene, fencing: int
    ) -> tuple[
        fake_engines_test.Lease,
        fake_engines_test.Wires,
        order_sender.OrderSender,
    ]:
        """Start a sender that holds the lease."""
        lease = fake_engines_test.Lease(fencing)
        wires = fake_engines_test.Wires(scene.engines)
        sender = scene.sender(lease, wires)
        sender.start()
        self.addAsyncCleanup(sender.stop)
        return lease, wires, sender


class PausedTest(OrdersCase):
    """A holder acts on authority that it no longer has."""

    async def test_paused_before_the_look(self) -> None:
        """A holder is paused while it reads back, past its lease.

        The next holder brings the engines to a newer state. The first wakes
        with an order in hand, looks at its lease and sends nothing.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                scene = fake_engines_test.Scene(checks=checks, loaded=ONE)
                lease, wires, _ = self.start(scene, 1)
                wires.reading.clear()
                await wires.held.wait()
                lease.lapse_in(2)
                await asyncio.sleep(LEASE_S)
                scene.declare(V2)
                self.start(scene, 2)
                await asyncio.sleep(LEASE_S)
                wires.reading.set()
                await asyncio.sleep(60)
                self.assertEqual(scene.loaded(), {ONE})
                tokens = {order.fencing for _, order in scene.orders()}
                self.assertNotIn(1, tokens)

    async def test_late_order(self) -> None:
        """An order arrives long after its holder lost the lease.

        The version it unloads was declared as live again meanwhile. Engines
        that check refuse it. Others obey it; another copy stays, so callers
        are served, and the new holder loads the version again.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                await self._check_late(checks=checks)

    async def test_last_copy_stays(self) -> None:
        """A late unload meets a version of which few copies are left.

        Every engine but one has unloaded it when it is declared as live
        again. Without the kept copy the late order would take the last one.
        """
        scene = fake_engines_test.Scene(checks=False, loaded=BOTH)
        scene.declare(V2)
        lease, wires, _ = self.start(scene, 1)

        await until(lambda: scene.copies(V2) == 2)
        wires.delays = True
        await asyncio.sleep(120)
        lease.lapse_in(0)
        wires.land()
        self.assertEqual(scene.copies(V2), 1)
        scene.declare()
        self.start(scene, 2)
        await until(scene.settled(V1, V2))

    async def test_new_holder_waits(self) -> None:
        """Orders of a holder before may come until a lease and a write later.

        Only engines that ignore the token make the new holder wait for it.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                scene = fake_engines_test.Scene(checks=checks, loaded=ONE)
                won_at = time.monotonic()
                self.start(scene, 2)
                await until(scene.settled(V1, V2))
                waited_s = scene.orders()[0][0] - won_at
                self.assertEqual(waited_s >= LEASE_S + WRITE_S, not checks)

    async def test_lease_too_short(self) -> None:
        """The lease may end before the write does: nothing is sent."""
        scene = fake_engines_test.Scene(checks=True, loaded=ONE)
        lease, _, sender = self.start(scene, 1)
        lease.lapse_in(WRITE_S)
        await asyncio.sleep(60)
        self.assertEqual(scene.orders(), [])
        self.assertIsNone(sender.book)

    async def test_write_is_bounded(self) -> None:
        """An engine takes orders and never answers: each is broken off."""
        scene = fake_engines_test.Scene(checks=True, loaded=ONE)
        _, wires, sender = self.start(scene, 1)
        wires.delays = True
        await until(lambda: wires.late)
        started_at = time.monotonic()
        await sender.pause()
        self.assertLessEqual(time.monotonic() - started_at, WRITE_S)

    async def test_old_configuration(self) -> None:
        """A holder that is cut off orders nothing by what it last knew."""
        scene = fake_engines_test.Scene(checks=True, loaded=ONE)
        scene.accepts = False
        self.start(scene, 1)
        await asyncio.sleep(60)
        self.assertEqual(scene.orders(), [])

    async def test_newer_token_seen(self) -> None:
        """An engine shows a newer token: its holder is gone by, and stops."""
        scene = fake_engines_test.Scene(checks=False, loaded=ONE)
        for engine in scene.engines.values():
            engine.fencing = 9
        _, _, sender = self.start(scene, 1)
        await asyncio.sleep(60)
        self.assertEqual(scene.orders(), [])
        self.assertTrue(sender.dump()['superseded'])

    async def _check_late(self, *, checks: bool) -> None:
        scene = fake_engines_test.Scene(checks=checks, loaded=BOTH)
        scene.declare(V2)
        lease, wires, _ = self.start(scene, 1)
        await asyncio.sleep(fake_engines_test.GRACE_S / 2)
        wires.delays = True
        await until(lambda: wires.late)
        lease.lapse_in(0)
        scene.declare()
        self.start(scene, 2)
        await asyncio.sleep(2 * LEASE_S)
        self.assertEqual(wires.land(), [not checks])
        self.assertGreaterEqual(scene.copies(V2), 2)
        await until(scene.settled(V1, V2))


class CarriedOutTest(OrdersCase):
    """Orders are carried out, whatever is lost between."""

    async def test_killed_half_way(self) -> None:
        """A controller is killed with some loads done and some under way.

        The next one derives from the reports what is missing, and orders no
        more than that.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                await self._check_killed(checks=checks)

    async def test_work_ends_first(self) -> None:
        """A withdrawn version still runs an answer for a long time.

        Its engine is busy, so it is not unloaded under the answer; when the
        answer has ended it is, from every engine that checks tokens.
        """
        scene = fake_engines_test.Scene(checks=True, loaded=BOTH)
        for engine in scene.engines.values():
            engine.busy = 1
        scene.declare(V2)
        self.start(scene, 1)
        await asyncio.sleep(120)
        self.assertEqual(scene.loaded(), {BOTH})
        for idle in scene.engines.values():
            idle.busy = 0
        await until(scene.settled(V1))

    async def test_answer_lost(self) -> None:
        """Orders are carried out and their answers lost.

        The sender reads the load back and finds the version; it sends none
        a second time.
        """
        scene = fake_engines_test.Scene(checks=True, loaded=ONE)
        _, wires, _ = self.start(scene, 1)
        wires.loses = True
        await until(scene.settled(V1, V2))
        await asyncio.sleep(120)
        loads = [one for _, one in scene.orders() if one.version == V2]
        self.assertEqual(len(loads), len(fake_engines_test.NAMES))

    async def test_weight_budget(self) -> None:
        """The weight store refuses reads; no load is ordered meanwhile."""
        for title, limited, stored in (
            ('refuses', True, True),
            ('has it not', False, False),
        ):
            with self.subTest(title):
                scene = fake_engines_test.Scene(checks=True, loaded=ONE)
                scene.store.limited = limited
                scene.store.has = stored
                self.start(scene, 1)
                await asyncio.sleep(60)
                self.assertEqual(scene.loaded(), {ONE})
                self.assertLess(scene.store.reads, 15)
                scene.store.limited = False
                scene.store.has = True
                await until(scene.settled(V1, V2))

    async def _check_killed(self, *, checks: bool) -> None:
        scene = fake_engines_test.Scene(checks=checks, loaded=ONE)
        scene.engines['z'].load_s = 20
        _, _, sender = self.start(scene, 1)
        await until(lambda: V2 in scene.engines['x'].loaded)
        await sender.stop()
        self.start(scene, 2)
        await until(scene.settled(V1, V2))
        await asyncio.sleep(60)
        done, slow = (
            [order for _, order in made.obeyed if order.version == V2]
            for made in (scene.engines['x'], scene.engines['z'])
        )
        self.assertEqual(len(done), 1)
        # Repeated while the load goes on, ever less often.
        self.assertLessEqual(len(slow), 4)


if __name__ == '__main__':
    main()
