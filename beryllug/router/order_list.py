"""The roll-out orders that this process knows, as they stand in the store."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from beryllug.core import stamps
from beryllug.core.canary import canary_data
from beryllug.core.peering import peering_data
from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import refusals

# Versions that were ordered before the present one and are remembered.
MOST_REPLACED = 20
Listener = Callable[[canary_data.Order, canary_data.Phase, float], None]


class StoredOrder(NamedTuple):
    """An order as it stands in the store, to be told to peers."""

    revision: int
    spec: Any
    status: Any


class OrderList:
    """Follows the store's orders, or what peers tell of them.

    Attributes:
        orders: The orders by name.
    """

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Begin without orders."""
        self.orders: dict[str, StoredOrder] = {}
        self._refusals = refusals.Refusals('order_refused', lines)
        self._listeners: list[Listener] = []
        self._replaced: dict[str, dict[str, None]] = {}
        # Orders that are known from a list, which may be that of a copy.
        self._listed: set[str] = set()

    def on_order(self, listener: Listener) -> None:
        """Tell of each order and each change of its status."""
        self._listeners.append(listener)

    def revision(self) -> int:
        """Return the revision of the newest change."""
        return max((each.revision for each in self.orders.values()), default=0)

    def take(
        self,
        name: str,
        stored: StoredOrder,
        now: float,
        *,
        is_listed: bool = False,
    ) -> None:
        """Take an order or its status, if it is newer than what is known.

        Args:
            name: Its name.
            stored: The order.
            now: The present second.
            is_listed: Whether it stands in a list of the store, which may be
                that of an older copy: an order that was replaced is passed
                over there.
        """
        known = self.orders.get(name)
        if known is not None and stored.revision <= known.revision:
            return
        try:
            order, phase = documents.order(
                name, stored.revision, stored.spec, stored.status
            )
        except (msgspec.ValidationError, ValueError) as exc:
            self._refusals.refused(name, str(exc))
            return
        self._refusals.accepted(name)
        if known is not None:
            is_return = stamps.is_return(stored.revision, known.revision)
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
        """Return the orders of before an era that are still in force."""
        return {
            name: peering_data.HeldOrder(
                *order, tuple(self._replaced.get(name, ()))
            )
            for name, order in self.orders.items()
            if stamps.era(order.revision) < era
        }

    def take_held(
        self, held: Mapping[str, peering_data.HeldOrder], now: float
    ) -> None:
        """Take what a peer holds against the list of an older copy."""
        for name, order in held.items():
            known = self.orders.get(name)
            target = known.spec['target'] if known else order.spec['target']
            if target in order.replaced and name in self._listed:
                self.orders.pop(name)
            elif target != order.spec['target']:
                continue
            self._replaced[name] = dict.fromkeys(order.replaced)
            stored = StoredOrder(order.revision, order.spec, order.status)
            self.take(name, stored, now)

    def listed(self, listed: store_data.Listing, now: float) -> None:
        """Take a whole list of the store."""
        for each in listed.found:
            self.take(each.name, _stored(each), now, is_listed=True)

    def changed(self, changes: store_data.Changes, now: float) -> None:
        """Take changes that the store reports."""
        for change in changes.changes:
            if not change.is_gone:
                self.take(change.stored.name, _stored(change.stored), now)

    def _note_replaced(self, name: str, before: str, target: str) -> None:
        """Remember the versions that were ordered before the present one."""
        replaced = self._replaced.setdefault(name, {})
        replaced[before] = None
        replaced.pop(target, None)
        while len(replaced) > MOST_REPLACED:
            replaced.pop(next(iter(replaced)))


def _stored(found: store_data.Stored) -> StoredOrder:
    return StoredOrder(found.revision, found.spec, found.status)
