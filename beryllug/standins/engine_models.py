"""What the engine stand-in has loaded, and the orders that change it."""

import asyncio
from typing import Any, NamedTuple, TypedDict

from beryllug.core import config_data
from beryllug.drivers import engine_data


class OrderRecord(NamedTuple):
    """An order that was received and whether it was carried out."""

    order_id: str
    kind: str
    model: str
    version: str
    fencing: int
    accepted: bool


class OrderDocument(TypedDict):
    """An order as it comes over the wire."""

    order_id: str
    kind: engine_data.OrderKind
    model: str
    version: str
    fencing: int
    adapter: str
    role: str


class Models:
    """The loaded versions, adapters and the role of one engine."""

    def __init__(self, loaded: tuple[str, ...], load_s: float) -> None:
        """Begin with ``model@version`` names; none means that any runs."""
        self.orders: list[OrderRecord] = []
        self.fencing = 0
        self.role = 'mixed'
        self.runs_any = not loaded
        self.adapters: set[tuple[str, str]] = set()
        self._load_s = load_s
        self._first = tuple(_parse_ref(name) for name in loaded)
        self._loaded = set(self._first)
        self._loads: set[asyncio.Task[None]] = set()

    @property
    def loaded(self) -> tuple[config_data.VersionRef, ...]:
        """The loaded versions, sorted."""
        return tuple(sorted(self._loaded))

    def has(self, model: str, version: str) -> bool:
        """Tell whether a version can run."""
        ref = config_data.VersionRef(model, version)
        return self.runs_any or ref in self._loaded

    def obey(self, order: OrderDocument, *, checks_fencing: bool) -> bool:
        """Carry an order out, unless its fencing token is old."""
        accepted = order['fencing'] >= self.fencing or not checks_fencing
        self.orders.append(_record(order, accepted))
        self.fencing = max(self.fencing, order['fencing'])
        if accepted:
            self._carry_out(order)
        return accepted

    def restart(self) -> None:
        """Fall back to what is loaded after a start."""
        for task in self._loads:
            task.cancel()
        self._loaded = set(self._first)
        self.adapters.clear()
        self.role = 'mixed'

    def shown(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'loaded': [ref._asdict() for ref in self.loaded],
            'role': self.role,
            'fencing': self.fencing,
        }

    def _carry_out(self, order: OrderDocument) -> None:
        ref = config_data.VersionRef(order['model'], order['version'])
        match order['kind']:
            case engine_data.OrderKind.LOAD:
                task = asyncio.create_task(self._load(ref, order['adapter']))
                self._loads.add(task)
                task.add_done_callback(self._loads.discard)
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
