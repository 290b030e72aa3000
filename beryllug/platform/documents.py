"""Decoding of documents that operators and backend servers store.

Unknown fields are ignored, as the platform may add some.
"""

from enum import StrEnum
from types import MappingProxyType
from typing import Annotated, Any

import msgspec

from beryllug.core.canary import canary_data
from beryllug.core.placement import servers_data
from beryllug.core.routes import routes_data
from beryllug.drivers import json_decode, tcp_address

MS = 1000
DEFAULT_WEIGHT = 1.0
# Maximum length of an id, name or version.
MAX_TEXT_LENGTH = 256
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
_STATE_BY_PHASE = MappingProxyType(
    {
        canary_data.Phase.TRIAL: 'running',
        canary_data.Phase.FULL: 'running',
        canary_data.Phase.COMPLETE: 'complete',
        canary_data.Phase.ROLLED_BACK: 'rolled_back',
    }
)
_PHASE_BY_STATE = MappingProxyType(
    {
        'complete': canary_data.Phase.COMPLETE,
        'rolled_back': canary_data.Phase.ROLLED_BACK,
    }
)


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: float = DEFAULT_WEIGHT


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    # Total time that a caller waits, not the timeout of one attempt.
    timeout_ms: float
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    priority: int = 0
    sizes: tuple[str, ...] = ()
    service: str = ''
    traffic_split: tuple[_TrafficSplit, ...] = ()
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
    kv_token_bytes: int = 0
    link_mbps: float = 0
    moves: bool = False
    models: tuple[_Model, ...] = ()


class _Service(msgspec.Struct):
    name: str
    # Shared by all callers, not per caller.
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
    address: str
    zone: _Text
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: _ServerState
    # Unix time of its start in ms. Set by servers that may restart under
    # the same id.
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0


class _Order(msgspec.Struct):
    service: _Text
    target: _Text
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class _OrderStatus(msgspec.Struct):
    state: str = ''
    target: str = ''


