"""The composition root: wires the services of a process.

Only this module depends on every service. Services are registered in the order
in which they start; they stop in the reverse order.
"""

import os
import time
from typing import NamedTuple


from beryllug.control import (
    answers as control_answers,
    config,
    journal,
    leases,
    membership,
    operators,
    orders,
    probing,
    rollouts,
    servers,
    shards,
    suspects,
    suspects_broadcast,
    suspects_store,
)
from beryllug.core import cascade_data, lease_data, rpc_data, settings_data
from beryllug.drivers import (
    answer_timeouts,
    rpc_peers,
    engine,
    fleet_key,
    host_list,
    http_client,
    http_data,
    object_api,
    plain_service,
    rating,
    rpc,
    rpc_endpoint,
    weight_store,
)
from beryllug.entry import (
    admission,
    answers,
    attempts,
    bills,
    callers,
    chat,
    control_calls,
    control_link,
    crashes,
    exposure,
    fetches,
    outbox,
    flow_dependencies,
    plain,
    ratings,
    routing,
    sessions,
)
from beryllug.kernel import ops, registry, ticks

PLATFORM_TIMEOUT_S = 2.0
ENGINE_TIMEOUT_S = 2.0
HOST_LIST_TIMEOUT_S = 2.0
BOOT_ID_BYTES = 6


class Composed(NamedTuple):
    """The services of a process, and its replaceable keys."""

    services: registry.Registry
    fleet_keys: fleet_key.KeyRing

    def replace_keys(self, cfg: settings_data.Settings) -> None:
        """Replace the keys by those of reloaded settings."""
        self.fleet_keys.replace(cfg.fleet.keys)
        operators_api = self.services.find('operators', ops.Operators)
        operators_api.replace_keys(cfg.operators.keys)


def compose(cfg: settings_data.Settings) -> Composed:
    """Return the services of a process, not started."""
    services = registry.Registry()
    keys = fleet_key.KeyRing(cfg.fleet.keys)
    if cfg.entry is not None:
        _add_entry(services, cfg, cfg.entry, keys)
    if cfg.control is not None:
        _add_control(services, cfg, cfg.control, keys)
    return Composed(services, keys)


def _add_entry(
    services: registry.Registry,
    settings: settings_data.Settings,
    cfg: settings_data.Entry,
    keys: fleet_key.KeyRing,
) -> None:
    name = settings.process.name
    # Includes an id of this start of the process, since requests opened by an
    # earlier start are no longer running.
    instance_id = f'{name}/{_boot_id()}'
    ticker = ticks.Ticks()
    timeouts = answer_timeouts.AnswerTimeouts(ticker.stalled_s)
    client = http_client.HttpClient(
        timeouts=timeouts,
        limits=http_data.AnswerLimits(cfg.answer_bytes, cfg.answers_bytes),
    )
    calls = control_calls.ControlCalls(cfg.controls, keys)
    view_request = rpc_data.ViewRequest(instance_id, settings.process.zone)
    link = control_link.ControlLink(view_request, cfg, calls)
    row_sink = outbox.Outbox(calls)
    routes = routing.Routing(name, settings.process.zone, link)
    crash_reports = crashes.Crashes(name, calls, link, client, ticker)
    rater = rating.HttpRater(client, cfg.rating) if cfg.rating else None
    rating_service = ratings.Ratings(rater)
    flow_parts = flow_dependencies.FlowDependencies(
        link=link,
        routing=routes,
        admission=admission.Admission(len(cfg.controls), link, routes),
        attempts=attempts.Attempts(routes, crash_reports),
        bills=bills.Bills(instance_id, row_sink),
        outbox=row_sink,
        answers=answers.Answers(calls),
        sessions=sessions.Sessions(instance_id, link, row_sink),
        crashes=crash_reports,
        exposure=exposure.Exposure(instance_id, calls, link, rating_service),
        ratings=rating_service,
        cascades=cascade_data.CascadeState(),
        engine=engine.HttpEngine(client, ENGINE_TIMEOUT_S),
        plain=plain_service.HttpPlainService(client),
    )
    flows = callers.Flows(
        chat.ChatFlow(flow_parts),
        plain.PlainFlow(flow_parts),
        fetches.FetchFlow(flow_parts),
    )
    caller_api = callers.Callers(cfg, link, flows)
    # Starts first and stops last, so that a draining process still responds to
    # the load balancer and serves its state.
    operators_api = ops.Operators(
        settings.operators,
        services,
        lambda: services.started and caller_api.is_ready(time.monotonic()),
        {},
    )
    services.register('operators', operators_api)
    services.register('ticks', ticker)
    services.register('control_link', link)
    services.register('outbox', row_sink)
    services.register('answers', flow_parts.answers)
    services.register('ratings', rating_service)
    services.register('exposure', flow_parts.exposure)
    services.register('routing', routes)
    services.register('admission', flow_parts.admission)
    services.register('bills', flow_parts.bills)
    services.register('sessions', flow_parts.sessions)
    services.register('crashes', crash_reports)
    services.register('callers', caller_api)


