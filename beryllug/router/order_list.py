"""The roll-out orders that this process knows from the store."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from beryllug.core import stamps
from beryllug.core.canary import canary_data
from beryllug.core.peering import peering_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import invalid_entry_log

# Earlier target versions that are remembered per order.
MAX_REPLACED = 20
Listener = Callable[[canary_data.Order, canary_data.Phase, float], None]


class StoredOrder(NamedTuple):
    """An order as stored, to be sent to peers."""

    revision: int
    spec: Any
    status: Any


class OrderList:
    """Tracks roll-out orders, from the store or from peers.

    Attributes:
        orders: The orders by name.
    """

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Start without orders."""
        self.orders: dict[str, StoredOrder] = {}
        self._refusals = invalid_entry_log.InvalidEntryLog(
            'order_refused', lines
        )
        self._listeners: list[Listener] = []
        self._replaced: dict[str, dict[str, None]] = {}
        # Names of orders that came with a full list, which may be that of a
        # restored, older store.
        self._listed: set[str] = set()

    def on_order(self, listener: Listener) -> None:
        """Register a listener for new orders and changes of their status."""
        self._listeners.append(listener)

    def revision(self) -> int:
        """Return the revision of the newest change."""
        return max((each.revision for each in self.orders.values()), default=0)

    def update(
        self,
        name: str,
        stored: StoredOrder,
        now: float,
        *,
        is_listed: bool = False,
    ) -> None:
        """Accept an order or its status, if it is newer than the known one.

        Args:
            name: Its name.
            stored: The order.
            now: Current time in seconds.
            is_listed: Whether it comes from a full list of the store, which may
                have been restored from an older copy: there an order that has
                been replaced is ignored.
        """
        known = self.orders.get(name)
        if known is not None and stored.revision <= known.revision:
            return
        decoded = self._decode(name, stored)
        if decoded is None:
            return
        order, phase = decoded
        if known is not None:
            is_return = stamps.is_restored(stored.revision, known.revision)
            replaced = self._replaced.get(name, {})
            if is_listed and is_return and order.target in replaced:
                return
            self._note_replaced(name, known.spec['target'], order.target)
        spec = documents.order_spec(order)
        status = documents.order_status(order.target, phase)
        self.orders[name] = StoredOrder(stored.revision, spec, status)
        self._listed.discard(name)
        if is_listed:
            self._listed.add(name)
        for listener in self._listeners:
            listener(order, phase, now)

    def held(self, era: int) -> dict[str, peering_data.HeldOrder]:
        """Return the orders from before an era that are still in force."""
        return {
            name: peering_data.HeldOrder(
                *order, tuple(self._replaced.get(name, ()))
            )
            for name, order in self.orders.items()
            if stamps.era(order.revision) < era
        }

    def apply_held(
        self, held: Mapping[str, peering_data.HeldOrder], now: float
    ) -> None:
        """Apply a peer's orders that the restored, older store lacks."""
        for name, order in held.items():
            known = self.orders.get(name)
            target = known.spec['target'] if known else order.spec['target']
            if target in order.replaced and name in self._listed:
                self.orders.pop(name)
            elif target != order.spec['target']:
                continue
            self._replaced[name] = dict.fromkeys(order.replaced)
            stored = StoredOrder(order.revision, order.spec, order.status)
            self.update(name, stored, now)

    def listed(self, listed: store_data.Listing, now: float) -> None:
        """Process a full list from the store."""
        for each in listed.found:
            self.update(each.name, _stored(each), now, is_listed=True)

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Process changes from the store."""
        for change in changes.changes:
            if not change.is_deleted:
                self.update(change.stored.name, _stored(change.stored), now)

    def _decode(
        self, name: str, stored: StoredOrder
    ) -> tuple[canary_data.Order, canary_data.Phase] | None:
        """Return an order and its phase; None if it can't be decoded.

        An order whose status can't be decoded has none.
        """
        for status in (stored.status, None):
            try:
                decoded = documents.order(
                    name, stored.revision, stored.spec, status
                )
            except (msgspec.ValidationError, ValueError) as exc:
                self._refusals.log_once(name, str(exc))
                continue
            if status is stored.status:
                self._refusals.clear(name)
            return decoded
        return None

    def _note_replaced(self, name: str, before: str, target: str) -> None:
        """Remember the target versions that came before the present one."""
        replaced = self._replaced.setdefault(name, {})
        replaced[before] = None
        replaced.pop(target, None)
        while len(replaced) > MAX_REPLACED:
            replaced.pop(next(iter(replaced)))


def _stored(found: store_data.StoredObject) -> StoredOrder:
    return StoredOrder(found.revision, found.spec, found.status)
