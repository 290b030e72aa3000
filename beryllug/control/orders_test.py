"""Tests of order senders that are paused, killed, or lose answers.

Real senders run in virtual time against in-memory engines that check or ignore
the fencing token. The tests check the executed orders and loaded versions.
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
WAIT_TIMEOUT_S = 300.0


async def until(is_true: Callable[[], object]) -> None:
    """Wait for a condition for a bounded virtual time."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(0.05)


class OrdersCase(virtual_time_test.VirtualTimeCase):
    """Starts senders, and stops them after the test."""

    async def asyncSetUp(self) -> None:
        """Replace the wall clock by the virtual clock."""
        await super().asyncSetUp()
        patched = mock.patch.object(time, 'time', self.clock.time)
        patched.start()
        self.addCleanup(patched.stop)

    def start(
        self, fixture: fake_engines_test.OrdersFixture, fencing: int
    ) -> tuple[
        fake_engines_test.Lease,
        fake_engines_test.FaultyClient,
        order_sender.OrderSender,
    ]:
        """Start a sender that holds the lease."""
        lease = fake_engines_test.Lease(fencing)
        client = fake_engines_test.FaultyClient(fixture.engines)
        sender = fixture.sender(lease, client)
        sender.start()
        self.addAsyncCleanup(sender.stop)
        return lease, client, sender