def _add_control(
    services: registry.Registry,
    settings: settings_data.Settings,
    cfg: settings_data.Control,
    keys: fleet_key.KeyRing,
) -> None:
    process = settings.process
    client = http_client.HttpClient(
        limits=http_data.AnswerLimits(cfg.answer_bytes, cfg.answers_bytes)
    )
    api = object_api.HttpObjectApi(client, cfg.platform, PLATFORM_TIMEOUT_S)
    engines = engine.HttpEngine(client, ENGINE_TIMEOUT_S)
    host_source = host_list.HttpHostList(
        client, cfg.host_list, HOST_LIST_TIMEOUT_S
    )
    calls = rpc_peers.Peers(keys)
    peer_join = probing.MembershipSettings(
        process.zone, cfg.peers, cfg.heartbeat_s, calls
    )
    members = membership.Membership(process.name, cfg.listen, peer_join)
    boot = _boot_id()
    owner = lease_data.Owner(process.name, boot, cfg.listen)
    shard_leases = leases.Leases(api, owner, cfg.lease_s, members, calls)
    row_journal = journal.Journal(
        shards.JournalServices(api, shard_leases, calls), cfg, boot
    )
    config_view = config.Config(process, cfg, api, calls, members)
    stored_answers = control_answers.Answers(api, shard_leases, cfg.retention_s)
    rollout_service = rollouts.Rollouts(
        cfg.listen, api, shard_leases, calls, members, config_view
    )
    suspect_service = suspects.Suspects(
        process.name,
        config_view,
        suspects_broadcast.SuspectsBroadcaster(
            process.name, config_view.others, members, calls
        ),
        suspects_store.SuspectsStore(api),
    )
    server = rpc.RpcServer(keys)
    for rpc_service in (
        members,
        shard_leases,
        row_journal,
        config_view,
        stored_answers,
        rollout_service,
        suspect_service,
    ):
        rpc_service.serve(server)
    operators_api = ops.Operators(
        settings.operators,
        services,
        lambda: (
            services.started
            and config_view.revision > 0
            and config_view.accepts()
        ),
        operators.control_routes(config_view, calls, server, row_journal),
    )
    services.register('operators', operators_api)
    services.register('peers', calls)
    services.register('membership', members)
    # Peers and entries must reach this process during the handover of its
    # shards: when the address was closed first, holds were refused meanwhile.
    services.register('rpc', rpc_endpoint.RpcEndpoint(server, cfg.listen))
    services.register('leases', shard_leases)
    services.register('journal', row_journal)
    services.register('config', config_view)
    services.register('answers', stored_answers)
    services.register('rollouts', rollout_service)
    services.register('suspects', suspect_service)
    services.register(
        'servers', servers.BackendServers(host_source, engines, config_view)
    )
    weights = None
    if cfg.weight_store:
        weights = weight_store.HttpWeightStore(
            client, cfg.weight_store, ENGINE_TIMEOUT_S
        )
    services.register(
        'orders',
        orders.Orders(cfg, config_view, shard_leases, engines, weights),
    )


def _boot_id() -> str:
    """Return a random id of this start of the process."""
    return os.urandom(BOOT_ID_BYTES).hex()
