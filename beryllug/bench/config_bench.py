"""Configuration: how fast a change is in force, and what it costs.

Eight control processes follow a slow platform while documents are applied,
answers of the platform are lost and processes are replaced. Times are shown
without bounds; counts and ratios have them.
"""

import asyncio
import time
from typing import NamedTuple

import msgspec
from hdrh import histogram

from beryllug.bench import config_fleet, recorder, report
from beryllug.control import config_holder, view_push
from beryllug.core import config_data, config_state, document_parts
from beryllug.drivers import rpc_peers


class _Nobody:
    """No other process."""

    def everyone(self) -> tuple[str, ...]:
        """Return nobody."""
        return ()

    def partners(self) -> tuple[str, ...]:
        """Return nobody."""
        return ()

    def children(self) -> tuple[str, ...]:
        """Return nobody."""
        return ()


class Arrangement(NamedTuple):
    """Who watches the platform, and the bounds for it.

    Attributes:
        title: Its name.
        watchers: How many watch; 0 means all.
        most_calls: Most platform calls of all controls a change.
        most_idle: Most platform calls of all controls a second without one.
    """

    title: str
    watchers: int
    most_calls: float
    most_idle: float


NODES = 8
FEW = 2
APPLIES = 60
REPLACE_EVERY = 20
LOSE_EVERY = 10
DELAY_S = 0.02
IDLE_S = 4.0
ACCOUNTS = 2000
US = 1000000
MS = 1000
WRITE_ROOT = 'PUT /v1/objects/beryllug/config/root'
MOST_CALLS_ALL = 20
MOST_CALLS_FEW = 6
MOST_IDLE_ALL = 3
MOST_IDLE_FEW = 0.8
ARRANGEMENTS = (
    Arrangement('all watch', 0, MOST_CALLS_ALL, MOST_IDLE_ALL),
    Arrangement('2 watch', FEW, MOST_CALLS_FEW, MOST_IDLE_FEW),
)
MOST_PART_OF_BYTES = 0.03
MOST_PART_OF_TIME = 0.1
MOST_PUSH_BYTES = 500


def run(figures: report.Report) -> list[str]:
    """Measure; return the broken bounds."""
    for plan in ARRANGEMENTS:
        asyncio.run(_follow(figures, plan))
    _split(figures)
    return figures.broken()


async def _follow(figures: report.Report, plan: Arrangement) -> None:
    """Measure a fleet in which all or some processes watch."""
    figures.section(f'configuration, {NODES} controls, {plan.title}')
    fleet = config_fleet.ConfigFleet(NODES, plan.watchers, DELAY_S)
    await fleet.start()
    try:
        await _changes(figures, fleet, plan)
        await _idle(figures, fleet, plan)
    finally:
        await fleet.stop()


async def _changes(
    figures: report.Report,
    fleet: config_fleet.ConfigFleet,
    plan: Arrangement,
) -> None:
    times = recorder.new_histogram()
    calls = 0
    for number in range(1, APPLIES + 1):
        if number % REPLACE_EVERY == 0:
            await _replace(fleet, number)
        _lose(fleet, number)
        before = fleet.calls()
        took_s = await fleet.apply(_numbered(number))
        calls += fleet.calls() - before
        times.record_value(int(took_s * US))
    _times(figures, times)
    figures.bound('steps to a lower revision', fleet.reverts, most=0)
    revisions = {node.view.revision for node in fleet.nodes.values()}
    doubled = max(revisions) - APPLIES
    figures.bound('applies that took effect twice', doubled, most=0)
    each = calls / APPLIES
    figures.bound(
        'platform calls of all controls a change', each, plan.most_calls
    )


async def _replace(fleet: config_fleet.ConfigFleet, number: int) -> None:
    """Replace one process, another each time."""
    name = f'control-{number // REPLACE_EVERY % NODES}'
    await fleet.stop_node(name)
    await fleet.start_node(name)


def _lose(fleet: config_fleet.ConfigFleet, number: int) -> None:
    """Let the answer to an apply be lost now and then."""
    if number % LOSE_EVERY == 0:
        fleet.platform.put_faults(
            delay_s=DELAY_S, drop_answer=True, only=WRITE_ROOT, times=1
        )
    else:
        fleet.platform.put_faults(delay_s=DELAY_S)


def _times(figures: report.Report, times: histogram.HdrHistogram) -> None:
    for percent in (50, 95, 100):
        milliseconds = times.get_value_at_percentile(percent) / MS
        name = f'accepted until in force on the last, p{percent}, ms'
        figures.figure(name, milliseconds)


async def _idle(
    figures: report.Report,
    fleet: config_fleet.ConfigFleet,
    plan: Arrangement,
) -> None:
    """Count calls while nothing changes."""
    before = fleet.calls()
    began = time.monotonic()
    await asyncio.sleep(IDLE_S)
    idle_s = time.monotonic() - began
    rate = (fleet.calls() - before) / idle_s
    # A control that watches has one call open, renewed after a third of the
    # cut-off time, and reads the session keys once a minute.
    name = 'platform calls of all controls a second, idle'
    figures.bound(name, rate, plan.most_idle)


def _split(figures: report.Report) -> None:
    """Measure what one changed account of many moves."""
    figures.section(f'configuration, one of {ACCOUNTS} accounts changed')
    old = _parts(_large(1))
    new = _parts(_large(2))
    changed = [digest for digest in new if digest not in old]
    moved = sum(len(new[digest]) for digest in changed)
    whole = sum(map(len, new.values()))
    figures.figure('parts', len(new))
    figures.figure('bytes of the document', whole)
    figures.bound(
        'bytes that move, of the whole', moved / whole, MOST_PART_OF_BYTES
    )
    figures.bound('bytes of a push', _push_bytes(old, new), MOST_PUSH_BYTES)
    empty = config_state.Held()
    began = time.process_time()
    held = config_state.hold(1, old, empty)
    whole_s = time.process_time() - began
    began = time.process_time()
    config_state.hold(2, new, held)
    change_s = time.process_time() - began
    figures.figure('processor time to take it whole, ms', whole_s * MS)
    figures.figure('processor time to take the change, ms', change_s * MS)
    figures.bound(
        'time to take the change, of the whole',
        change_s / whole_s,
        MOST_PART_OF_TIME,
    )


def _push_bytes(old: dict[str, bytes], new: dict[str, bytes]) -> int:
    """Return the size of the message that brings the change to a peer."""
    holder = config_holder.ConfigHolder()
    calls = rpc_peers.Peers(config_fleet.KEYS)
    push = view_push.ViewPush(holder, calls, _Nobody(), '127.0.0.1:1')
    before = config_state.hold(1, old, holder.held)
    holder.take(config_state.hold(2, new, before), 'platform')
    push.spread(before)
    return len(msgspec.msgpack.encode(push.news()))


def _parts(document: config_data.Document) -> dict[str, bytes]:
    return dict(document_parts.split(document))


def _numbered(number: int) -> config_data.Document:
    pool = config_data.Pool('p', config_data.PoolKind.ENGINE, number)
    return config_data.Document(pools=(pool,))


def _large(weight: int) -> config_data.Document:
    """Return a document in which one account's weight is given."""
    ref = config_data.VersionRef('m', '*')
    accounts = [
        config_data.Account(f'account-{number:05}', (f'{number:064x}',), (ref,))
        for number in range(ACCOUNTS)
    ]
    middle = ACCOUNTS // 2
    accounts[middle] = accounts[middle]._replace(weight=weight)
    return config_data.Document(accounts=tuple(accounts))
