"""The composition root of the role `router`.

It is separate from `scripts.compose` so that a process of this role does not
import the modules of other roles, which would add to its memory use and start
time.
"""

import socket
import time

from beryllug.core import retry_window, settings_data
from beryllug.core.canary import canary_data
from beryllug.core.placement import service_rates
from beryllug.drivers import (
    answer_timeouts,
    fleet_key,
    http_client,
    http_data,
    relay_server,
    rpc,
    rpc_endpoint,
    rpc_peers,
)
from beryllug.kernel import log_lines, ops, registry, ticks
from beryllug.platform import store
from beryllug.router import (
    accusation_documents,
    accusation_list,
    accusation_writes,
    account_demand,
    attempt_log,
    copy_sources,
    crash_watch,
    cut_links,
    directory,
    dispatch,
    eligible,
    flow_parts,
    caller_server,
    judge,
    store_exchange,
    order_list,
    peering,
    plain_flow,
    pool,
    prefix_copies,
    relay_access,
    relay_peers,
    server_checks,
    server_limits,
    server_list,
    server_paths,
    sharing,
    statements,
    store_returns,
    store_watch,
    stream_flow,
    suspect_trials,
    trials,
    unread_names,
    waiting_requests,
    zone_list,
)
from beryllug.scripts import live_settings

# Timeout of a call to the store, which responds in a few milliseconds.
STORE_TIMEOUT_S = 1.0
MS_PER_S = 1000
# Fraction of the drain time of a leaving server, in which it gets no new work,
# that may pass before this process acts on it.
DOUBT_FRACTION = 0.75