class LostLeaseTest(OrdersCase):
    """A holder must not act on a lease that it lost."""

    async def test_paused_before_lease_check(self) -> None:
        """A holder is paused during a load read until its lease has expired.

        The next holder brings the engines to a newer state. The first resumes
        with a pending order, checks its lease and sends nothing.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                fixture = fake_engines_test.OrdersFixture(
                    checks=checks, loaded=ONE
                )
                lease, client, _ = self.start(fixture, 1)
                client.read_gate.clear()
                await client.blocked.wait()
                lease.expire_in(2)
                await asyncio.sleep(LEASE_S)
                fixture.declare(V2)
                self.start(fixture, 2)
                await asyncio.sleep(LEASE_S)
                client.read_gate.set()
                await asyncio.sleep(60)
                self.assertEqual(fixture.loaded(), {ONE})
                tokens = {order.fencing for _, order in fixture.orders()}
                self.assertNotIn(1, tokens)

    async def test_late_order(self) -> None:
        """An order arrives long after its sender lost the lease.

        It unloads a version that has been declared live again. Engines that
        check the token refuse it. Others execute it; another engine keeps a
        copy, so requests are served, and the new holder loads it again.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                await self._check_late(checks=checks)

    async def test_last_copy_stays(self) -> None:
        """A delayed unload arrives when few copies of the version are left.

        All engines but one have unloaded the version when it is declared
        live again. If no copy were kept, the delayed order would unload the
        last one.
        """
        fixture = fake_engines_test.OrdersFixture(checks=False, loaded=BOTH)
        fixture.declare(V2)
        lease, client, _ = self.start(fixture, 1)

        await until(lambda: fixture.copies(V2) == 2)
        client.delays = True
        await asyncio.sleep(120)
        lease.expire_in(0)
        client.deliver_late()
        self.assertEqual(fixture.copies(V2), 1)
        fixture.declare()
        self.start(fixture, 2)
        await until(fixture.all_have(V1, V2))

    async def test_new_holder_waits(self) -> None:
        """A new holder waits a lease plus a write for the previous orders.

        It does so only for engines that ignore the fencing token.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                fixture = fake_engines_test.OrdersFixture(
                    checks=checks, loaded=ONE
                )
                won_at = time.monotonic()
                self.start(fixture, 2)
                await until(fixture.all_have(V1, V2))
                waited_s = fixture.orders()[0][0] - won_at
                self.assertEqual(waited_s >= LEASE_S + WRITE_S, not checks)

    async def test_lease_too_short(self) -> None:
        """Nothing is sent if the lease may expire before the write ends."""
        fixture = fake_engines_test.OrdersFixture(checks=True, loaded=ONE)
        lease, _, sender = self.start(fixture, 1)
        lease.expire_in(WRITE_S)
        await asyncio.sleep(60)
        self.assertEqual(fixture.orders(), [])
        self.assertIsNone(sender.book)

    async def test_write_is_bounded(self) -> None:
        """The write to an engine that never answers is cancelled in time."""
        fixture = fake_engines_test.OrdersFixture(checks=True, loaded=ONE)
        _, client, sender = self.start(fixture, 1)
        client.delays = True
        await until(lambda: client.delayed)
        started_at = time.monotonic()
        await sender.pause()
        self.assertLessEqual(time.monotonic() - started_at, WRITE_S)

    async def test_old_configuration(self) -> None:
        """A holder with an outdated configuration sends no orders."""
        fixture = fake_engines_test.OrdersFixture(checks=True, loaded=ONE)
        fixture.accepts = False
        self.start(fixture, 1)
        await asyncio.sleep(60)
        self.assertEqual(fixture.orders(), [])

    async def test_newer_token_seen(self) -> None:
        """A sender stops when an engine reports a newer fencing token."""
        fixture = fake_engines_test.OrdersFixture(checks=False, loaded=ONE)
        for engine in fixture.engines.values():
            engine.fencing = 9
        _, _, sender = self.start(fixture, 1)
        await asyncio.sleep(60)
        self.assertEqual(fixture.orders(), [])
        self.assertTrue(sender.dump()['superseded'])

    async def _check_late(self, *, checks: bool) -> None:
        fixture = fake_engines_test.OrdersFixture(checks=checks, loaded=BOTH)
        fixture.declare(V2)
        lease, client, _ = self.start(fixture, 1)
        await asyncio.sleep(fake_engines_test.GRACE_S / 2)
        client.delays = True
        await until(lambda: client.delayed)
        lease.expire_in(0)
        fixture.declare()
        self.start(fixture, 2)
        await asyncio.sleep(2 * LEASE_S)
        self.assertEqual(client.deliver_late(), [not checks])
        self.assertGreaterEqual(fixture.copies(V2), 2)
        await until(fixture.all_have(V1, V2))


class ExecutionTest(OrdersCase):
    """Orders are executed in spite of crashes and lost answers."""

    async def test_killed_half_way(self) -> None:
        """A sender is stopped with some loads done and some in progress.

        The next one derives the missing loads from the load reports and
        orders only these.
        """
        for checks in (True, False):
            with self.subTest(checks=checks):
                await self._check_killed(checks=checks)

    async def test_work_ends_first(self) -> None:
        """A withdrawn version still runs a long request.

        The engines are busy, so the version is not unloaded. Once the request
        has ended, every engine unloads it, as all check the fencing token.
        """
        fixture = fake_engines_test.OrdersFixture(checks=True, loaded=BOTH)
        for engine in fixture.engines.values():
            engine.busy = 1
        fixture.declare(V2)
        self.start(fixture, 1)
        await asyncio.sleep(120)
        self.assertEqual(fixture.loaded(), {BOTH})
        for idle in fixture.engines.values():
            idle.busy = 0
        await until(fixture.all_have(V1))

    async def test_answer_lost(self) -> None:
        """Orders are executed and their answers lost.

        The sender finds the version in the load reports and sends no order a
        second time.
        """
        fixture = fake_engines_test.OrdersFixture(checks=True, loaded=ONE)
        _, client, _ = self.start(fixture, 1)
        client.loses_answers = True
        await until(fixture.all_have(V1, V2))
        await asyncio.sleep(120)
        loads = [one for _, one in fixture.orders() if one.version == V2]
        self.assertEqual(len(loads), len(fake_engines_test.NAMES))

    async def test_weight_budget(self) -> None:
        """No load is ordered while the weight store lacks or refuses it."""
        for title, limited, stored in (
            ('refuses', True, True),
            ('lacks it', False, False),
        ):
            with self.subTest(title):
                fixture = fake_engines_test.OrdersFixture(
                    checks=True, loaded=ONE
                )
                fixture.store.limited = limited
                fixture.store.has_weights = stored
                self.start(fixture, 1)
                await asyncio.sleep(60)
                self.assertEqual(fixture.loaded(), {ONE})
                self.assertLess(fixture.store.reads, 15)
                fixture.store.limited = False
                fixture.store.has_weights = True
                await until(fixture.all_have(V1, V2))

    async def _check_killed(self, *, checks: bool) -> None:
        fixture = fake_engines_test.OrdersFixture(checks=checks, loaded=ONE)
        fixture.engines['z'].load_s = 20
        _, _, sender = self.start(fixture, 1)
        await until(lambda: V2 in fixture.engines['x'].loaded)
        await sender.stop()
        self.start(fixture, 2)
        await until(fixture.all_have(V1, V2))
        await asyncio.sleep(60)
        done, slow = (
            [order for _, order in made.executed if order.version == V2]
            for made in (fixture.engines['x'], fixture.engines['z'])
        )
        self.assertEqual(len(done), 1)
        # The order is repeated while the load runs, with backoff.
        self.assertLessEqual(len(slow), 4)


if __name__ == '__main__':
    main()