# Known fields that are not read, since request routing needs none of them.
_IGNORED_FIELDS = frozenset(
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
_KNOWN_FIELDS = _IGNORED_FIELDS.union(
    *(
        struct.__struct_fields__
        for struct in (_Manifest, _Route, _Service, _Engine, _Limits, _Tenant)
    ),
    *(struct.__struct_fields__ for struct in (_Server, _Order)),
)


def unknown_fields(spec: Any) -> frozenset[str]:
    """Return the names of unknown fields."""
    return json_decode.field_names(spec) - _KNOWN_FIELDS


def table(spec: Any) -> routes_data.RouteTable:
    """Return the route table of a stored document.

    Raises:
        ValidationError: The document does not match the schema.
    """
    decoded = msgspec.convert(spec, _Manifest, strict=False)
    longest_first = sorted(
        decoded.routes, key=lambda route: len(route.path_prefix), reverse=True
    )
    by_host: dict[str, list[routes_data.Route]] = {}
    for declared in longest_first:
        host_routes = by_host.setdefault(declared.host.lower(), [])
        host_routes.append(_to_route(declared))
    routes = {host: tuple(host_routes) for host, host_routes in by_host.items()}
    accounts = {
        key: routes_data.Account(
            tenant.name, tenant.priority, frozenset(tenant.allowed_regions)
        )
        for tenant in decoded.tenants or ()
        for key in tenant.api_keys
    }
    return routes_data.RouteTable(
        version=decoded.version,
        routes=routes,
        services={item.name: _to_service(item) for item in decoded.services},
        accounts=accounts,
        needs_keys=decoded.tenants is not None,
        limits=routes_data.CallerLimits(
            header_bytes=decoded.limits.max_header_bytes,
            body_bytes=decoded.limits.max_body_bytes,
            read_s=decoded.limits.header_timeout_ms / MS,
            idle_s=decoded.limits.idle_timeout_ms / MS,
        ),
    )


def server(name: str, spec: Any) -> servers_data.Server:
    """Return a backend server's entry.

    Other writers may store something else there, so no field is guessed: a
    document that does not match the schema in every field is rejected.

    Raises:
        ValueError: The document does not match the schema, or nothing can
            listen at its address.
    """
    decoded = msgspec.convert(spec, _Server)
    tcp_address.check(decoded.address)
    is_leaving = decoded.state is _ServerState.DRAINING
    return servers_data.Server(
        name=name,
        service=decoded.service,
        address=decoded.address,
        zone=decoded.zone,
        version=decoded.version,
        slots=decoded.slots,
        state=servers_data.State.LEAVING
        if is_leaving
        else servers_data.State.READY,
        born=decoded.born,
        cold_s=decoded.cold_remaining_ms / MS,
    )


def server_spec(record: servers_data.Server) -> dict[str, Any]:
    """Return a backend server's entry in stored form, to forward to peers."""
    state = _ServerState.READY
    if record.state is servers_data.State.LEAVING:
        state = _ServerState.DRAINING
    entry = _Server(
        service=record.service,
        address=record.address,
        zone=record.zone,
        version=record.version,
        slots=record.slots,
        state=state,
        born=record.born,
        cold_remaining_ms=record.cold_s * MS,
    )
    return _builtins(entry)


def order_spec(record: canary_data.Order) -> dict[str, Any]:
    """Return a roll-out order in stored form, to forward to peers."""
    return _builtins(_Order(record.service, record.target, record.duration_s))


def order(
    name: str, revision: int, spec: Any, status: Any
) -> tuple[canary_data.Order, canary_data.Phase]:
    """Return a roll-out order and its phase.

    Args:
        name: Name of the stored object, which is that of its service.
        revision: Revision of its last change.
        spec: The order itself.
        status: The status written since, or None.

    Raises:
        ValidationError: The document does not match the schema.
    """
    decoded = msgspec.convert(spec, _Order)
    if decoded.service != name:
        raise msgspec.ValidationError(f'order is for {decoded.service}')
    stored_status = msgspec.convert(status or {}, _OrderStatus)
    phase = canary_data.Phase.TRIAL
    if stored_status.target == decoded.target:
        phase = _PHASE_BY_STATE.get(stored_status.state, phase)
    result = canary_data.Order(
        decoded.service, decoded.target, decoded.duration_s, revision
    )
    return result, phase


def order_status(target: str, phase: canary_data.Phase) -> dict[str, str]:
    """Return the status of an order in stored form."""
    return {'state': _STATE_BY_PHASE[phase], 'target': target}


def _builtins(document: _Server | _Order) -> dict[str, Any]:
    plain: dict[str, Any] = msgspec.to_builtins(document)
    return plain


def _to_route(wire: _Route) -> routes_data.Route:
    targets = tuple(
        routes_data.Target(split.service, split.weight)
        for split in wire.traffic_split
    )
    return routes_data.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=routes_data.RequestKind(wire.kind),
        timeout_s=wire.timeout_ms / MS,
        target_s=wire.target_latency_ms / MS,
        gap_s=wire.target_gap_ms / MS,
        priority=wire.priority,
        models=wire.sizes,
        targets=targets or (routes_data.Target(wire.service, DEFAULT_WEIGHT),),
        max_attempts=max(wire.max_attempts, 1),
        is_anonymous=wire.allow_anonymous,
        is_resumable=wire.resumable,
        regions=frozenset(wire.allowed_regions),
    )


def _to_service(wire: _Service) -> routes_data.Service:
    engine = None
    if wire.engine is not None:
        engine = routes_data.Engine(
            slots=wire.engine.slots,
            kv_tokens=wire.engine.kv_capacity_tokens,
            costs={model.name: model.cost for model in wire.engine.models},
            kv_token_bytes=wire.engine.kv_token_bytes,
            link_mbps=wire.engine.link_mbps,
            may_copy=wire.engine.moves,
        )
    return routes_data.Service(
        wire.name,
        wire.max_connections,
        engine,
        wire.cold_start_s,
        wire.cold_per_s,
    )
