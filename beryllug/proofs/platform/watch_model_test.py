"""The list of servers against a model of the store, its outages and gaps.

In virtual time, servers start, leave and crash, entries expire in outages,
history is compacted and answers are lost. The model knows the true state and
checks invariants after each step.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Any, NamedTuple

from hypothesis import example, given, settings, strategies

from beryllug.control import virtual_time_test
from beryllug.drivers import object_data, store_data
from beryllug.kernel import log_lines
from beryllug.platform import store
from beryllug.router import server_list, store_watch

DRAIN_S = 2.0
DOUBT_S = 1.5
# Seconds after an outage within which expired entries are written again.
REWRITE_S = 2.0
CALL_S = 0.004
# Seconds within which a change is known while the store answers: the longest
# pause between two attempts, a call, and the pause of the model.
PROPAGATION_S = 1.7
POLL_S = 0.02
STEP_S = 0.25


class _Event(NamedTuple):
    revision: int
    name: str
    state: str | None


class _Store:
    """A model of the store for one kind of object, as documented."""

    def __init__(self) -> None:
        self.states: dict[str, str] = {}
        self.is_down = False
        self.lost_answers = 0
        self._revision = 1
        self._history: list[_Event] = []
        self._compacted_upto = 1

    def put(self, name: str, state: str | None) -> None:
        """Write or remove an entry."""
        if state is None:
            self.states.pop(name, None)
        else:
            self.states[name] = state
        self._revision += 1
        self._history.append(_Event(self._revision, name, state))

    def compact(self) -> None:
        """Drop the history; pending watches fail."""
        self._history.clear()
        self._compacted_upto = self._revision

    async def list_page(self, kind: str, after: str = '') -> store_data.Page:
        """List all entries, in one page."""
        await self._call()
        found = tuple(
            _stored(name, self._revision, state)
            for name, state in self.states.items()
        )
        return store_data.Page(store_data.Listing(found, self._revision), '')

    async def watch(self, kind: str, after: int, wait_s: float) -> Any:
        """Return the changes after a revision, waiting for the first."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            await self._call()
            if after < self._compacted_upto:
                raise object_data.CompactedError('history is gone')
            changes = tuple(
                store_data.Change(
                    _stored(event.name, event.revision, event.state),
                    is_deleted=event.state is None,
                )
                for event in self._history
                if event.revision > after
            )
            if changes or loop.time() >= until:
                return store_data.Changes(changes, self._revision)
            await asyncio.sleep(POLL_S)

    async def _call(self) -> None:
        await asyncio.sleep(CALL_S)
        if self.is_down:
            raise object_data.UnavailableError('down')
        if self.lost_answers:
            self.lost_answers -= 1
            raise object_data.UncertainError('the answer was lost')


