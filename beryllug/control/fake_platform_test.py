"""An in-memory object API with fault injection, for tests of control.

Each simulated process has its own client, so that it can be disconnected, or
blocked at a call as if it were paused there.
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
    """Fault of one write.

    LOST_ANSWER: it takes effect, but its reply is lost. LOST: it has no
    effect, which the caller can't know. LATE: as LOST, but it takes effect
    at `Store.apply_late_writes`. REFUSED: it has no effect, and the caller is
    told so.
    """

    LOST_ANSWER = 'lost_answer'
    LOST = 'lost'
    LATE = 'late'
    REFUSED = 'refused'


class LateWrite(NamedTuple):
    """A write that has not taken effect yet."""

    key: str
    body: bytes
    expected: int | None


@dataclass
class Store:
    """The objects, shared by all clients.

    Attributes:
        stored_objects: Objects by key.
        revision: Revision of the last write.
        written: Keys of all writes that took effect, in order.
        late: Writes that have not taken effect yet.
        down: Whether the platform is unreachable for all clients.
    """

    stored_objects: dict[str, object_data.Object] = field(default_factory=dict)
    revision: int = 0
    written: list[str] = field(default_factory=list)
    late: list[LateWrite] = field(default_factory=list)
    down: bool = False

    def apply(self, key: str, body: bytes | None, expected: int | None) -> int:
        """Write or delete an object if its version is as expected."""
        found = self.stored_objects.get(key)
        present = found.version if found else 0
        if expected is not None and present != expected:
            raise object_data.ConflictError(present)
        self.revision += 1
        self.written.append(key)
        if body is None:
            self.stored_objects.pop(key, None)
        else:
            stored = object_data.Object(key, self.revision, body)
            self.stored_objects[key] = stored
        return self.revision

    def apply_late_writes(self) -> int:
        """Apply late writes; return how many met their condition."""
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
        is_disconnected: Whether this client can't reach the platform.
        gate: Cleared to block writes to `fault_prefix` before they are sent.
        write_blocked: Set once a write has been blocked by `gate`.
        reads: Number of reads made.
        delay_s: Duration of each call.
        after_write: Called after a write to `fault_prefix` has taken effect,
            before its caller gets the reply.
        faults: Faults of the next writes to `fault_prefix`.
        fault_prefix: Prefix of the keys that `gate`, `after_write` and `faults`
            are for.
    """

    def __init__(self, store: Store) -> None:
        """Initialize a client without faults."""
        self.is_disconnected = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.write_blocked = asyncio.Event()
        self.reads = 0
        self.delay_s = 0.002
        self.after_write: Callable[[], None] = _do_nothing
        self.faults: deque[Fault] = deque()
        self.fault_prefix = 'beryllug/journal/'
        self._store = store

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        self.reads += 1
        await self._check_reachable()
        return self._store.stored_objects.get(key)

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        await self._check_reachable()
        entries = (
            object_data.Listed(key, stored.version)
            for key, stored in sorted(self._store.stored_objects.items())
            if key.startswith(prefix)
        )
        return object_data.Listing(self._store.revision, tuple(entries))

    async def write(
        self, key: str, body: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        matching = key.startswith(self.fault_prefix)
        if matching and not self.gate.is_set():
            self.write_blocked.set()
            await self.gate.wait()
        await self._check_reachable()
        if not matching or not self.faults:
            version = self._store.apply(key, body, expected_version)
            if matching:
                self.after_write()
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
        await self._check_reachable()
        return self._store.apply(key, None, expected_version)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Fail: the leases and the journal of control do not watch."""
        raise object_data.UnavailableError(prefix)

    async def _check_reachable(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.is_disconnected or self._store.down:
            raise object_data.UnavailableError('down')


def _do_nothing() -> None:
    """Do nothing after a write."""


class FakePlatformTest(unittest.IsolatedAsyncioTestCase):
    """The fake checks the expected versions of writes."""

    async def test_conditions(self) -> None:
        """A late write whose condition is not met has no effect."""
        store = Store()
        client = Client(store)
        client.fault_prefix = ''
        client.faults.append(Fault.LATE)
        with self.assertRaises(object_data.UncertainError):
            await client.write('one', b'late', 0)
        await client.write('one', b'first', 0)
        self.assertEqual(store.apply_late_writes(), 0)
        found = await client.read('one')
        self.assertEqual(found and found.value, b'first')


if __name__ == '__main__':
    unittest.main()
