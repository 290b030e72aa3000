"""Service 'orders': one sender of orders for each pool of model engines.

The holder of the lease `orders/<pool>` sends the orders of a pool. Every order
carries the fencing token of the lease.
"""

import asyncio
from typing import Any, Protocol

from beryllug.control import (
    config,
    leases,
    order_sender,
    order_weights,
    order_world,
)
from beryllug.core import settings_data
from beryllug.drivers import weight_store


class Leases(order_sender.LeaseChecker, Protocol):
    """The part of the leases service that is used here."""

    def keep_acquiring(
        self, name: str, listener: leases.LeaseListener | None = None
    ) -> None:
        """Try to hold a lease from now on."""

    async def release(self, name: str) -> None:
        """Release a lease and do not acquire it again."""


class Orders:
    """Runs the order sender of each pool."""

    def __init__(
        self,
        cfg: settings_data.Control,
        view: config.Config,
        held: Leases,
        engines: order_sender.Engines,
        store: weight_store.WeightStore | None,
    ) -> None:
        """Initialize with view, leases, engines and weight store."""
        self._leases = held
        self._weights = order_weights.LoadLimiter(store)
        self._view = view
        # An entry process sends no requests for a withdrawn version after this
        # time: control may lose the platform for one cut-off time, then the
        # entry may lose control for another.
        grace_s = 2 * cfg.cut_off_s + cfg.lease_s
        self._context = order_sender.SenderContext(
            engines=engines,
            leases=held,
            weights=self._weights,
            parts=lambda: view.feed.parts,
            accepts=view.accepts,
            lease_s=cfg.lease_s,
            grace_s=grace_s,
        )
        self._senders: dict[str, order_sender.OrderSender] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to acquire the leases of all pools of model engines."""
        self._task = asyncio.create_task(self._follow_pools())

    async def stop(self, grace_s: float) -> None:
        """Wait for the orders in flight; the leases are released later."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(
            *(sender.stop() for sender in self._senders.values())
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of each sender and of the weight budget."""
        return {
            'weights': self._weights.dump(),
            'pools': {
                name: sender.dump() for name, sender in self._senders.items()
            },
        }

    async def on_lease(self, name: str, fencing: int) -> None:
        """Do nothing: a sender checks its lease in each round."""

    async def before_release(self, name: str) -> bool:
        """Wait for the orders in flight before the lease is released."""
        sender = self._senders.get(_pool_of(name))
        if sender is not None:
            await sender.pause()
        return True

    async def _follow_pools(self) -> None:
        while True:
            pools = order_world.engine_pools(self._view.feed.parts.document)
            for name in pools.keys() - self._senders.keys():
                self._add_pool(name)
            for name in self._senders.keys() - pools.keys():
                await self._drop_pool(name)
            await asyncio.sleep(order_sender.ROUND_INTERVAL_S)

    def _add_pool(self, pool: str) -> None:
        sender = order_sender.OrderSender(pool, self._context)
        self._senders[pool] = sender
        sender.start()
        self._leases.keep_acquiring(order_sender.LEASE_PREFIX + pool, self)

    async def _drop_pool(self, pool: str) -> None:
        await self._senders.pop(pool).stop()
        await self._leases.release(order_sender.LEASE_PREFIX + pool)


def _pool_of(lease_name: str) -> str:
    return lease_name.removeprefix(order_sender.LEASE_PREFIX)
