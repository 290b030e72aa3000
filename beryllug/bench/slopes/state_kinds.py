"""Kinds of state that processes hold in memory, with a builder for each.

A builder prepares its input, mostly the bytes of received messages, and
returns a function that creates the state whose memory is measured.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from beryllug.bench.slopes import (
    documents,
    journal_kinds,
    member_tables,
    reports,
)
from beryllug.core import (
    balance,
    balance_data,
    config_data,
    config_state,
    document_parts,
    member_data,
    rpc_data,
    server_load,
    view_data,
    view_index,
    view_merge,
)
from beryllug.drivers import wire

StateFactory = Callable[[], Any]
SMALL = (100, 400, 1600)
LARGE = (5000, 20000, 80000)
PROCESS_COUNTS = (8, 80, 890)
PORT = 8000
ENTRY = 'entry-0'
ZONE = 'zone-0'


class Kind(NamedTuple):
    """A kind of state: its title, the counts to measure, and its builder."""

    title: str
    sizes: tuple[int, ...]
    build: Callable[[int], StateFactory]


def _config(document: config_data.Document) -> StateFactory:
    return lambda: config_state.build_config(
        1, dict(document_parts.split(document)), config_state.ProcessConfig()
    )


def _view(update: rpc_data.ViewUpdate) -> StateFactory:
    raw = wire.encode(update)
    decode = wire.decoder(rpc_data.ViewUpdate)

    def make() -> Any:  # noqa: WPS430
        known = view_merge.merge(view_merge.EntryState(), decode(raw))
        return known, view_index.build(known.view)

    return make


def _control_servers(count: int) -> StateFactory:
    raw = wire.encode((documents.servers(count, PORT), documents.loads(count)))
    decode = wire.decoder(
        tuple[
            tuple[view_data.BackendServer, ...],
            tuple[view_data.ServerLoad, ...],
        ]
    )
    return lambda: decode(raw)


def _entry_servers(count: int) -> StateFactory:
    update = rpc_data.ViewUpdate(
        1,
        document=documents.document(),
        servers=documents.servers(count, PORT),
        loads=documents.loads(count),
    )
    view = _view(update)

    def make() -> Any:  # noqa: WPS430
        known, index = view()
        state = balance_data.BalanceState()
        server_load.apply_reports(state, known.view.loads, 0)
        fleet = balance.build_fleet(known.view, ENTRY, ZONE)
        return known, index, state, fleet

    return make


def _members(count: int) -> StateFactory:
    raw = wire.encode(member_tables.members(count))
    decode = wire.decoder(tuple[member_data.Member, ...])
    return lambda: member_tables.table_of(decode(raw))


def _rollouts(count: int) -> StateFactory:
    raw = wire.encode(reports.record(count))
    decode = wire.decoder(type(reports.record(1)))
    return lambda: decode(raw)


KINDS = (
    Kind(
        'control: a client account of the document',
        SMALL,
        lambda count: _config(documents.document(accounts=count)),
    ),
    Kind(
        'control: a version of the document',
        SMALL,
        lambda count: _config(documents.document(versions=count)),
    ),
    Kind('control: a backend server and its load', SMALL, _control_servers),
    Kind('control: a control process in the table', PROCESS_COUNTS, _members),
    Kind(
        'control, owner: an open request that may not repeat',
        SMALL,
        journal_kinds.open_requests,
    ),
    Kind(
        'control, owner: a remembered request without a key',
        LARGE,
        journal_kinds.finished_requests,
    ),
    Kind('control, owner: a session record', LARGE, journal_kinds.sessions),
    Kind('control, judge: an entry in a roll-out', PROCESS_COUNTS, _rollouts),
    Kind(
        'entry: a client account of the document',
        SMALL,
        lambda count: _view(
            rpc_data.ViewUpdate(1, documents.document(accounts=count))
        ),
    ),
    Kind(
        'entry: a version of the document',
        SMALL,
        lambda count: _view(
            rpc_data.ViewUpdate(1, documents.document(versions=count))
        ),
    ),
    Kind('entry: a backend server and its load', SMALL, _entry_servers),
)
