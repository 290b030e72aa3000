"""The task that tends one lease, as `core.lease` decides."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from absl import logging

from beryllug.control import lasting, waiters
from beryllug.core import lease, lease_data
from beryllug.drivers import object_api, object_data

PREFIX = 'beryllug/leases/'
RETRY_S = 0.2

_encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(lease_data.Lease).decode


class Tended(NamedTuple):
    """What all lease tasks of a process share.

    Attributes:
        api: The platform.
        owner: This process.
        terms: Durations.
        standing: Returns how this process stands to a lease.
        changed: Called with name and fencing token when a lease is won, and
            with 0 when it is lost or given back.
    """

    api: object_api.ObjectApi
    owner: lease_data.Owner
    terms: lease_data.Terms
    standing: Callable[[str], lease_data.Standing]
    changed: Callable[[str, int], Awaitable[None]]


class LeaseTask:
    """Reads, takes, renews and gives back one lease.

    Attributes:
        state: What is known of it.
    """

    def __init__(self, name: str, tended: Tended) -> None:
        """Make the task; it reads nothing before `start` or `read`."""
        self.state = lease.LeaseState(name)
        self._tended = tended
        self._told = 0
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to tend the lease."""
        name = f'lease {self.state.name}'
        self._task = asyncio.create_task(lasting.repeat(name, self._round))

    async def stop(self) -> None:
        """Stop tending it, whatever its state."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def give_back(self, wait_s: float) -> bool:
        """Give the lease back; False when that takes too long."""
        if self._task is None or not self.state.fencing:
            return True
        self._idle.clear()
        self.state.releasing = True
        self._wake.set()
        given = await waiters.set_within(self._idle, wait_s)
        self.state.releasing = False
        return given

    def nudge(self) -> None:
        """Read the lease now: it was given back."""
        if not self.state.fencing:
            self.state.known = False
            self._wake.set()

    def renew_now(self) -> None:
        """Renew at once, so that others read what has changed."""
        if self.state.fencing:
            self.state.renewed_at = min(
                self.state.renewed_at,
                time.monotonic() - self._tended.terms.renew_s,
            )
            self._wake.set()

    def watch_anew(self) -> None:
        """Forget for how long the lease was seen unchanged."""
        self.state.read_at = float('-inf')

    async def read(self) -> bool:
        """Read the lease; False when the platform does not answer."""
        try:
            found = await self._tended.api.read(PREFIX + self.state.name)
        except object_data.ObjectApiError:
            return False
        version = found.version if found else 0
        content = decode(found.value) if found else None
        lease.observed(
            self.state,
            self._tended.owner,
            self._tended.terms,
            version,
            content,
            time.monotonic(),
        )
        return True

    async def _round(self) -> None:
        await self._step()
        await self._tell()

    async def _step(self) -> None:
        now = time.monotonic()
        action = lease.decide(
            self.state,
            self._tended.owner,
            self._tended.terms,
            self._tended.standing(self.state.name),
            now,
        )
        match action:
            case lease.Read():
                if not await self.read():
                    await asyncio.sleep(RETRY_S)
            case lease.Write():
                await self._write(action)
            case lease.Wait(until):
                await waiters.set_within(self._wake, until - now)
                self._wake.clear()

    async def _write(self, write: lease.Write) -> None:
        sent_at = time.monotonic()
        lease.sending(self.state, write)
        try:
            version = await self._tended.api.write(
                PREFIX + self.state.name,
                _encode(write.lease),
                write.expected_version,
            )
        except object_data.ConflictError:
            lease.conflicted(self.state)
        except object_data.UncertainError:
            lease.unsure(self.state, sent_at)
        except object_data.ObjectApiError:
            await asyncio.sleep(RETRY_S)
        else:
            lease.written(
                self.state,
                self._tended.terms,
                write,
                version,
                sent_at,
                time.monotonic(),
            )

    async def _tell(self) -> None:
        fencing = self.state.fencing
        if fencing == self._told:
            return
        self._told = fencing
        held = 'won' if fencing else 'lost'
        name = self.state.name
        logging.info('event=lease_%s name=%s fencing=%d', held, name, fencing)
        await self._tended.changed(name, fencing)
        if not fencing:
            self._idle.set()
