"""An in-memory object API for tests, with injectable faults."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from beryllug.drivers import object_data

Hook = Callable[[str], Awaitable[None]]


class FakeObjects:
    """Objects by key; counts calls and can be made to fail.

    Attributes:
        calls: Number of calls by kind.
        down: Whether every call fails.
        lost_responses: Calls, as ``write KEY``, whose next response is lost
            after the call took effect.
        lost_requests: Calls, as ``write KEY``, that are lost before they take
            effect.
        replica: The objects that reads return instead of the current ones.
        before_write: Called once with the key before the next write takes
            effect.
        delay_s: Duration of each call.
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.calls: Counter[str] = Counter()
        self.down = False
        self.lost_responses: list[str] = []
        self.lost_requests: list[str] = []
        self.replica: dict[str, object_data.Object] | None = None
        self.before_write: Hook | None = None
        self.delay_s: float = 0
        self.stored: dict[str, object_data.Object] = {}
        self._revision = 0
        self._changes: list[object_data.Change] = []
        self._changed = asyncio.Event()

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        await self._start_call('read', key)
        shown = self.stored if self.replica is None else self.replica
        found = shown.get(key)
        self._finish_call('read', key)
        return found

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        await self._start_call('list', prefix)
        listed = tuple(
            object_data.Listed(key, found.version)
            for key, found in sorted(self.stored.items())
            if key.startswith(prefix)
        )
        self._finish_call('list', prefix)
        return object_data.Listing(self._revision, listed)

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        await self._start_call('write', key)
        if self.before_write is not None:
            hook = self.before_write
            self.before_write = None
            await hook(key)
        self._check_version(key, expected_version)
        self._revision += 1
        self.stored[key] = object_data.Object(key, self._revision, value)
        self._record_change(key, value)
        self._finish_call('write', key)
        return self._revision

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object."""
        await self._start_call('delete', key)
        self._check_version(key, expected_version)
        self._revision += 1
        self.stored.pop(key)
        self._record_change(key, None)
        self._finish_call('delete', key)
        return self._revision

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return changes after a revision, waiting for the first."""
        await self._start_call('watch', prefix)
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not self._changes_since(prefix, after) and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.down:
            raise object_data.UncertainError('down')
        return object_data.WatchBatch(
            self._revision, self._changes_since(prefix, after)
        )

    def cut(self) -> None:
        """Fail every call, and break waiting watches."""
        self.down = True
        self._notify_watches()

    def _changes_since(
        self, prefix: str, after: int
    ) -> tuple[object_data.Change, ...]:
        if self.down:
            raise object_data.UncertainError('down')
        return tuple(
            change
            for change in self._changes
            if change.version > after and change.key.startswith(prefix)
        )

    def _record_change(self, key: str, value: bytes | None) -> None:
        self._changes.append(
            object_data.Change(key, self._revision, value is None, value)
        )
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_version(self, key: str, expected: int | None) -> None:
        stored = self.stored.get(key)
        current = stored.version if stored else 0
        if expected is not None and expected != current:
            raise object_data.ConflictError(current)

    async def _start_call(self, kind: str, key: str) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise object_data.UnavailableError('down')
        _fail_once(self.lost_requests, f'{kind} {key}')

    def _finish_call(self, kind: str, key: str) -> None:
        _fail_once(self.lost_responses, f'{kind} {key}')


class FakeConnection:
    """One process's access to the objects, which can be cut separately.

    Attributes:
        calls: Number of calls on this path by kind.
        replica: The objects that reads on this path return instead of the
            current ones; a watch then returns no changes.
        compacted: Whether watches raise `CompactedError`, until a read.
    """

    def __init__(self, target: FakeObjects) -> None:
        """Create a working path to the objects."""
        self.calls: Counter[str] = Counter()
        self.replica: dict[str, object_data.Object] | None = None
        self.compacted = False
        self._target = target
        self._is_cut = False

    def cut(self) -> None:
        """Fail every call on this path."""
        self._is_cut = True

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        self._start_call('read')
        self.compacted = False
        if self.replica is not None:
            return self.replica.get(key)
        return await self._target.read(key)

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        self._start_call('list')
        return await self._target.list_keys(prefix)

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        self._start_call('write')
        return await self._target.write(key, value, expected_version)

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object."""
        self._start_call('delete')
        return await self._target.delete(key, expected_version)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return changes after a revision, waiting for the first."""
        self._start_call('watch')
        if self.compacted:
            raise object_data.CompactedError('gone')
        batch = await self._target.watch(prefix, after, wait_s)
        self._fail_if_cut()
        if self.replica is not None:
            return object_data.WatchBatch(0, ())
        return batch

    def _start_call(self, kind: str) -> None:
        self.calls[kind] += 1
        self._fail_if_cut()

    def _fail_if_cut(self) -> None:
        if self._is_cut:
            raise object_data.UncertainError('cut')


def _fail_once(faults: list[str], call: str) -> None:
    if call in faults:
        faults.remove(call)
        raise object_data.UncertainError('lost')
