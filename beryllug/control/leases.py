"""Service 'leases': who may act alone for a name.

One task tends each wanted lease. It does what `core.lease` decides, and says
when a lease was won or lost. Whether it holds *now* is asked of `held` each
time before acting: a pause can fall between any two lines.
"""

import asyncio
import contextlib
import time
from typing import Any, Protocol

from beryllug.control import (
    candidate_calls,
    lasting,
    lease_balance,
    lease_lookup,
    lease_outage,
    lease_task,
)
from beryllug.core import (
    lease,
    lease_data,
    rpc_data,
)
from beryllug.drivers import methods, object_api, rpc, rpc_peers

HINT_S = 0.5


class Holder(Protocol):
    """A service that acts under leases."""

    async def on_lease(self, name: str, fencing: int) -> None:
        """Take in that a lease is held with a token, or with 0 is not."""

    async def before_release(self, name: str) -> bool:
        """Finish what is done under a lease that is to be given back.

        Returns:
            False when it can't be given back, only lapse: something stands
            in memory that the next holder must gather.
        """


class Leases:
    """Holds leases of this process and knows the holders of others.

    Attributes:
        outage: What a platform outage needs to know of the leases.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        owner: lease_data.Owner,
        lease_s: float,
        members: lease_lookup.Members,
        calls: rpc_peers.Caller | None = None,
    ) -> None:
        """Make the service; it tends no lease before `start`.

        Args:
            api: The platform.
            owner: This process.
            lease_s: How long a lease holds without renewal.
            members: The membership service.
            calls: Calls to peers, to tell one that a lease is free.
        """
        self._owner = owner
        self._calls = calls
        self._lease_s = lease_s
        self._tasks: dict[str, lease_task.LeaseTask] = {}
        self._balance = lease_balance.Balance(
            owner.name, self._tasks, members, lease_s
        )
        terms = lease_data.terms(lease_s)
        self.outage = lease_outage.LeaseOutage(
            self._tasks, terms, self._balance
        )
        self._tended = lease_task.Tended(
            api, owner, terms, self.outage.standing, self._changed
        )
        self._holders: dict[str, Holder] = {}
        self._lookup = lease_lookup.LeaseLookup(
            self._tended, self._tasks, members
        )
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: candidate_calls.Server) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.LEASE_GIVEN, self.take_hint)

    async def start(self) -> None:
        """Begin to tend the wanted leases."""
        self._task = asyncio.create_task(
            lasting.repeat('balance', self._keep_balance)
        )
        for task in self._tasks.values():
            task.start()

    async def stop(self, grace_s: float) -> None:
        """Give back all leases, as far as the grace time allows."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(
            *(self._hand_over(name, grace_s) for name in self._held())
        )
        await asyncio.gather(*(task.stop() for task in self._tasks.values()))

    def dump(self) -> dict[str, Any]:
        """Return all leases that this process tends."""
        now = time.monotonic()
        return {
            name: {
                'lease': task.state.lease,
                'held': self.held(name, now) is not None,
                'preferred': self._balance.preferred(name),
            }
            for name, task in self._tasks.items()
        }

    def want(self, name: str, holder: Holder | None = None) -> None:
        """Try to hold a lease from now on.

        Args:
            name: Name of the lease; what stands before a slash is its kind,
                of which no member should hold more than its share.
            holder: Told when it is won, lost, or about to be given back.
        """
        if name in self._tasks:
            return
        task = lease_task.LeaseTask(name, self._tended)
        self._tasks[name] = task
        if holder is not None:
            self._holders[name] = holder
        if self._task is not None:
            task.start()

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the proof that this process holds a lease now, or None."""
        task = self._tasks.get(name)
        if task is None:
            return None
        return lease.token(task.state, self._owner, now)

    async def release(self, name: str) -> None:
        """Give a lease back and stop wanting it."""
        if name not in self._tasks:
            return
        await self._hand_over(name, self._lease_s)
        await self._tasks.pop(name).stop()
        self._holders.pop(name, None)

    async def owner_of(
        self, name: str, *, fresh: bool = False
    ) -> lease_data.Lease | None:
        """Return a lease as it stands; the last known in an outage.

        Args:
            name: Name of the lease.
            fresh: Read it although it is known, because its holder did not
                answer as one.
        """
        return await self._lookup.owner_of(name, fresh=fresh)

    async def take_hint(self, given: lease_data.Given) -> rpc_data.Empty:
        """Take in that a lease was given back for this process to take."""
        task = self._tasks.get(given.name)
        if task is not None:
            task.nudge()
        return rpc_data.Empty()

    def _held(self) -> list[str]:
        return [
            name for name, task in self._tasks.items() if task.state.fencing
        ]

    async def _changed(self, name: str, fencing: int) -> None:
        if fencing:
            self._lookup.tell(name, fencing, self._owner)
        holder = self._holders.get(name)
        if holder is not None:
            await holder.on_lease(name, fencing)

    async def _keep_balance(self) -> None:
        """Hand leases over when this process holds more than its share."""
        await asyncio.sleep(self._lease_s)
        name = self._balance.excess(self._held())
        if name is not None:
            await self._hand_over(name, self._lease_s)

    async def _hand_over(self, name: str, wait_s: float) -> None:
        holder = self._holders.get(name)
        if holder is not None and not await holder.before_release(name):
            return
        if await self._tasks[name].give_back(wait_s):
            await self._hint(name)

    async def _hint(self, name: str) -> None:
        """Tell the process that is preferred now; it may be missed."""
        address = self._balance.heir_address(name)
        if self._calls is None or address is None:
            return
        with contextlib.suppress(rpc.RpcError):
            await self._calls.call(
                address, methods.LEASE_GIVEN, lease_data.Given(name), HINT_S
            )
