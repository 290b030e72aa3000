"""Processor time of single decisions and messages at sizes of the future.

The functions run in this process, on tables of those sizes.
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
MANY = (100, 1000, 10000)
SHARDS = 48
LEASES = tuple(f'journal/{shard}' for shard in range(SHARDS))
REPEATS = 5
LEAST_S = 0.02
MS = 1000
PORT = 8000
A_PROCESS = 'a process'
A_RUNNER = 'a runner'
AN_ACCOUNT = 'an account'

Work = Callable[[], Any]


class Decision(NamedTuple):
    """A piece of work: what it is, its sizes, and how it is prepared."""

    title: str
    per: str
    sizes: tuple[int, ...]
    prepare: Callable[[int], Work]


async def run(shown: ledger.Ledger) -> None:
    """Measure each."""
    shown.section('processor time of decisions and messages')
    for title, per, sizes, prepare in DECISIONS:
        points = [fit.Point(size, _times(prepare(size))) for size in sizes]
        shown.sweep(title, 'ms', per, points)
    shown.section('bytes of messages')
    for title, per, sizes, make in MESSAGES:
        points = [
            fit.Point(size, (len(wire.encode(make(size))),)) for size in sizes
        ]
        shown.sweep(title, 'B', per, points)


def _times(work: Work) -> tuple[float, ...]:
    work()
    return tuple(_took_ms(work) for _ in range(REPEATS))


def _took_ms(work: Work) -> float:
    """Return the processor time of a piece of work, done often enough."""
    count = 0
    began = time.process_time()
    spent_s = 0.0
    while spent_s < LEAST_S:
        work()
        count += 1
        spent_s = time.process_time() - began
    return spent_s / count * MS


def _news(size: int) -> Work:
    table = member_tables.table_of(member_tables.members(size))
    table.sends.clear()
    return lambda: membership.take_news(table, member_tables.name_of(1))


def _whole_table(size: int) -> Work:
    known = member_tables.members(size)
    return lambda: member_tables.table_of(known)


def _return(size: int) -> Work:
    """A member is believed dead and comes back: the ring is built twice."""
    table = member_tables.table_of(member_tables.members(size))
    name = member_tables.name_of(1)

    def work() -> None:  # noqa: WPS430
        member = table.known[name].member
        dead = member._replace(status=member_data.Status.DEAD)
        membership.merge(table, dead, 0)
        back = member._replace(incarnation=member.incarnation + 1)
        membership.merge(table, back, 0)

    return work


def _order(size: int) -> Work:
    names = [member_tables.name_of(number) for number in range(size)]
    return lambda: rendezvous.order('config watchers', names)


def _look(size: int) -> Work:
    names = [member_tables.name_of(number) for number in range(size)]
    spread = lease_spread.Spread()
    return lambda: lease_spread.update(spread, LEASES, names)


def _look_anew(size: int) -> Work:
    """One member leaves and comes back."""
    names = [member_tables.name_of(number) for number in range(size)]
    spread = lease_spread.Spread()

    def work() -> None:  # noqa: WPS430
        lease_spread.update(spread, LEASES, names[:-1])
        lease_spread.update(spread, LEASES, names)

    return work


def _take_loads(size: int) -> Work:
    """An entry that holds the view takes an update with all loads."""
    held = rpc_data.ViewUpdate(
        1,
        document=documents.document(),
        servers=documents.servers(size, PORT),
    )
    known = view_merge.merge(view_merge.Known(), held)
    raw = wire.encode(rpc_data.ViewUpdate(1, loads=documents.loads(size)))
    decode = wire.decoder(rpc_data.ViewUpdate)
    state = balance_data.BalanceState()

    def work() -> None:  # noqa: WPS430
        after = view_merge.merge(known, decode(raw))
        if after.view != known.view:
            view_index.build(after.view)
        server_load.report(state, after.view.loads, 0)

    return work


def _send_loads(size: int) -> Work:
    update = rpc_data.ViewUpdate(1, loads=documents.loads(size))
    return lambda: wire.encode(update)


def _take_hosts(size: int) -> Work:
    servers = documents.servers(size, PORT)
    body = json.dumps([server._asdict() for server in servers]).encode()
    return lambda: host_list.decode(body)


def _take_change(size: int) -> Work:
    """A control that holds a document takes a change of one account."""
    old = documents.document(accounts=size)
    new = documents.changed(old, 2)
    empty = config_state.Held()
    before = config_state.hold(1, dict(document_parts.split(old)), empty)
    parts = dict(document_parts.split(new))
    return lambda: config_state.hold(2, parts, before)


def _take_document(size: int) -> Work:
    """An entry takes a whole document, as after each change."""
    document = documents.document(accounts=size)
    raw = wire.encode(rpc_data.ViewUpdate(1, document=document))
    decode = wire.decoder(rpc_data.ViewUpdate)

    def work() -> None:  # noqa: WPS430
        known = view_merge.merge(view_merge.Known(), decode(raw))
        view_index.build(known.view)

    return work


def _whole(size: int) -> member_data.Heartbeat:
    table = member_tables.table_of(member_tables.members(size))
    return member_data.Heartbeat(table.own, *membership.everything(table))


def _loads(size: int) -> rpc_data.ViewUpdate:
    return rpc_data.ViewUpdate(1, loads=documents.loads(size))


def _document(size: int) -> rpc_data.ViewUpdate:
    return rpc_data.ViewUpdate(1, document=documents.document(accounts=size))


DECISIONS = (
    Decision(
        'choose news for a heartbeat, none to tell', A_PROCESS, MEMBERS, _news
    ),
    Decision(
        'a new process takes in the whole table',
        A_PROCESS,
        MEMBERS,
        _whole_table,
    ),
    Decision('a member is lost and comes back', A_PROCESS, MEMBERS, _return),
    Decision('order all members by rendezvous', A_PROCESS, MEMBERS, _order),
    Decision(
        f'look who should hold which of {SHARDS} leases',
        A_PROCESS,
        MEMBERS,
        _look,
    ),
    Decision(
        'the same when a member left and came back',
        A_PROCESS,
        MEMBERS,
        _look_anew,
    ),
    Decision('decode the host list', A_RUNNER, MANY, _take_hosts),
    Decision('encode all loads for an entry', A_RUNNER, MANY, _send_loads),
    Decision('an entry takes all loads', A_RUNNER, MANY, _take_loads),
    Decision(
        'a control takes a change of one account',
        AN_ACCOUNT,
        MANY,
        _take_change,
    ),
    Decision('an entry takes the document', AN_ACCOUNT, MANY, _take_document),
)
MESSAGES = (
    ('a heartbeat with the whole table', A_PROCESS, MEMBERS, _whole),
    ('an update with all loads', A_RUNNER, MANY, _loads),
    ('an update with the document', AN_ACCOUNT, MANY, _document),
    ('the state of a roll-out', 'an entry', MEMBERS, reports.state),
)
