"""An object API in memory for tests, with the faults it is meant for."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from beryllug.drivers import object_data

Hook = Callable[[str], Awaitable[None]]


class FakeObjects:
    """Objects by key; counts calls and can be made to fail.

    Attributes:
        calls: How often each kind of call was made.
        down: Refuse every call.
        lose: Calls, as ``write KEY``, whose next answer is lost after the
            effect.
        drop: Calls, as ``write KEY``, that are lost before the effect.
        replica: What reads show instead of the present state.
        before_write: Called with the key before each write takes effect.
        delay_s: What each call takes.
    """

    def __init__(self) -> None:
        """Make an empty store without faults."""
        self.calls: Counter[str] = Counter()
        self.down = False
        self.lose: list[str] = []
        self.drop: list[str] = []
        self.replica: dict[str, object_data.Object] | None = None
        self.before_write: Hook | None = None
        self.delay_s: float = 0
        self.stored: dict[str, object_data.Object] = {}
        self._revision = 0
        self._changes: list[object_data.Change] = []
        self._changed = asyncio.Event()

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        await self._begin('read', key)
        shown = self.stored if self.replica is None else self.replica
        found = shown.get(key)
        self._end('read', key)
        return found

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        await self._begin('list', prefix)
        listed = tuple(
            object_data.Listed(key, found.version)
            for key, found in sorted(self.stored.items())
            if key.startswith(prefix)
        )
        self._end('list', prefix)
        return object_data.Listing(self._revision, listed)

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        await self._begin('write', key)
        if self.before_write is not None:
            hook = self.before_write
            self.before_write = None
            await hook(key)
        self._check(key, expected_version)
        self._revision += 1
        self.stored[key] = object_data.Object(key, self._revision, value)
        self._note(key, value)
        self._end('write', key)
        return self._revision

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object."""
        await self._begin('delete', key)
        self._check(key, expected_version)
        self._revision += 1
        self.stored.pop(key)
        self._note(key, None)
        self._end('delete', key)
        return self._revision

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return changes after a revision, waiting for the first."""
        await self._begin('watch', prefix)
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not self._since(prefix, after) and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        if self.down:
            raise object_data.UncertainError('down')
        return object_data.WatchBatch(
            self._revision, self._since(prefix, after)
        )

    def cut(self) -> None:
        """Refuse every call, and break waiting watches."""
        self.down = True
        self._wake()

    def _since(self, prefix: str, after: int) -> tuple[object_data.Change, ...]:
        if self.down:
            raise object_data.UncertainError('down')
        return tuple(
            change
            for change in self._changes
            if change.version > after and change.key.startswith(prefix)
        )

    def _note(self, key: str, value: bytes | None) -> None:
        self._changes.append(
            object_data.Change(key, self._revision, value is None, value)
        )
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check(self, key: str, expected: int | None) -> None:
        stored = self.stored.get(key)
        current = stored.version if stored else 0
        if expected is not None and expected != current:
            raise object_data.ConflictError(current)

    async def _begin(self, kind: str, key: str) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise object_data.UnavailableError('down')
        _fail_once(self.drop, f'{kind} {key}')

    def _end(self, kind: str, key: str) -> None:
        _fail_once(self.lose, f'{kind} {key}')


class Path:
    """One process's path to the objects, which can be cut by itself.

    Attributes:
        calls: How often each kind of call was made on this path.
        replica: What reads on this path show instead of the present state;
            its watch shows nothing.
        compacted: Watches find their changes gone until a read.
    """

    def __init__(self, target: FakeObjects) -> None:
        """Lead to the objects."""
        self.calls: Counter[str] = Counter()
        self.replica: dict[str, object_data.Object] | None = None
        self.compacted = False
        self._target = target
        self._cut = False

    def cut(self) -> None:
        """Refuse every call on this path."""
        self._cut = True

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        self._begin('read')
        self.compacted = False
        if self.replica is not None:
            return self.replica.get(key)
        return await self._target.read(key)

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        self._begin('list')
        return await self._target.list_keys(prefix)

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        self._begin('write')
        return await self._target.write(key, value, expected_version)

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object."""
        self._begin('delete')
        return await self._target.delete(key, expected_version)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return changes after a revision, waiting for the first."""
        self._begin('watch')
        if self.compacted:
            raise object_data.CompactedError('gone')
        batch = await self._target.watch(prefix, after, wait_s)
        self._refuse_if_cut()
        if self.replica is not None:
            return object_data.WatchBatch(0, ())
        return batch

    def _begin(self, kind: str) -> None:
        self.calls[kind] += 1
        self._refuse_if_cut()

    def _refuse_if_cut(self) -> None:
        if self._cut:
            raise object_data.UncertainError('cut')


def _fail_once(faults: list[str], call: str) -> None:
    if call in faults:
        faults.remove(call)
        raise object_data.UncertainError('lost')