def compose(
    settings: settings_data.Settings,
    cfg: settings_data.Router,
    lines: log_lines.LineWriter,
    listener: socket.socket | None = None,
    live: live_settings.LiveSettings | None = None,
) -> registry.Registry:
    """Return the services of a process of this role, not started.

    Args:
        settings: Settings of the process.
        cfg: The section of this role.
        lines: Writer of log lines.
        listener: Socket that already listens for callers, or None.
        live: Applies changes of the settings; None if there are none.
    """
    services = registry.Registry()
    ticker = ticks.Ticks()
    ticker.on_stall = lambda seconds: lines.write(
        'process_stalled', for_s=round(seconds, 3)
    )
    timeouts = answer_timeouts.AnswerTimeouts(ticker.stalled_s)
    answer_limits = http_data.AnswerLimits(cfg.answer_bytes, cfg.answers_bytes)
    store_client = http_client.HttpClient(
        timeouts=timeouts, limits=answer_limits
    )
    store_api = store.Store(store_client, cfg.store, STORE_TIMEOUT_S)
    doubt_s = cfg.drain_ms / MS_PER_S * DOUBT_FRACTION
    backend_list = server_list.ServerList(doubt_s, lines)
    orders = order_list.OrderList(lines)
    zones = zone_list.ZoneList(lines)
    store_directory = directory.Directory(
        store_api, backend_list, orders, zones, lines
    )
    return_detector = store_returns.StoreReturns(store_api.eras, lines)
    return_detector.on_returned = store_directory.relist
    zone = settings.process.zone
    place = eligible.ProcessLocation(
        settings.process.name, zone, settings_data.region_by_zone(cfg)
    )
    backend_limits = server_limits.ServerLimits(settings.process.name, lines)
    eligible_servers = eligible.EligibleServers(
        backend_list, zones, place, backend_limits
    )
    store_directory.on_table(eligible_servers.take_table)
    retry_bound = retry_window.Bound(
        cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
    )
    servers = pool.Pool(eligible_servers, zone, retry_bound, cfg.server_speeds)
    canaries = trials.Trials(
        servers,
        canary_data.Bounds(cfg.trial_share, cfg.trial_slack, cfg.session_s),
        lines,
    )
    store_directory.on_table(servers.capacity.take_table)
    orders.on_order(canaries.apply_order)
    request_log = attempt_log.AttemptLog(
        lines, store_directory, timeouts.stalled_s
    )
    paths = server_paths.ServerPaths(lines, timeouts)
    backend_client = http_client.HttpClient(
        server_paths.OPEN_TIMEOUT_S, timeouts, paths.open, answer_limits
    )
    sender = dispatch.Dispatcher(backend_client, timeouts)
    unread_log = unread_names.UnreadNames(lines)
    store_api.on_unread = unread_log.take
    server_statements = statements.Statements(
        settings.process.name, backend_list, eligible_servers, lines
    )
    sender.listeners = (unread_log.heard, server_statements.apply_answer)
    suspects = suspect_trials.SuspectTrials(lines)
    crashes = crash_watch.CrashWatch(
        suspects,
        server_checks.ServerChecks(sender),
        backend_list.leaving,
        lines,
    )
    backend_list.on_lost = crashes.record_lost_server
    accused = accusation_list.AccusationList(crashes, lines)
    accused.on_known = store_directory.readiness.update
    store_directory.follow(
        accusation_documents.KIND,
        store_watch.Follower(
            accused.listed, accused.changed, directory.ignore_store_state
        ),
        lambda: accused.is_known,
    )
    accusations = accusation_writes.AccusationWrites(store_api, accused, lines)
    crashes.on_accused = accusations.store
    suspects.on_cleared = accusations.remove
    paths.listed = lambda: server_list.addresses(backend_list, time.monotonic())
    paths.verdicts.on_cut = cut_links.CutLinks(
        backend_list, backend_client, servers
    ).handle
    servers.is_cut = paths.is_cut
    if cfg.prefix_transfer is settings_data.Switch.ON:
        servers.copies.deployment = prefix_copies.Deployment(
            copy_sources.CopySources(backend_list, zones, place.regions).find,
            paths.is_cut,
            lines,
        )
        store_directory.on_table(servers.copies.take_table)
    eligible_servers.running = servers.running
    backend_list.on_restarted = lambda old_server: backend_client.close_idle(
        old_server.address
    )
    rates = service_rates.Rates(others=servers.peer_loads)
    waiting = waiting_requests.WaitingRequests(cfg, rates, lines)
    waiting.connect(servers)
    parts = flow_parts.FlowParts(
        servers,
        sender,
        canaries,
        request_log,
        crashes,
        timeouts,
        cfg.event_bytes,
        cfg.answer_value,
        waiting if cfg.queue_requests else None,
    )
    flows = caller_server.Flows(
        plain_flow.PlainFlow(parts), stream_flow.StreamFlow(parts), suspects
    )
    frontend = caller_server.CallerServer(
        cfg, store_directory, flows, request_log, listener
    )
    frontend.drain_waiting = waiting.drain
    keys = fleet_key.KeyRing(settings.fleet.keys)
    calls = rpc_peers.Peers(keys)
    shared_knowledge = store_exchange.StoreExchange(store_directory)
    peers = peering.Peering(
        settings.process, cfg, calls, shared_knowledge, canaries, lines
    )
    peers.timeouts = timeouts
    peers.has_accusations = lambda: accused.is_known
    peers.on_accusations = accused.set_known
    paths.relays = relay_peers.RelayPeers(peers.members, zone, keys, timeouts)
    relays = relay_server.RelayServer(
        cfg.notes_listen,
        keys,
        relay_access.RelayAccess(paths, frontend.is_ready),
    )
    frontend.relayed_in_flight = lambda: relays.in_flight
    rpc_server = rpc.RpcServer(keys)
    peers.serve(rpc_server)
    local_decisions = sharing.RequestServices(
        servers, canaries, crashes, server_statements
    )
    state_sharing = sharing.Sharing(
        cfg, zone, peers, store_directory, local_decisions, keys
    )
    operators_api = ops.Operators(
        settings.operators,
        services,
        lambda: services.started and frontend.is_ready(),
        {},
        are_metrics_open=True,
    )
    in_order: dict[str, registry.Service] = {
        'ticks': ticker,
        'operators': operators_api,
        'requests': request_log,
        'directory': store_directory,
        'store_returns': return_detector,
        'calls': calls,
        'rpc': rpc_endpoint.RpcEndpoint(rpc_server, cfg.peer_listen),
        'peering': peers,
        'sharing': state_sharing,
        'relay': relays,
        'judge': judge.Judge(canaries, peers, state_sharing, store_api, lines),
        'eligible': eligible_servers,
        'server_paths': paths,
        'server_limits': backend_limits,
        'statements': server_statements,
        'unread_names': unread_log,
        'pool': servers,
        'server_capacity': servers.capacity,
        'waiting_requests': waiting,
        'prefix_copies': servers.copies,
        'trials': canaries,
        'crash_watch': crashes,
        'accusations': accusations,
        'front': frontend,
    }
    if cfg.account_shares is settings_data.Switch.ON:
        demand = account_demand.AccountDemand(
            settings.process.name, servers, lines
        )
        demand.connect(frontend, store_directory)
        waiting.is_within_share = demand.is_within_share
        in_order['account_demand'] = demand
    if live is not None:
        live.appliers = {
            'router.store': lambda new: _move_store(store_api, new),
            'fleet.keys': lambda new: keys.replace(new.fleet.keys),
            'operators.keys': lambda new: operators_api.replace_keys(
                new.operators.keys
            ),
        }
        in_order['settings'] = live
    for service_name, service in in_order.items():
        services.register(service_name, service)
    return services


def _move_store(
    store_api: store.Store, settings: settings_data.Settings
) -> None:
    if settings.router is not None:
        store_api.server.move(settings.router.store)
