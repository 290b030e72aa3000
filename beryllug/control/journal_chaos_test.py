"""Overlapping random faults against at-most-once and exactly-once billing.

Four entry processes send and resend requests under shared keys to three
control processes. Meanwhile control processes are killed, restarted, paused
and disconnected; the platform goes down, loses replies and applies writes
late. After recovery, the requests that ran are compared with the stored rows.
"""

import asyncio
import random
import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from beryllug.control import fake_platform_test, nodes_test
from beryllug.core import journal_data

Kind = journal_data.GrantKind
State = journal_data.OutcomeState
Fault = fake_platform_test.Fault

SEEDS = 8
NAMES = ('1', '2', '3')
ENTRIES = 4
KEYS = 6
START_S = 1000000.0
RUN_S = 150.0
KEY_PERIOD_S = 60.0
RECOVERY_TIMEOUT_S = 900.0
SHARDS = 2


class EntryProcess:
    """A simulated entry process that uses the journal.

    Attributes:
        unacknowledged: Outcomes that are not acknowledged.
        ran: Ids of the requests that ran, by key.
        kinds: Number of grants by kind.
    """

    def __init__(self, case: 'ChaosCase', name: str) -> None:
        """Initialize the entry process."""
        self.unacknowledged: list[journal_data.Row] = []
        self.ran: dict[str, list[str]] = {}
        self.kinds: Counter[Kind] = Counter()
        self._case = case
        self._name = name
        self._count = 0

    async def send_forever(self) -> None:
        """Send requests under keys that other entry processes use too."""
        rand = self._case.rand
        while not self._case.ending:
            await asyncio.sleep(rand.uniform(0, 2))
            key = (
                f'{int(time.monotonic() / KEY_PERIOD_S)}-{rand.randrange(KEYS)}'
            )
            await self.send(key)

    async def finish_forever(self) -> None:
        """Resend outcomes until they are acknowledged."""
        while True:
            await asyncio.sleep(self._case.rand.uniform(0.2, 1))
            for row in list(self.unacknowledged):
                if await self._case.call_finish(row):
                    self.unacknowledged.remove(row)

    async def send(self, key: str) -> None:
        """Send one request and run it if it is granted in time."""
        self._count += 1
        row = nodes_test.intent(f'{self._name}-{self._count}', key)
        row = row._replace(entry=f'{self._name}/boot')
        sent_at = time.monotonic()
        grant = await self._case.call_begin(row)
        if grant is None or grant.doubtful:
            self.unacknowledged.append(nodes_test.outcome(row, State.NOT_RUN))
            return
        self.kinds[grant.kind] += 1
        if grant.kind is Kind.GRANTED:
            await self._run(row, grant.valid_s - time.monotonic() + sent_at)

    async def _run(self, row: journal_data.Row, valid_s: float) -> None:
        delay_s = self._case.rand.choice((0.0, 0.0, 0.0, 3.0))
        if delay_s >= valid_s:
            self.unacknowledged.append(nodes_test.outcome(row, State.NOT_RUN))
            return
        self.ran.setdefault(row.shard_key, []).append(row.request_id)
        await asyncio.sleep(self._case.rand.uniform(0, 8))
        self.unacknowledged.append(nodes_test.outcome(row))


