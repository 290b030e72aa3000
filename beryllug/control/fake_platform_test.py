"""An in-memory object API with fault switches, for tests of control.

Each process of a test has its own client, so that one can be cut off, or
held at a call as if it were paused there.
"""

import asyncio
import unittest
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from beryllug.drivers import object_data


class Fault(StrEnum):
    """What happens to one write.

    LOST_ANSWER: it takes effect, its answer is lost. LOST: it has no effect,
    and the caller can't know. LATE: as LOST, but it takes effect at
    `Store.land`. REFUSED: it surely has no effect.
    """

    LOST_ANSWER = 'lost_answer'
    LOST = 'lost'
    LATE = 'late'
    REFUSED = 'refused'


class LateWrite(NamedTuple):
    """A write that is still on its way."""

    key: str
    body: bytes
    expected: int | None


@dataclass
class Store:
    """The objects, shared by all clients.

    Attributes:
        kept: Objects by key.
        revision: Revision of the last write.
        written: Keys of all writes that took effect, in order.
        late: Writes on their way.
        down: Whether nobody reaches the platform.
    """

    kept: dict[str, object_data.Object] = field(default_factory=dict)
    revision: int = 0
    written: list[str] = field(default_factory=list)
    late: list[LateWrite] = field(default_factory=list)
    down: bool = False

    def apply(self, key: str, body: bytes | None, expected: int | None) -> int:
        """Write or delete an object on its condition."""
        found = self.kept.get(key)
        present = found.version if found else 0
        if expected is not None and present != expected:
            raise object_data.ConflictError(present)
        self.revision += 1
        self.written.append(key)
        if body is None:
            self.kept.pop(key, None)
        else:
            stored = object_data.Object(key, self.revision, body)
            self.kept[key] = stored
        return self.revision

    def land(self) -> int:
        """Let late writes take effect; return how many met their condition."""
        landed = 0
        while self.late:
            late = self.late.pop(0)
            try:
                self.apply(late.key, late.body, late.expected)
            except object_data.ConflictError:
                continue
            landed += 1
        return landed


class Client:
    """One process's access to the store; implements `ObjectApi`.

    Attributes:
        cut: Whether this process alone can't reach the platform.
        gate: Cleared to hold writes before they are sent.
        held: Set while a write is held there.
        reads: Reads made.
        delay_s: How long each of its calls takes.
        applied: Called after a write to `faulty` has taken effect, before
            its answer is seen.
        faults: Faults of the next writes to keys with `faulty`.
        faulty: Prefix of the keys that faults are for.
    """

    def __init__(self, store: Store) -> None:
        """Make a client without faults."""
        self.cut = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.held = asyncio.Event()
        self.reads = 0
        self.delay_s = 0.002
        self.applied: Callable[[], None] = _do_nothing
        self.faults: deque[Fault] = deque()
        self.faulty = 'beryllug/journal/'
        self._store = store

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        self.reads += 1
        await self._reach()
        return self._store.kept.get(key)

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        await self._reach()
        lines = (
            object_data.Listed(key, stored.version)
            for key, stored in sorted(self._store.kept.items())
            if key.startswith(prefix)
        )
        return object_data.Listing(self._store.revision, tuple(lines))

    async def write(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        matching = key.startswith(self.faulty)
        if matching and not self.gate.is_set():
            self.held.set()
            await self.gate.wait()
        await self._reach()
        if not matching or not self.faults:
            version = self._store.apply(key, body, expected_version)
            if matching:
                self.applied()
            return version
        match self.faults.popleft():
            case Fault.LOST_ANSWER:
                self._store.apply(key, body, expected_version)
            case Fault.LATE:
                late = LateWrite(key, body, expected_version)
                self._store.late.append(late)
            case Fault.REFUSED:
                raise object_data.UnavailableError('refused')
        raise object_data.UncertainError('answer lost')

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object."""
        await self._reach()
        return self._store.apply(key, None, expected_version)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Refuse: control's leases and journal do not watch."""
        raise object_data.UnavailableError(prefix)

    async def _reach(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.cut or self._store.down:
            raise object_data.UnavailableError('down')


def _do_nothing() -> None:
    """Let a write's answer be seen at once."""


class FakePlatformTest(unittest.IsolatedAsyncioTestCase):
    """The fake keeps its conditions."""

    async def test_conditions(self) -> None:
        """A late write meets its condition or has no effect."""
        store = Store()
        client = Client(store)
        client.faulty = ''
        client.faults.append(Fault.LATE)
        with self.assertRaises(object_data.UncertainError):
            await client.write('one', b'late', 0)
        await client.write('one', b'first', 0)
        self.assertEqual(store.land(), 0)
        found = await client.read('one')
        self.assertEqual(found and found.value, b'first')


if __name__ == '__main__':
    unittest.main()
