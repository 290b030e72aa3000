"""Measures processor time of single decisions and messages by size.

The functions run in this process, on generated tables of each size.
"""

import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from beryllug.bench.slopes import (
    documents,
    fit,
    ledger,
    member_tables,
    reports,
)
from beryllug.core import (
    balance_data,
    config_state,
    document_parts,
    lease_spread,
    member_data,
    membership,
    rendezvous,
    rpc_data,
    server_load,
    view_index,
    view_merge,
)
from beryllug.drivers import host_list, wire

MEMBERS = (8, 80, 890)
COUNTS = (100, 1000, 10000)
SHARDS = 48
LEASES = tuple(f'journal/{shard}' for shard in range(SHARDS))
REPEATS = 5
MIN_MEASURE_S = 0.02
MS = 1000
PORT = 8000
PER_PROCESS = 'a process'
PER_RUNNER = 'a runner'
PER_ACCOUNT = 'an account'

Work = Callable[[], Any]


class Decision(NamedTuple):
    """A unit of work: its title, unit of size, sizes and preparation."""

    title: str
    per: str
    sizes: tuple[int, ...]
    prepare: Callable[[int], Work]


async def run(recorder: ledger.Recorder) -> None:
    """Measure the time of each decision and the size of each message."""
    recorder.section('processor time of decisions and messages')
    for title, per, sizes, prepare in DECISIONS:
        points = [
            fit.Point(size, _cpu_times_ms(prepare(size))) for size in sizes
        ]
        recorder.sweep(title, 'ms', per, points)
    recorder.section('bytes of messages')
    for title, per, sizes, make in MESSAGES:
        points = [
            fit.Point(size, (len(wire.encode(make(size))),)) for size in sizes
        ]
        recorder.sweep(title, 'B', per, points)


def _cpu_times_ms(work: Work) -> tuple[float, ...]:
    work()
    return tuple(_cpu_ms(work) for _ in range(REPEATS))


def _cpu_ms(work: Work) -> float:
    """Return the mean processor time of a call, over enough repeats."""
    count = 0
    began = time.process_time()
    spent_s = 0.0
    while spent_s < MIN_MEASURE_S:
        work()
        count += 1
        spent_s = time.process_time() - began
    return spent_s / count * MS


def _select_news(size: int) -> Work:
    table = member_tables.table_of(member_tables.members(size))
    table.sends.clear()
    return lambda: membership.pop_updates(table, member_tables.name_of(1))


def _learn_table(size: int) -> Work:
    known = member_tables.members(size)
    return lambda: member_tables.table_of(known)


def _fail_and_rejoin(size: int) -> Work:
    """A member is marked dead and rejoins: the ring is built twice."""
    table = member_tables.table_of(member_tables.members(size))
    name = member_tables.name_of(1)

    def work() -> None:  # noqa: WPS430
        member = table.known[name].member
        dead = member._replace(status=member_data.Status.DEAD)
        membership.merge(table, dead, 0)
        rejoined = member._replace(incarnation=member.incarnation + 1)
        membership.merge(table, rejoined, 0)

    return work


def _rank_members(size: int) -> Work:
    names = [member_tables.name_of(number) for number in range(size)]
    return lambda: rendezvous.order('config watchers', names)


def _assign_leases(size: int) -> Work:
    names = [member_tables.name_of(number) for number in range(size)]
    spread = lease_spread.LeasePreferences()
    return lambda: lease_spread.update(spread, LEASES, names)


def _reassign_leases(size: int) -> Work:
    """One member leaves and rejoins."""
    names = [member_tables.name_of(number) for number in range(size)]
    spread = lease_spread.LeasePreferences()

    def work() -> None:  # noqa: WPS430
        lease_spread.update(spread, LEASES, names[:-1])
        lease_spread.update(spread, LEASES, names)

    return work


