"""Service 'leases': exclusive ownership of names among control processes.

One task maintains each wanted lease by the decisions of `core.lease`, and
reports when the lease was acquired or lost. Callers check `held` right before
each action under a lease, because the process can be paused between any two
statements.
"""

import asyncio
import contextlib
import time
from typing import Any, Protocol

from beryllug.control import (
    candidate_calls,
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
from beryllug.kernel import background_tasks

NOTIFY_TIMEOUT_S = 0.5


class LeaseListener(Protocol):
    """A service that acts under leases and follows their changes."""

    async def on_lease(self, name: str, fencing: int) -> None:
        """Handle a lease acquired with a fencing token, or lost (0)."""

    async def before_release(self, name: str) -> bool:
        """Finish the work under a lease that is about to be released.

        Returns:
            False when the lease must expire instead of being released,
            because the next holder must gather rows that are only in memory.
        """


class Leases:
    """Maintains the leases of this process and looks up other holders.

    Attributes:
        outage: Access to the leases during a platform outage.
    """

    def __init__(
        self,
        api: object_api.ObjectApi,
        owner: lease_data.Owner,
        lease_s: float,
        members: lease_lookup.Members,
        calls: rpc_peers.PeerCaller | None = None,
    ) -> None:
        """Initialize the service; leases are maintained from `start` on.

        Args:
            api: The platform.
            owner: This process.
            lease_s: Duration of a lease without renewal.
            members: The membership service.
            calls: Calls to peers, to notify one that a lease was released.
        """
        self._owner = owner
        self._calls = calls
        self._lease_s = lease_s
        self._tasks: dict[str, lease_task.LeaseTask] = {}
        self._balance = lease_balance.Balance(
            owner.name, self._tasks, members, lease_s
        )
        terms = lease_data.lease_timings(lease_s)
        self.outage = lease_outage.LeaseOutage(
            self._tasks, terms, self._balance
        )
        self._context = lease_task.TaskContext(
            api, owner, terms, self.outage.claim, self._on_change
        )
        self._listeners: dict[str, LeaseListener] = {}
        self._lookup = lease_lookup.LeaseLookup(
            self._context, self._tasks, members
        )
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: candidate_calls.Server) -> None:
        """Register the RPC methods at the server of this process."""
        server.unary(methods.LEASE_GIVEN, self.handle_release)

    async def start(self) -> None:
        """Start to maintain the wanted leases."""
        self._task = asyncio.create_task(
            background_tasks.run_repeatedly('balance', self._keep_balance)
        )
        for task in self._tasks.values():
            task.start()

    async def stop(self, grace_s: float) -> None:
        """Release all leases, as far as the grace period allows."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(
            *(self._hand_over(name, grace_s) for name in self._held_names())
        )
        await asyncio.gather(*(task.stop() for task in self._tasks.values()))

    def dump(self) -> dict[str, Any]:
        """Return the state of all wanted leases."""
        now = time.monotonic()
        return {
            name: {
                'lease': task.state.lease,
                'held': self.held(name, now) is not None,
                'preferred': self._balance.preferred(name),
            }
            for name, task in self._tasks.items()
        }

    def keep_acquiring(
        self, name: str, listener: LeaseListener | None = None
    ) -> None:
        """Try to hold a lease from now on.

        Args:
            name: Name of the lease. The part before a slash is its kind; no
                member should hold more than its share of one kind.
            listener: Notified when the lease was acquired or lost, and before
                it is released.
        """
        if name in self._tasks:
            return
        task = lease_task.LeaseTask(name, self._context)
        self._tasks[name] = task
        if listener is not None:
            self._listeners[name] = listener
        if self._task is not None:
            task.start()

    def held(self, name: str, now: float) -> lease_data.Token | None:
        """Return the token of a lease that is held now, else None."""
        task = self._tasks.get(name)
        if task is None:
            return None
        return lease.token(task.state, self._owner, now)

    async def release(self, name: str) -> None:
        """Release a lease and do not acquire it again."""
        if name not in self._tasks:
            return
        await self._hand_over(name, self._lease_s)
        await self._tasks.pop(name).stop()
        self._listeners.pop(name, None)

    async def owner_of(
        self, name: str, *, fresh: bool = False
    ) -> lease_data.Lease | None:
        """Return the current lease, or the last known one in an outage.

        Args:
            name: Name of the lease.
            fresh: Read the lease even if it is cached, because a call to the
                cached holder failed or found that it is not the holder.
        """
        return await self._lookup.owner_of(name, fresh=fresh)

    async def handle_release(
        self, given: lease_data.LeaseReleased
    ) -> rpc_data.Empty:
        """Handle the notification that a lease was released."""
        task = self._tasks.get(given.name)
        if task is not None:
            task.read_now()
        return rpc_data.Empty()

    def _held_names(self) -> list[str]:
        return [
            name for name, task in self._tasks.items() if task.state.fencing
        ]

    async def _on_change(self, name: str, fencing: int) -> None:
        if fencing:
            self._lookup.announce(name, fencing, self._owner)
        listener = self._listeners.get(name)
        if listener is not None:
            await listener.on_lease(name, fencing)

    async def _keep_balance(self) -> None:
        """Hand over a lease when this process holds more than its share."""
        await asyncio.sleep(self._lease_s)
        name = self._balance.excess(self._held_names())
        if name is not None:
            await self._hand_over(name, self._lease_s)

    async def _hand_over(self, name: str, wait_s: float) -> None:
        listener = self._listeners.get(name)
        if listener is not None and not await listener.before_release(name):
            return
        if await self._tasks[name].release_lease(wait_s):
            await self._notify_successor(name)

    async def _notify_successor(self, name: str) -> None:
        """Notify the preferred successor; best effort."""
        address = self._balance.successor_address(name)
        if self._calls is None or address is None:
            return
        with contextlib.suppress(rpc.RpcError):
            await self._calls.call(
                address,
                methods.LEASE_GIVEN,
                lease_data.LeaseReleased(name),
                NOTIFY_TIMEOUT_S,
            )
