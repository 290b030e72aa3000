"""The composition root: wires the services of a process.

The one place that knows every service. Services are registered in the order
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
    suspects_spread,
    suspects_store,
)
from beryllug.core import cascade_data, lease_data, rpc_data, settings_data
from beryllug.drivers import (
    rpc_peers,
    engine,
    fleet_key,
    host_list,
    http_client,
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
    parts,
    plain,
    ratings,
    routing,
    sessions,
)
from beryllug.kernel import ops, registry, ticks

PLATFORM_S = 2.0
ENGINE_S = 2.0
HOST_LIST_S = 2.0
BOOT_BYTES = 6


class Composed(NamedTuple):
    """The services of a process, and the keys that may be replaced."""

    services: registry.Registry
    fleet_keys: fleet_key.KeyRing

    def replace_keys(self, cfg: settings_data.Settings) -> None:
        """Take the keys of settings that were read anew."""
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
    # Names this start of the process too: what an earlier start had open is
    # not running any more.
    start = f'{name}/{_boot()}'
    client = http_client.HttpClient()
    calls = control_calls.ControlCalls(cfg.controls, keys)
    ask = rpc_data.ViewAsk(start, settings.process.zone)
    link = control_link.ControlLink(ask, cfg, calls)
    rows = outbox.Outbox(calls)
    routes = routing.Routing(name, settings.process.zone, link)
    ticking = ticks.Ticks()
    crash_reports = crashes.Crashes(name, calls, link, client, ticking)
    rater = rating.HttpRater(client, cfg.rating) if cfg.rating else None
    rated = ratings.Ratings(rater)
    wired = parts.Parts(
        link=link,
        routing=routes,
        admission=admission.Admission(len(cfg.controls), link, routes),
        attempts=attempts.Attempts(routes, crash_reports),
        bills=bills.Bills(start, rows),
        outbox=rows,
        answers=answers.Answers(calls),
        sessions=sessions.Sessions(start, link, rows),
        crashes=crash_reports,
        exposure=exposure.Exposure(start, calls, link, rated),
        ratings=rated,
        cascades=cascade_data.CascadeState(),
        engine=engine.HttpEngine(client, ENGINE_S),
        plain=plain_service.HttpPlainService(client),
    )
    flows = callers.Flows(
        chat.ChatFlow(wired),
        plain.PlainFlow(wired),
        fetches.FetchFlow(wired),
    )
    edge = callers.Callers(cfg, link, flows)
    # It starts first and stops last: a process that drains still answers the
    # balancer and shows its state.
    operators_api = ops.Operators(
        settings.operators,
        services,
        lambda: services.started and edge.is_ready(time.monotonic()),
        {},
    )
    services.register('operators', operators_api)
    services.register('ticks', ticking)
    services.register('control_link', link)
    services.register('outbox', rows)
    services.register('answers', wired.answers)
    services.register('ratings', rated)
    services.register('exposure', wired.exposure)
    services.register('routing', routes)
    services.register('admission', wired.admission)
    services.register('bills', wired.bills)
    services.register('sessions', wired.sessions)
    services.register('crashes', crash_reports)
    services.register('callers', edge)


def _add_control(
    services: registry.Registry,
    settings: settings_data.Settings,
    cfg: settings_data.Control,
    keys: fleet_key.KeyRing,
) -> None:
    process = settings.process
    client = http_client.HttpClient()
    api = object_api.HttpObjectApi(client, cfg.platform, PLATFORM_S)
    engines = engine.HttpEngine(client, ENGINE_S)
    listed = host_list.HttpHostList(client, cfg.host_list, HOST_LIST_S)
    calls = rpc_peers.Peers(keys)
    join = probing.Join(process.zone, cfg.peers, cfg.heartbeat_s, calls)
    members = membership.Membership(process.name, cfg.listen, join)
    boot = _boot()
    owner = lease_data.Owner(process.name, boot, cfg.listen)
    held = leases.Leases(api, owner, cfg.lease_s, members, calls)
    rows = journal.Journal(shards.Parts(api, held, calls), cfg, boot)
    view = config.Config(process, cfg, api, calls, members)
    kept = control_answers.Answers(api, held, cfg.retention_s)
    judging = rollouts.Rollouts(cfg.listen, api, held, calls, members, view)
    suspected = suspects.Suspects(
        process.name,
        view,
        suspects_spread.Spread(process.name, view.others, members, calls),
        suspects_store.SuspectsStore(api),
    )
    server = rpc.RpcServer(keys)
    for serving in (members, held, rows, view, kept, judging, suspected):
        serving.serve(server)
    operators_api = ops.Operators(
        settings.operators,
        services,
        lambda: services.started and view.revision > 0 and view.accepts(),
        operators.for_control(view, calls, server, rows),
    )
    services.register('operators', operators_api)
    services.register('peers', calls)
    services.register('membership', members)
    # Peers and entries must reach this process while it hands its shards
    # over: with the address closed first, holds were refused meanwhile.
    services.register('rpc', rpc_endpoint.RpcEndpoint(server, cfg.listen))
    services.register('leases', held)
    services.register('journal', rows)
    services.register('config', view)
    services.register('answers', kept)
    services.register('rollouts', judging)
    services.register('suspects', suspected)
    services.register('servers', servers.BackendServers(listed, engines, view))
    stored = None
    if cfg.weight_store:
        stored = weight_store.HttpWeightStore(
            client, cfg.weight_store, ENGINE_S
        )
    services.register('orders', orders.Orders(cfg, view, held, engines, stored))


def _boot() -> str:
    """Return a random id of this start of the process."""
    return os.urandom(BOOT_BYTES).hex()