def _apply_loads(size: int) -> Work:
    """An entry that holds the view applies an update with all loads."""
    full_view = rpc_data.ViewUpdate(
        1,
        document=documents.document(),
        servers=documents.servers(size, PORT),
    )
    known = view_merge.merge(view_merge.EntryState(), full_view)
    raw = wire.encode(rpc_data.ViewUpdate(1, loads=documents.loads(size)))
    decode = wire.decoder(rpc_data.ViewUpdate)
    state = balance_data.BalanceState()

    def work() -> None:  # noqa: WPS430
        after = view_merge.merge(known, decode(raw))
        if after.view != known.view:
            view_index.build(after.view)
        server_load.apply_reports(state, after.view.loads, 0)

    return work


def _encode_loads(size: int) -> Work:
    update = rpc_data.ViewUpdate(1, loads=documents.loads(size))
    return lambda: wire.encode(update)


def _decode_hosts(size: int) -> Work:
    servers = documents.servers(size, PORT)
    body = json.dumps([server._asdict() for server in servers]).encode()
    return lambda: host_list.decode(body)


def _apply_change(size: int) -> Work:
    """A control that holds a document applies a change of one account."""
    old = documents.document(accounts=size)
    new = documents.changed(old, 2)
    empty = config_state.ProcessConfig()
    before = config_state.build_config(
        1, dict(document_parts.split(old)), empty
    )
    parts = dict(document_parts.split(new))
    return lambda: config_state.build_config(2, parts, before)


def _apply_document(size: int) -> Work:
    """An entry applies a whole document, as after each change."""
    document = documents.document(accounts=size)
    raw = wire.encode(rpc_data.ViewUpdate(1, document=document))
    decode = wire.decoder(rpc_data.ViewUpdate)

    def work() -> None:  # noqa: WPS430
        known = view_merge.merge(view_merge.EntryState(), decode(raw))
        view_index.build(known.view)

    return work


def _full_heartbeat(size: int) -> member_data.Heartbeat:
    table = member_tables.table_of(member_tables.members(size))
    return member_data.Heartbeat(table.own, *membership.full_state(table))


def _loads(size: int) -> rpc_data.ViewUpdate:
    return rpc_data.ViewUpdate(1, loads=documents.loads(size))


def _document(size: int) -> rpc_data.ViewUpdate:
    return rpc_data.ViewUpdate(1, document=documents.document(accounts=size))


DECISIONS = (
    Decision(
        'choose news for a heartbeat, none to tell',
        PER_PROCESS,
        MEMBERS,
        _select_news,
    ),
    Decision(
        'a new process takes in the whole table',
        PER_PROCESS,
        MEMBERS,
        _learn_table,
    ),
    Decision(
        'a member is lost and comes back',
        PER_PROCESS,
        MEMBERS,
        _fail_and_rejoin,
    ),
    Decision(
        'order all members by rendezvous', PER_PROCESS, MEMBERS, _rank_members
    ),
    Decision(
        f'look who should hold which of {SHARDS} leases',
        PER_PROCESS,
        MEMBERS,
        _assign_leases,
    ),
    Decision(
        'the same when a member left and came back',
        PER_PROCESS,
        MEMBERS,
        _reassign_leases,
    ),
    Decision('decode the host list', PER_RUNNER, COUNTS, _decode_hosts),
    Decision(
        'encode all loads for an entry', PER_RUNNER, COUNTS, _encode_loads
    ),
    Decision('an entry takes all loads', PER_RUNNER, COUNTS, _apply_loads),
    Decision(
        'a control takes a change of one account',
        PER_ACCOUNT,
        COUNTS,
        _apply_change,
    ),
    Decision(
        'an entry takes the document', PER_ACCOUNT, COUNTS, _apply_document
    ),
)
MESSAGES = (
    ('a heartbeat with the whole table', PER_PROCESS, MEMBERS, _full_heartbeat),
    ('an update with all loads', PER_RUNNER, COUNTS, _loads),
    ('an update with the document', PER_ACCOUNT, COUNTS, _document),
    ('the state of a roll-out', 'an entry', MEMBERS, reports.state),
)
