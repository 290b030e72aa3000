"""The roll-out orders that this process knows, as they stand in the store."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from beryllug.core import stamps
from beryllug.core.canary import canary_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import refusals

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
        self._replaced: dict[str, set[str]] = {}

    def on_order(self, listener: Listener) -> None:
        """Tell of each order and each change of its status."""
        self._listeners.append(listener)

    def revision(self) -> int:
        """Return the revision of the newest change."""
        return max((each.revision for each in self.orders.values()), default=0)

    def take(self, name: str, stored: StoredOrder, now: float) -> None:
        """Take an order or its status, if it is newer than what is known."""
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
        spec = documents.order_spec(order)
        status = documents.order_status(order.target, phase)
        if known is not None and known.spec != spec:
            self._replaced.setdefault(name, set()).add(known.spec['target'])
        self.orders[name] = StoredOrder(stored.revision, spec, status)
        for listener in self._listeners:
            listener(order, phase, now)

    def listed(self, listed: store.Listing, now: float) -> None:
        """Take a whole list of the store.

        Returned from a copy, the store may have an order that was replaced.
        """
        for each in listed.found:
            if not self._is_replaced(each):
                self._take(each, now)

    def changed(self, changes: store.Changes, now: float) -> None:
        """Take changes that the store reports."""
        for change in changes.changes:
            if not change.is_gone:
                self._take(change.stored, now)

    def _take(self, found: store.Stored, now: float) -> None:
        order = StoredOrder(found.revision, found.spec, found.status)
        self.take(found.name, order, now)

    def _is_replaced(self, found: store.Stored) -> bool:
        known = self.orders.get(found.name)
        if known is None or not stamps.is_return(
            found.revision, known.revision
        ):
            return False
        target = found.spec.get('target') if found.spec else None
        return target in self._replaced.get(found.name, ())