class _World:
    """Servers, the store, and a process that watches it."""

    def __init__(self, seed: int) -> None:
        self.store = _Store()
        self.alive: set[str] = set()
        self.leaves_at: dict[str, float] = {}
        self.healthy_since = 0.0
        lines = log_lines.LineWriter(_LOG_FD)
        self.listed = server_list.ServerList(DOUBT_S, lines)
        api: Any = self.store
        follower = store_watch.Follower(
            self.listed.listed, self.listed.changed, self.listed.reached
        )
        self._watch = store_watch.StoreWatch(
            api, store.SERVERS, follower, lines
        )
        self.ever_usable: set[str] = set()
        self._rng = random.Random(seed)
        self._number = 0

    def start(self) -> None:
        """Start with three servers."""
        for _ in range(3):
            self.add()
        self._watch.start()

    async def stop(self) -> None:
        """Stop watching."""
        await self._watch.stop()

    def add(self) -> None:
        """Start a server."""
        self._number += 1
        name = f's{self._number}'
        self.alive.add(name)
        self.store.put(name, 'ready')

    def drain(self) -> None:
        """Let a server announce that it leaves."""
        name = self._choose_server()
        if name and not self.store.is_down:
            self.store.put(name, 'draining')
            self.leaves_at[name] = self.now()
            self.alive.discard(name)

    def crash(self) -> None:
        """Remove a server together with its entry."""
        name = self._choose_server()
        if name and not self.store.is_down:
            self.store.put(name, None)
            self.alive.discard(name)

    def forget(self) -> None:
        """Compact the store's history."""
        self.store.compact()

    def lose(self) -> None:
        """Lose the next answers of the store."""
        self.store.lost_answers = 2
        self.healthy_since = self.now()

    def down(self) -> None:
        """Make the store unavailable and let all entries expire."""
        if not self.store.is_down:
            self.store.is_down = True
            for name in list(self.store.states):
                self.store.put(name, None)

    def up(self) -> None:
        """Make the store available; servers rewrite entries within 2 s."""
        if self.store.is_down:
            self.store.is_down = False
            self.healthy_since = self.now()
            loop = asyncio.get_running_loop()
            for name in self.alive:
                after_s = self._rng.uniform(0, REWRITE_S)
                loop.call_later(after_s, self._write_again, name)

    def now(self) -> float:
        """Return the current time in seconds."""
        return asyncio.get_running_loop().time()

    def usable(self) -> set[str]:
        """Return the servers that the process would send requests to."""
        listed, doubted = self.listed.usable(self.now())
        return {server.instance for server in (*listed, *doubted)}

    def is_healthy(self, duration_s: float) -> bool:
        """Return whether the store has worked for some seconds."""
        return (
            not self.store.is_down
            and self.now() >= self.healthy_since + duration_s
        )

    def _choose_server(self) -> str | None:
        ready = sorted(self.alive)
        return self._rng.choice(ready) if len(ready) > 1 else None

    def _write_again(self, name: str) -> None:
        if name in self.alive and not self.store.is_down:
            self.store.put(name, 'ready')


_LOG_FD = 1
# Regression: the second outage begins before the expired entries are written
# again, and live servers were dropped in it.
TWO_OUTAGES = 'down up add add add add add down add add add add'.split()
STEPS = ('add', 'drain', 'crash', 'forget', 'lose', 'down', 'up', 'wait')


class WatchModelTest(virtual_time_test.VirtualTimeCase):
    """The list of one process, step by step."""

    @settings(max_examples=150, deadline=None)
    @example(TWO_OUTAGES, 0)
    @given(
        strategies.lists(strategies.sampled_from(STEPS), max_size=30),
        strategies.integers(0, 1000),
    )
    def test_series(self, steps: Sequence[str], seed: int) -> None:
        """Outages lose no live server; leaving ones get no work."""
        asyncio.run(self._play(steps, seed))

    async def _play(self, steps: Sequence[str], seed: int) -> None:
        world = _World(seed)
        world.start()
        await asyncio.sleep(PROPAGATION_S)
        for step in steps:
            if step != 'wait':
                getattr(world, step)()
            await asyncio.sleep(STEP_S)
            self._check(world)
        world.up()
        await asyncio.sleep(REWRITE_S + DOUBT_S + 2 * PROPAGATION_S)
        self.assertEqual(world.usable(), world.alive)
        await world.stop()

    def _check(self, world: _World) -> None:
        usable = world.usable()
        left = [
            name
            for name, at in world.leaves_at.items()
            if world.now() > at + DRAIN_S
        ]
        if world.is_healthy(PROPAGATION_S):
            self.assertEqual(usable & set(left), set())
        if world.store.is_down or not world.is_healthy(REWRITE_S):
            # The newest may not have been listed before the outage.
            known = world.alive & world.ever_usable
            self.assertEqual(known - usable, set())
        world.ever_usable |= usable


def _stored(
    name: str, revision: int, state: str | None
) -> store_data.StoredObject:
    spec = {
        'service': 'pool',
        'address': f'10.0.0.1:{name[1:]}',
        'zone': 'a',
        'version': 'v1',
        'slots': 6,
        'state': state or 'ready',
    }
    return store_data.StoredObject(name, revision, spec, None, is_leaving=False)