class ChaosCase(nodes_test.NodesCase):
    """Three control processes, four entry processes, seeded faults."""

    sizes = nodes_test.ClusterSettings(shards=SHARDS)

    async def test_seeds(self) -> None:
        """No key runs twice and every run is billed once under faults."""
        granted = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                granted += await self.run_seed(seed)
        self.assertGreater(granted, SEEDS * KEYS)

    async def run_seed(self, seed: int) -> int:
        """Run and check one seed; return the number of keys that ran."""
        self.rand = random.Random(seed)
        self.clock.now = START_S
        self.store = fake_platform_test.Store()
        self.network = nodes_test.Network()
        self.members = nodes_test.Members()
        self.ending = False
        self.up: dict[str, nodes_test.Node] = {}
        for name in NAMES:
            await self._boot(name)
        entries = [EntryProcess(self, f'entry-{num}') for num in range(ENTRIES)]
        senders = [
            asyncio.create_task(entry_process.send_forever())
            for entry_process in entries
        ]
        finishers = [
            asyncio.create_task(entry_process.finish_forever())
            for entry_process in entries
        ]
        try:
            await self._inject_faults()
            self.ending = True
            await asyncio.gather(*senders)
            await self._recover(entries)
        finally:
            await _cancel([*senders, *finishers])
        await self._check(entries)
        for node in self.up.values():
            await node.kill(self.network)
        return sum(len(entry_process.ran) for entry_process in entries)

    async def call_begin(
        self, row: journal_data.Row
    ) -> journal_data.Grant | None:
        """Send an intent to a random process; None if the reply is lost."""
        return await self._call(lambda node: node.begin(row))

    async def call_finish(self, row: journal_data.Row) -> bool:
        """Send an outcome to a random process."""
        return bool(await self._call(lambda node: node.finish(row)))

    async def _call(
        self, call: 'Callable[[nodes_test.Node], Awaitable[nodes_test.Result]]'
    ) -> 'nodes_test.Result | None':
        name = self.rand.choice(NAMES)
        node = self.up.get(name)
        address = f'127.0.0.1:{name}'
        if node is None or address in self.network.isolated:
            await asyncio.sleep(0.1)
            return None
        answer = await call(node)
        if self.up.get(name) is not node or address in self.network.isolated:
            return None
        return answer

    async def _boot(self, name: str) -> None:
        self.members.starts[name] = self.members.starts.get(name, 0) + 1
        if name not in self.members.names:
            self.members.names.append(name)
        self.network.isolated.discard(f'127.0.0.1:{name}')
        node = nodes_test.Node(
            self.store, self.network, self.members, name, self.sizes
        )
        self.up[name] = node
        await node.start()

    async def _inject_faults(self) -> None:
        """Inject overlapping faults for `RUN_S` seconds."""
        end = time.monotonic() + RUN_S
        running_faults: list[asyncio.Task[None]] = []
        while time.monotonic() < end:
            await asyncio.sleep(self.rand.uniform(0, 10))
            fault = self.rand.choice(
                (
                    self._kill_and_restart,
                    self._pause_process,
                    self._disconnect_platform,
                    self._silence_peer,
                    self._take_platform_down,
                    self._inject_write_faults,
                    self._restart_gracefully,
                )
            )
            running_faults.append(asyncio.create_task(fault()))
        await asyncio.gather(*running_faults)

    async def _kill_and_restart(self) -> None:
        node = self.up.pop(self.rand.choice(NAMES), None)
        if node is None:
            return
        await node.kill(self.network)
        node.client.gate.set()
        await asyncio.sleep(self.rand.uniform(0, 20))
        await self._boot(node.name)

    async def _restart_gracefully(self) -> None:
        node = self.up.pop(self.rand.choice(NAMES), None)
        if node is None:
            return
        node.client.gate.set()
        await node.stop()
        self.network.isolated.add(f'127.0.0.1:{node.name}')
        await asyncio.sleep(self.rand.uniform(0, 5))
        await self._boot(node.name)

    async def _pause_process(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        node.pause(self.network)
        await asyncio.sleep(self.rand.uniform(0, 20))
        if self.up.get(node.name) is node:
            node.resume(self.network)
        node.client.fault_prefix = 'beryllug/journal/'

    async def _disconnect_platform(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        node.client.is_disconnected = True
        await asyncio.sleep(self.rand.uniform(0, 20))
        node.client.is_disconnected = self.up.get(node.name) is not node

    async def _silence_peer(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        address = f'127.0.0.1:{node.name}'
        self.network.isolated.add(address)
        await asyncio.sleep(self.rand.uniform(0, 10))
        if self.up.get(node.name) is node:
            self.network.isolated.discard(address)

    async def _take_platform_down(self) -> None:
        self.store.down = True
        await asyncio.sleep(self.rand.uniform(0, 40))
        self.store.down = False

    async def _inject_write_faults(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        faults = self.rand.choices(list(Fault), k=self.rand.randrange(1, 4))
        node.client.fault_prefix = self.rand.choice(
            ('beryllug/journal/', 'beryllug/')
        )
        node.client.faults.extend(faults)
        await asyncio.sleep(self.rand.uniform(0, 5))
        self.store.apply_late_writes()

    async def _recover(self, entries: list[EntryProcess]) -> None:
        """End all faults and wait until all outcomes are acknowledged."""
        self.store.apply_late_writes()
        self.store.down = False
        self.network.isolated.clear()
        for node in self.up.values():
            node.client.is_disconnected = False
            node.client.faults.clear()
            node.client.gate.set()
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while any(
                entry_process.unacknowledged for entry_process in entries
            ):
                await asyncio.sleep(1)
        await asyncio.sleep(10)

    async def _check(self, entries: list[EntryProcess]) -> None:
        """Compare the requests that ran with the stored rows."""
        ran = _ran(entries)
        self.assertEqual(max(map(len, ran.values())), 1, ran)
        kind = journal_data.RowKind.OUTCOME
        bills = [row for row in self.rows() if row.kind is kind]
        ids = Counter(row.request_id for row in bills)
        self.assertEqual([name for name, num in ids.items() if num > 1], [])
        states = {row.request_id: row.state for row in bills}
        for request_ids in ran.values():
            self.assertEqual(states.get(request_ids[0]), State.DONE)
        used = await next(iter(self.up.values())).journal.usage()
        requests = sum(account.requests for account in used.accounts)
        run = [row for row in bills if row.state is not State.NOT_RUN]
        self.assertEqual(requests, len(run))


def _ran(entries: Sequence[EntryProcess]) -> dict[str, list[str]]:
    """Return the ids of the requests that ran, by key."""
    ran: dict[str, list[str]] = {}
    for entry_process in entries:
        for key, request_ids in entry_process.ran.items():
            ran.setdefault(key, []).extend(request_ids)
    return ran


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == '__main__':
    unittest.main()
