"""Service 'orders': one sender of orders for each pool of model engines.

The lease `orders/<pool>` decides which control process sends, and its fencing
token goes with every order.
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


class Leases(order_sender.Held, Protocol):
    """What the service needs of the leases."""

    def want(self, name: str, holder: leases.Holder | None = None) -> None:
        """Try to hold a lease from now on."""

    async def release(self, name: str) -> None:
        """Give a lease back and stop wanting it."""


class Orders:
    """The senders of this process by pool."""

    def __init__(
        self,
        cfg: settings_data.Control,
        view: config.Config,
        held: Leases,
        engines: order_sender.Engines,
        store: weight_store.WeightStore | None,
    ) -> None:
        """Bind to the view, the leases, the engines and the weight store."""
        self._leases = held
        self._weights = order_weights.Weights(store)
        self._view = view
        # No entry process sends work of a withdrawn version after it was cut
        # off for this long: control first, then itself from control.
        grace_s = 2 * cfg.cut_off_s + cfg.lease_s
        self._wired = order_sender.Wired(
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
        """Begin to want the leases of all pools of model engines."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self, grace_s: float) -> None:
        """Let orders under way end; the leases are given back later."""
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
        """Do nothing: a sender looks at its lease before each round."""

    async def before_release(self, name: str) -> bool:
        """Let orders under way end before the lease goes to another."""
        sender = self._senders.get(_pool_of(name))
        if sender is not None:
            await sender.pause()
        return True

    async def _follow(self) -> None:
        while True:
            pools = order_world.engine_pools(self._view.feed.parts.document)
            for name in pools.keys() - self._senders.keys():
                self._add(name)
            for name in self._senders.keys() - pools.keys():
                await self._drop(name)
            await asyncio.sleep(order_sender.TICK_S)

    def _add(self, pool: str) -> None:
        sender = order_sender.OrderSender(pool, self._wired)
        self._senders[pool] = sender
        sender.start()
        self._leases.want(order_sender.LEASE_PREFIX + pool, self)

    async def _drop(self, pool: str) -> None:
        await self._senders.pop(pool).stop()
        await self._leases.release(order_sender.LEASE_PREFIX + pool)


def _pool_of(lease_name: str) -> str:
    return lease_name.removeprefix(order_sender.LEASE_PREFIX)
