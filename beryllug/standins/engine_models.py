"""Loaded versions of the engine stand-in and the orders that change them."""

import asyncio
from typing import Any, NamedTuple, TypedDict

from beryllug.core import config_data
from beryllug.drivers import engine_data


class OrderRecord(NamedTuple):
    """A received order and whether it was executed."""

    order_id: str
    kind: str
    model: str
    version: str
    fencing: int
    accepted: bool


class OrderDocument(TypedDict):
    """The JSON form of an order."""

    order_id: str
    kind: engine_data.OrderKind
    model: str
    version: str
    fencing: int
    adapter: str
    role: str


class Models:
    """Loaded versions, adapters and role of one engine."""

    def __init__(self, loaded: tuple[str, ...], load_s: float) -> None:
        """Load ``model@version`` names; an empty tuple accepts any version."""
        self.orders: list[OrderRecord] = []
        self.fencing = 0
        self.role = 'mixed'
        self.accepts_any_version = not loaded
        self.adapters: set[tuple[str, str]] = set()
        self._load_s = load_s
        self._initially_loaded = tuple(_parse_ref(name) for name in loaded)
        self._loaded = set(self._initially_loaded)
        self._load_tasks: set[asyncio.Task[None]] = set()

    @property
    def loaded(self) -> tuple[config_data.VersionRef, ...]:
        """The loaded versions, sorted."""
        return tuple(sorted(self._loaded))

    def has(self, model: str, version: str) -> bool:
        """Return whether a version can run."""
        ref = config_data.VersionRef(model, version)
        return self.accepts_any_version or ref in self._loaded

    def apply_order(
        self, order: OrderDocument, *, checks_fencing: bool
    ) -> bool:
        """Execute an order unless its fencing token is outdated."""
        accepted = order['fencing'] >= self.fencing or not checks_fencing
        self.orders.append(_record(order, accepted))
        self.fencing = max(self.fencing, order['fencing'])
        if accepted:
            self._execute(order)
        return accepted

    def reset(self) -> None:
        """Reset to the versions and role of a fresh start."""
        for task in self._load_tasks:
            task.cancel()
        self._loaded = set(self._initially_loaded)
        self.adapters.clear()
        self.role = 'mixed'

    def snapshot(self) -> dict[str, Any]:
        """Return the state as JSON-compatible data."""
        return {
            'loaded': [ref._asdict() for ref in self.loaded],
            'role': self.role,
            'fencing': self.fencing,
        }

    def _execute(self, order: OrderDocument) -> None:
        ref = config_data.VersionRef(order['model'], order['version'])
        match order['kind']:
            case engine_data.OrderKind.LOAD:
                task = asyncio.create_task(self._load(ref, order['adapter']))
                self._load_tasks.add(task)
                task.add_done_callback(self._load_tasks.discard)
            case engine_data.OrderKind.UNLOAD:
                self._loaded.discard(ref)
            case engine_data.OrderKind.ROLE:
                self.role = order['role']

    async def _load(self, ref: config_data.VersionRef, adapter: str) -> None:
        await asyncio.sleep(self._load_s)
        self._loaded.add(ref)
        if adapter:
            self.adapters.add((f'{ref.model}@{ref.version}', adapter))


def _parse_ref(name: str) -> config_data.VersionRef:
    model, _, version = name.partition('@')
    return config_data.VersionRef(model, version)


def _record(order: OrderDocument, accepted: bool) -> OrderRecord:
    return OrderRecord(
        order['order_id'],
        order['kind'],
        order['model'],
        order['version'],
        order['fencing'],
        accepted,
    )
