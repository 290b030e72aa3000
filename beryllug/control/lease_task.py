"""The task that maintains one lease by the decisions of `core.lease`."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from absl import logging

from beryllug.control import waiters
from beryllug.core import lease, lease_data
from beryllug.drivers import object_api, object_data
from beryllug.kernel import background_tasks

PREFIX = 'beryllug/leases/'
RETRY_S = 0.2

_encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(lease_data.Lease).decode


class TaskContext(NamedTuple):
    """Dependencies that all lease tasks of a process share.

    Attributes:
        api: The platform.
        owner: This process.
        terms: Lease durations.
        claim: Returns the rank and the candidates of this process for a
            lease.
        changed: Called with the name and the fencing token when a lease is
            acquired, and with the name and 0 when it is lost or released.
    """

    api: object_api.ObjectApi
    owner: lease_data.Owner
    terms: lease_data.LeaseTimings
    claim: Callable[[str], lease_data.LeaseClaim]
    changed: Callable[[str, int], Awaitable[None]]


class LeaseTask:
    """Reads, acquires, renews and releases one lease.

    Attributes:
        state: The known state of the lease.
    """

    def __init__(self, name: str, context: TaskContext) -> None:
        """Initialize; nothing is read before `start` or `read`."""
        self.state = lease.LeaseState(name)
        self._context = context
        self._reported_fencing = 0
        self._wake = asyncio.Event()
        self._not_held = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to maintain the lease."""
        name = f'lease {self.state.name}'
        self._task = asyncio.create_task(
            background_tasks.run_repeatedly(name, self._round)
        )

    async def stop(self) -> None:
        """Stop maintaining the lease, in whatever state it is."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def release_lease(self, wait_s: float) -> bool:
        """Release the lease; return False when that takes too long."""
        if self._task is None or not self.state.fencing:
            return True
        self._not_held.clear()
        self.state.releasing = True
        self._wake.set()
        released = await waiters.wait_for_event(self._not_held, wait_s)
        self.state.releasing = False
        return released

    def read_now(self) -> None:
        """Read the lease now, because its holder released it."""
        if not self.state.fencing:
            self.state.known = False
            self._wake.set()

    def renew_now(self) -> None:
        """Renew at once, so that others read the changed content."""
        if self.state.fencing:
            self.state.renewed_at = min(
                self.state.renewed_at,
                time.monotonic() - self._context.terms.renew_s,
            )
            self._wake.set()

    def reset_observation(self) -> None:
        """Restart the time for which the lease was seen unchanged."""
        self.state.read_at = float('-inf')

    async def read(self) -> bool:
        """Read the lease; return False when the platform does not answer."""
        try:
            found = await self._context.api.read(PREFIX + self.state.name)
        except object_data.ObjectApiError:
            return False
        version = found.version if found else 0
        content = decode(found.value) if found else None
        lease.record_read(
            self.state,
            self._context.owner,
            self._context.terms,
            version,
            content,
            time.monotonic(),
        )
        return True

    async def _round(self) -> None:
        await self._step()
        await self._report_change()

    async def _step(self) -> None:
        now = time.monotonic()
        action = lease.decide(
            self.state,
            self._context.owner,
            self._context.terms,
            self._context.claim(self.state.name),
            now,
        )
        match action:
            case lease.Read():
                if not await self.read():
                    await asyncio.sleep(RETRY_S)
            case lease.Write():
                await self._write(action)
            case lease.Wait(until):
                await waiters.wait_for_event(self._wake, until - now)
                self._wake.clear()

    async def _write(self, write: lease.Write) -> None:
        sent_at = time.monotonic()
        lease.sending(self.state, write)
        try:
            version = await self._context.api.write(
                PREFIX + self.state.name,
                _encode(write.lease),
                write.expected_version,
            )
        except object_data.ConflictError:
            lease.record_conflict(self.state)
        except object_data.UncertainError:
            lease.record_unknown_result(self.state, sent_at)
        except object_data.ObjectApiError:
            await asyncio.sleep(RETRY_S)
        else:
            lease.record_write(
                self.state,
                self._context.terms,
                write,
                version,
                sent_at,
                time.monotonic(),
            )

    async def _report_change(self) -> None:
        fencing = self.state.fencing
        if fencing == self._reported_fencing:
            return
        self._reported_fencing = fencing
        held = 'won' if fencing else 'lost'
        name = self.state.name
        logging.info('event=lease_%s name=%s fencing=%d', held, name, fencing)
        await self._context.changed(name, fencing)
        if not fencing:
            self._not_held.set()
