"""Service 'leases': who may act alone for a name.

One task tends each wanted lease. It does what `core.lease` decides, and says
when a lease was won or lost. Whether it holds *now* is asked of `held` each
time before acting: a pause can fall between any two lines.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec
from absl import logging

from beryllug.control import waiters
from beryllug.core import lease, lease_data
from beryllug.drivers import object_api, object_data

PREFIX = 'beryllug/leases/'
FRESH_S = 0.2
RETRY_S = 0.2
OWNER_TTL_S = 5.0

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(lease_data.Lease).decode

Listener = Callable[[str, int], Awaitable[None]]


class Ranking(Protocol):
    """What leases need of the membership service."""

    def rank(self, name: str, now: float) -> int:
        """Return this process's place for a lease, 0 the preferred."""


class Leases:
    """Holds leases of this process and knows the owners of others."""

    def __init__(
        self,
        api: object_api.ObjectApi,
        owner: lease_data.Owner,
        lease_s: float,
        ranking: Ranking,
    ) -> None:
        """Make the service; it tends no lease before `start`."""
        self._api = api
        self._owner = owner
        self._terms = lease_data.terms(lease_s)
        self._ranking = ranking
        self._states: dict[str, lease.LeaseState] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._wakes: dict[str, asyncio.Event] = {}
        self._listeners: dict[str, Listener] = {}
        self._seen: dict[str, lease.LeaseState] = {}
        self._started = False

    async def start(self) -> None:
        """Begin to tend the wanted leases."""
        self._started = True
        for name in self._states:
            self._tend(name)

    async def stop(self, grace_s: float) -> None:
        """Give back all leases, as far as the grace time allows."""
        names = list(self._states)
        for name in names:
            self._states[name].releasing = True
            self._wake(name)
        tasks = list(self._tasks.values())
        if tasks:
            await asyncio.wait(tasks, timeout=grace_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return all leases that this process tends."""
        now = time.monotonic()
        return {
            name: {
                'lease': state.lease,
                'held': self.held(name, now) is not None,
            }
            for name, state in self._states.items()
        }

    def want(self, name: str, listener: Listener | None = None) -> None:
        """Try to hold a lease from now on.

        Args:
            name: Name of the lease.
            listener: Called with name and fencing token when it is won,
                and with 0 when it is lost.
        """
        if name in self._states:
            return
        self._states[name] = lease.LeaseState(name)
        self._wakes[name] = asyncio.Event()
        if listener is not None:
            self._listeners[name] = listener
        if self._started:
            self._tend(name)

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the proof that this process holds a lease now, or None."""
        state = self._states.get(name)
        if state is None:
            return None
        return lease.token(state, self._owner, now)

    async def release(self, name: str) -> None:
        """Give a lease back and stop wanting it."""
        state = self._states.get(name)
        task = self._tasks.get(name)
        if state is None or task is None:
            return
        state.releasing = True
        self._wake(name)
        await asyncio.wait((task,))
        self._states.pop(name)
        self._tasks.pop(name)

    async def owner_of(
        self, name: str, *, fresh: bool = False
    ) -> lease_data.Lease | None:
        """Return the lease as it stands; the last known in an outage.

        Args:
            name: Name of the lease.
            fresh: Read it although it was read a short time ago, because
                its holder did not answer.
        """
        state = self._states.get(name) or self._seen.setdefault(
            name, lease.LeaseState(name)
        )
        age_s = time.monotonic() - state.read_at
        ttl_s = FRESH_S if fresh else OWNER_TTL_S
        if age_s > ttl_s:
            await self._read(state)
        return state.lease

    def _wake(self, name: str) -> None:
        self._wakes[name].set()

    def _tend(self, name: str) -> None:
        self._tasks[name] = asyncio.create_task(self._run(name))

    async def _run(self, name: str) -> None:
        state = self._states[name]
        known = 0
        while not _is_given_back(state):
            await self._step(state)
            if state.fencing != known:
                known = state.fencing
                await self._tell(name, known)

    async def _step(self, state: lease.LeaseState) -> None:
        now = time.monotonic()
        rank = self._ranking.rank(state.name, now)
        action = lease.decide(state, self._owner, self._terms, rank, now)
        match action:
            case lease.Read():
                if not await self._read(state):
                    await asyncio.sleep(RETRY_S)
            case lease.Write():
                await self._write(state, action)
            case lease.Wait(until):
                await self._sleep(state.name, until - now)

    async def _sleep(self, name: str, delay_s: float) -> None:
        event = self._wakes[name]
        event.clear()
        await waiters.set_within(event, delay_s)

    async def _read(self, state: lease.LeaseState) -> bool:
        try:
            found = await self._api.read(PREFIX + state.name)
        except object_data.ObjectApiError:
            return False
        version = found.version if found else 0
        content = _decode(found.value) if found else None
        lease.observed(
            state, self._owner, self._terms, version, content, time.monotonic()
        )
        return True

    async def _write(self, state: lease.LeaseState, write: lease.Write) -> None:
        sent_at = time.monotonic()
        try:
            version = await self._api.write(
                PREFIX + state.name,
                _encode(write.lease),
                write.expected_version,
            )
        except object_data.ConflictError:
            lease.conflicted(state)
        except object_data.UncertainError:
            lease.unsure(state, sent_at)
        except object_data.ObjectApiError:
            await asyncio.sleep(RETRY_S)
        else:
            now = time.monotonic()
            lease.written(state, self._terms, write, version, sent_at, now)

    async def _tell(self, name: str, fencing: int) -> None:
        held = 'won' if fencing else 'lost'
        logging.info('event=lease_%s name=%s fencing=%d', held, name, fencing)
        listener = self._listeners.get(name)
        if listener is not None:
            await listener(name, fencing)


def _is_given_back(state: lease.LeaseState) -> bool:
    unsure = state.unsure_since is not None
    return state.releasing and not state.fencing and not unsure
