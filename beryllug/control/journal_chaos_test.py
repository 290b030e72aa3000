"""Random faults, together and twice, against at most once and billed once.

Four entries send and resend requests under shared keys to three control
processes. Meanwhile processes are killed and restarted, paused, cut off; the
platform goes down, loses answers, lets writes land late. Then all heals, and
what ran is compared with what the platform holds.
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
KEY_S = 60.0
HEAL_S = 900.0
SHARDS = 2


class Entry:
    """An entry process as far as the journal sees it.

    Attributes:
        owed: Outcomes that are not acknowledged.
        ran: Request ids that ran, by key.
        kinds: Answers by kind.
    """

    def __init__(self, world: 'ChaosCase', name: str) -> None:
        """Make an entry."""
        self.owed: list[journal_data.Row] = []
        self.ran: dict[str, list[str]] = {}
        self.kinds: Counter[Kind] = Counter()
        self._world = world
        self._name = name
        self._count = 0

    async def send_forever(self) -> None:
        """Send requests under keys that others use too."""
        rand = self._world.rand
        while not self._world.ending:
            await asyncio.sleep(rand.uniform(0, 2))
            key = f'{int(time.monotonic() / KEY_S)}-{rand.randrange(KEYS)}'
            await self.send(key)

    async def finish_forever(self) -> None:
        """Send what is owed until it is acknowledged."""
        while True:
            await asyncio.sleep(self._world.rand.uniform(0.2, 1))
            for row in list(self.owed):
                if await self._world.call_finish(row):
                    self.owed.remove(row)

    async def send(self, key: str) -> None:
        """Send one request, and run it if it is granted in time."""
        self._count += 1
        row = nodes_test.intent(f'{self._name}-{self._count}', key)
        row = row._replace(entry=f'{self._name}/boot')
        sent_at = time.monotonic()
        grant = await self._world.call_begin(row)
        if grant is None or grant.doubtful:
            self.owed.append(nodes_test.outcome(row, State.NOT_RUN))
            return
        self.kinds[grant.kind] += 1
        if grant.kind is Kind.GRANTED:
            await self._run(row, grant.valid_s - time.monotonic() + sent_at)

    async def _run(self, row: journal_data.Row, valid_s: float) -> None:
        delay_s = self._world.rand.choice((0.0, 0.0, 0.0, 3.0))
        if delay_s >= valid_s:
            self.owed.append(nodes_test.outcome(row, State.NOT_RUN))
            return
        self.ran.setdefault(row.shard_key, []).append(row.request_id)
        await asyncio.sleep(self._world.rand.uniform(0, 8))
        self.owed.append(nodes_test.outcome(row))


class ChaosCase(nodes_test.NodesCase):
    """Three nodes, four entries, and faults drawn by a seed."""

    sizes = nodes_test.Sizes(shards=SHARDS)

    async def test_seeds(self) -> None:
        """No key runs twice, every run is billed once, whatever fails."""
        granted = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                granted += await self.run_seed(seed)
        self.assertGreater(granted, SEEDS * KEYS)

    async def run_seed(self, seed: int) -> int:
        """Run one schedule and check it; return the number of runs."""
        self.rand = random.Random(seed)
        self.clock.now = START_S
        self.store = fake_platform_test.Store()
        self.network = nodes_test.Network()
        self.members = nodes_test.Members()
        self.ending = False
        self.up: dict[str, nodes_test.Node] = {}
        for name in NAMES:
            await self._boot(name)
        entries = [Entry(self, f'entry-{num}') for num in range(ENTRIES)]
        senders = [asyncio.create_task(one.send_forever()) for one in entries]
        finishers = [
            asyncio.create_task(one.finish_forever()) for one in entries
        ]
        try:
            await self._break_things()
            self.ending = True
            await asyncio.gather(*senders)
            await self._heal(entries)
        finally:
            await _cancel([*senders, *finishers])
        await self._check(entries)
        for node in self.up.values():
            await node.kill(self.network)
        return sum(len(one.ran) for one in entries)

    async def call_begin(
        self, row: journal_data.Row
    ) -> journal_data.Grant | None:
        """Ask some control process; None when its answer is lost."""
        return await self._call(lambda node: node.begin(row))

    async def call_finish(self, row: journal_data.Row) -> bool:
        """Hand an outcome to some control process."""
        return bool(await self._call(lambda node: node.finish(row)))

    async def _call(
        self, call: 'Callable[[nodes_test.Node], Awaitable[nodes_test.Got]]'
    ) -> 'nodes_test.Got | None':
        name = self.rand.choice(NAMES)
        node = self.up.get(name)
        address = f'127.0.0.1:{name}'
        if node is None or address in self.network.silent:
            await asyncio.sleep(0.1)
            return None
        answer = await call(node)
        if self.up.get(name) is not node or address in self.network.silent:
            return None
        return answer

    async def _boot(self, name: str) -> None:
        self.members.starts[name] = self.members.starts.get(name, 0) + 1
        if name not in self.members.names:
            self.members.names.append(name)
        self.network.silent.discard(f'127.0.0.1:{name}')
        node = nodes_test.Node(
            self.store, self.network, self.members, name, self.sizes
        )
        self.up[name] = node
        await node.start()

    async def _break_things(self) -> None:
        """Let faults come one over the other for a time."""
        end = time.monotonic() + RUN_S
        under_way: list[asyncio.Task[None]] = []
        while time.monotonic() < end:
            await asyncio.sleep(self.rand.uniform(0, 10))
            fault = self.rand.choice(
                (
                    self._kill,
                    self._pause,
                    self._cut,
                    self._silence,
                    self._outage,
                    self._spoil_writes,
                    self._stop,
                )
            )
            under_way.append(asyncio.create_task(fault()))
        await asyncio.gather(*under_way)

    async def _kill(self) -> None:
        node = self.up.pop(self.rand.choice(NAMES), None)
        if node is None:
            return
        await node.kill(self.network)
        node.client.gate.set()
        await asyncio.sleep(self.rand.uniform(0, 20))
        await self._boot(node.name)

    async def _stop(self) -> None:
        node = self.up.pop(self.rand.choice(NAMES), None)
        if node is None:
            return
        node.client.gate.set()
        await node.stop()
        self.network.silent.add(f'127.0.0.1:{node.name}')
        await asyncio.sleep(self.rand.uniform(0, 5))
        await self._boot(node.name)

    async def _pause(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        node.pause(self.network)
        await asyncio.sleep(self.rand.uniform(0, 20))
        if self.up.get(node.name) is node:
            node.wake(self.network)
        node.client.faulty = 'beryllug/journal/'

    async def _cut(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        node.client.cut = True
        await asyncio.sleep(self.rand.uniform(0, 20))
        node.client.cut = self.up.get(node.name) is not node

    async def _silence(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        address = f'127.0.0.1:{node.name}'
        self.network.silent.add(address)
        await asyncio.sleep(self.rand.uniform(0, 10))
        if self.up.get(node.name) is node:
            self.network.silent.discard(address)

    async def _outage(self) -> None:
        self.store.down = True
        await asyncio.sleep(self.rand.uniform(0, 40))
        self.store.down = False

    async def _spoil_writes(self) -> None:
        node = self.up.get(self.rand.choice(NAMES))
        if node is None:
            return
        faults = self.rand.choices(list(Fault), k=self.rand.randrange(1, 4))
        node.client.faulty = self.rand.choice(
            ('beryllug/journal/', 'beryllug/')
        )
        node.client.faults.extend(faults)
        await asyncio.sleep(self.rand.uniform(0, 5))
        self.store.land()

    async def _heal(self, entries: list[Entry]) -> None:
        """End all faults, and wait until nothing is owed."""
        self.store.land()
        self.store.down = False
        self.network.silent.clear()
        for node in self.up.values():
            node.client.cut = False
            node.client.faults.clear()
            node.client.gate.set()
        async with asyncio.timeout(HEAL_S):
            while any(one.owed for one in entries):
                await asyncio.sleep(1)
        await asyncio.sleep(10)

    async def _check(self, entries: list[Entry]) -> None:
        """Compare what ran with what the platform holds."""
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


def _ran(entries: Sequence[Entry]) -> dict[str, list[str]]:
    """Return the requests that ran, by key."""
    ran: dict[str, list[str]] = {}
    for one in entries:
        for key, request_ids in one.ran.items():
            ran.setdefault(key, []).extend(request_ids)
    return ran


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == '__main__':
    unittest.main()
