"""The composition root of the role `router`.

It stands beside `scripts.compose` so that a process of this role imports
nothing of the others, whose modules would add to its memory and its start.
"""

import socket

from beryllug.core import retry_window, settings_data
from beryllug.core.canary import canary_data
from beryllug.drivers import (
    fleet_key,
    http_client,
    rpc,
    rpc_endpoint,
    rpc_peers,
)
from beryllug.kernel import log_lines, ops, registry
from beryllug.platform import store
from beryllug.router import (
    attempt_log,
    crash_watch,
    directory,
    dispatch,
    eligible,
    flow_parts,
    front,
    judge,
    knowledge,
    order_list,
    peering,
    plain_flow,
    pool,
    server_limits,
    server_list,
    sharing,
    statements,
    store_returns,
    stream_flow,
    trials,
    unread_names,
    zone_list,
)

# Seconds for a call of the store. It answers in a few milliseconds.
STORE_S = 1.0
# Seconds for a connection to a backend server. A round trip between zones
# takes 3 ms; a packet that was lost is sent again after a second, by when
# another server has answered.
CONNECT_S = 0.3
MS = 1000
# Part of the time in which a server that leaves gets no new work that may
# pass before this process acts on it.
DOUBT_PART = 0.75


def compose(
    settings: settings_data.Settings,
    cfg: settings_data.Router,
    lines: log_lines.LineWriter,
    listener: socket.socket | None = None,
) -> registry.Registry:
    """Return the services of a process of this role, not started.

    Args:
        settings: Settings of the process.
        cfg: The section of this role.
        lines: Takes log lines.
        listener: Listens for callers already, or None.
    """
    services = registry.Registry()
    api = store.Store(http_client.HttpClient(), cfg.store, STORE_S)
    doubt_s = cfg.drain_ms / MS * DOUBT_PART
    listed = server_list.ServerList(doubt_s, lines)
    orders = order_list.OrderList(lines)
    zones = zone_list.ZoneList(lines)
    known = directory.Directory(api, listed, orders, zones, lines)
    returns = store_returns.StoreReturns(api.eras, lines)
    returns.on_returned = known.renew
    zone = settings.process.zone
    place = eligible.Place(
        settings.process.name, zone, settings_data.region_by_zone(cfg)
    )
    limits = server_limits.ServerLimits(settings.process.name, lines)
    open_servers = eligible.Eligible(listed, zones, place, limits)
    known.on_table(open_servers.take_table)
    bound = retry_window.Bound(
        cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
    )
    servers = pool.Pool(open_servers, zone, bound)
    canaries = trials.Trials(
        servers,
        canary_data.Bounds(cfg.trial_share, cfg.trial_slack, cfg.session_s),
        lines,
    )
    orders.on_order(canaries.take_order)
    told = attempt_log.AttemptLog(lines, known)
    to_servers = http_client.HttpClient(CONNECT_S)
    sender = dispatch.Dispatcher(to_servers)
    unread = unread_names.UnreadNames(lines)
    api.on_unread = unread.take
    stated = statements.Statements(
        settings.process.name, listed, open_servers, lines
    )
    sender.listeners = (unread.heard, stated.heard)
    crashes = crash_watch.CrashWatch(lines)
    listed.on_lost = crashes.lost
    listed.on_restarted = lambda before: to_servers.forget(before.address)
    parts = flow_parts.FlowParts(servers, sender, canaries, told, crashes)
    flows = front.Flows(
        plain_flow.PlainFlow(parts), stream_flow.StreamFlow(parts), crashes
    )
    edge = front.Front(cfg, known, flows, told, listener)
    keys = fleet_key.KeyRing(settings.fleet.keys)
    calls = rpc_peers.Peers(keys)
    shared = knowledge.Knowledge(known)
    peers = peering.Peering(
        settings.process, cfg, calls, shared, canaries, lines
    )
    rpc_server = rpc.RpcServer(keys)
    peers.serve(rpc_server)
    decided = sharing.Decided(servers, canaries, crashes, stated)
    spread = sharing.Sharing(cfg, zone, peers, known, decided, keys)
    operators_api = ops.Operators(
        settings.operators,
        services,
        lambda: services.started and edge.is_ready(),
        {},
        are_metrics_open=True,
    )
    in_order: dict[str, registry.Service] = {
        'operators': operators_api,
        'requests': told,
        'directory': known,
        'store_returns': returns,
        'calls': calls,
        'rpc': rpc_endpoint.RpcEndpoint(rpc_server, cfg.peer_listen),
        'peering': peers,
        'sharing': spread,
        'judge': judge.Judge(canaries, peers, spread, api, lines),
        'eligible': open_servers,
        'server_limits': limits,
        'statements': stated,
        'unread_names': unread,
        'pool': servers,
        'trials': canaries,
        'crash_watch': crashes,
        'front': edge,
    }
    for service_name, service in in_order.items():
        services.register(service_name, service)
    return services
