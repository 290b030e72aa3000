"""What operators and backend servers write to the store, as our records.

Unknown fields are passed over: the platform may add some.
"""

from enum import StrEnum
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from beryllug.core.canary import canary_data
from beryllug.core.placement import servers_data
from beryllug.core.routes import routes_data
from beryllug.drivers import json_decode

MS = 1000
WHOLE = 1.0
# Longest id, name or version that is taken for one.
MOST_TEXT = 256
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_TEXT)]
_Address = Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]
_STATES = MappingProxyType(
    {
        canary_data.Phase.TRIAL: 'running',
        canary_data.Phase.FULL: 'running',
        canary_data.Phase.COMPLETE: 'complete',
        canary_data.Phase.ROLLED_BACK: 'rolled_back',
    }
)
_PHASES = MappingProxyType(
    {
        'complete': canary_data.Phase.COMPLETE,
        'rolled_back': canary_data.Phase.ROLLED_BACK,
    }
)


class _Split(msgspec.Struct):
    service: str
    weight: float = WHOLE


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    # Longest time that a caller is kept waiting, not a timeout of one try.
    timeout_ms: float
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    priority: int = 0
    sizes: tuple[str, ...] = ()
    service: str = ''
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    allow_anonymous: bool = False
    resumable: bool = False
    allowed_regions: tuple[str, ...] = ()


class _Model(msgspec.Struct):
    name: str
    cost: float = 0


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    models: tuple[_Model, ...] = ()


class _Service(msgspec.Struct):
    name: str
    # Of all callers together, not of one.
    max_connections: int = 1
    engine: _Engine | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class _Manifest(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _ServerState(StrEnum):
    READY = 'ready'
    DRAINING = 'draining'


class _Server(msgspec.Struct):
    service: _Text
    address: _Address
    zone: _Text
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: _ServerState
    # Unix millisecond of its start. Stated by servers that may start again
    # under their id.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Order(msgspec.Struct):
    service: _Text
    target: _Text
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class _OrderStatus(msgspec.Struct):
    state: str = ''
    target: str = ''


# Fields that are known and not read: who routes requests needs none of them.
_PASSED_OVER = frozenset(
    (
        'adapters',
        'health_path',
        'protocol',
        'sequence',
        'stage',
        'sticky',
        'tls',
    )
)
_FIELDS = _PASSED_OVER.union(
    *(
        struct.__struct_fields__
        for struct in (_Manifest, _Route, _Service, _Engine, _Limits, _Tenant)
    ),
    *(struct.__struct_fields__ for struct in (_Server, _Order)),
)


def unread(spec: Any) -> frozenset[str]:
    """Return names of fields that are not known."""
    return json_decode.field_names(spec) - _FIELDS


def table(spec: Any) -> routes_data.RouteTable:
    """Return the route table of a stored document.

    Raises:
        ValidationError: It has another shape.
    """
    found = msgspec.convert(spec, _Manifest, strict=False)
    longest_first = sorted(
        found.routes, key=lambda route: len(route.path_prefix), reverse=True
    )
    by_host: dict[str, list[routes_data.Route]] = {}
    for declared in longest_first:
        listed = by_host.setdefault(declared.host.lower(), [])
        listed.append(_route(declared))
    routes = {host: tuple(listed) for host, listed in by_host.items()}
    accounts = {
        key: routes_data.Account(
            tenant.name, tenant.priority, frozenset(tenant.allowed_regions)
        )
        for tenant in found.tenants or ()
        for key in tenant.api_keys
    }
    return routes_data.RouteTable(
        version=found.version,
        routes=routes,
        services={item.name: _service(item) for item in found.services},
        accounts=accounts,
        needs_keys=found.tenants is not None,
        limits=routes_data.CallerLimits(
            header_bytes=found.limits.max_header_bytes,
            body_bytes=found.limits.max_body_bytes,
            read_s=found.limits.header_timeout_ms / MS,
            idle_s=found.limits.idle_timeout_ms / MS,
        ),
    )


def server(name: str, spec: Any) -> servers_data.Server:
    """Return a backend server's entry.

    Another writer may have put something else there, so nothing is guessed:
    what is not a server's entry in every field names no server.

    Raises:
        ValidationError: It has another shape.
    """
    found = msgspec.convert(spec, _Server)
    leaving = found.state is _ServerState.DRAINING
    return servers_data.Server(
        name=name,
        service=found.service,
        address=found.address,
        zone=found.zone,
        version=found.version,
        slots=found.slots,
        state=servers_data.State.LEAVING
        if leaving
        else servers_data.State.READY,
        born=found.born,
        cold_s=found.cold_remaining_ms / MS,
    )


def server_spec(found: servers_data.Server) -> dict[str, Any]:
    """Return a backend server's entry, to hand on to peers."""
    state = _ServerState.READY
    if found.state is servers_data.State.LEAVING:
        state = _ServerState.DRAINING
    entry = _Server(
        service=found.service,
        address=found.address,
        zone=found.zone,
        version=found.version,
        slots=found.slots,
        state=state,
        born=found.born,
        cold_remaining_ms=found.cold_s * MS,
    )
    return _builtins(entry)


def order_spec(found: canary_data.Order) -> dict[str, Any]:
    """Return a roll-out order, to hand on to peers."""
    return _builtins(_Order(found.service, found.target, found.duration_s))


def order(
    name: str, revision: int, spec: Any, status: Any
) -> tuple[canary_data.Order, canary_data.Phase]:
    """Return a roll-out order and how far it has come.

    Args:
        name: The name it stands under, which is its service's.
        revision: Revision of its last change.
        spec: What was ordered.
        status: What was written about it since, or None.

    Raises:
        ValidationError: It has another shape.
    """
    found = msgspec.convert(spec, _Order)
    if found.service != name:
        raise msgspec.ValidationError(f'an order for {found.service}')
    told = msgspec.convert(status or {}, _OrderStatus)
    phase = canary_data.Phase.TRIAL
    if told.target == found.target:
        phase = _PHASES.get(told.state, phase)
    made = canary_data.Order(
        found.service, found.target, found.duration_s, revision
    )
    return made, phase


def order_status(target: str, phase: canary_data.Phase) -> dict[str, str]:
    """Return the status of an order as it is stored."""
    return {'state': _STATES[phase], 'target': target}


def _builtins(found: _Server | _Order) -> dict[str, Any]:
    plain: dict[str, Any] = msgspec.to_builtins(found)
    return plain


def _route(found: _Route) -> routes_data.Route:
    targets = tuple(
        routes_data.Target(split.service, split.weight)
        for split in found.traffic_split
    )
    return routes_data.Route(
        name=found.name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        kind=routes_data.RequestKind(found.kind),
        timeout_s=found.timeout_ms / MS,
        target_s=found.target_latency_ms / MS,
        gap_s=found.target_gap_ms / MS,
        priority=found.priority,
        models=found.sizes,
        targets=targets or (routes_data.Target(found.service, WHOLE),),
        max_attempts=max(found.max_attempts, 1),
        is_anonymous=found.allow_anonymous,
        is_resumable=found.resumable,
        regions=frozenset(found.allowed_regions),
    )


def _service(found: _Service) -> routes_data.Service:
    engine = None
    if found.engine is not None:
        engine = routes_data.Engine(
            slots=found.engine.slots,
            kv_tokens=found.engine.kv_capacity_tokens,
            costs={model.name: model.cost for model in found.engine.models},
        )
    return routes_data.Service(
        found.name,
        found.max_connections,
        engine,
        found.cold_start_s,
        found.cold_per_s,
    )
