"""Propagation time and cost of configuration changes.

Eight control processes follow a slow platform while documents are applied,
platform responses are dropped and processes are replaced. Only counts and
ratios have bounds; times have none.
"""

import asyncio
import time
from typing import NamedTuple

import msgspec
from hdrh import histogram

from beryllug.bench import config_fleet, recorder, report
from beryllug.control import config_holder, config_exchange
from beryllug.core import config_data, config_state, document_parts
from beryllug.drivers import rpc_peers


class _NoMembers:
    """An empty membership."""

    def all_addresses(self) -> tuple[str, ...]:
        """Return no members."""
        return ()

    def gossip_addresses(self) -> tuple[str, ...]:
        """Return no members."""
        return ()

    def push_addresses(self) -> tuple[str, ...]:
        """Return no members."""
        return ()


class Arrangement(NamedTuple):
    """Number of processes that watch the platform, and its bounds.

    Attributes:
        title: Its name.
        watchers: Number of watching processes; 0 means all.
        max_calls: Most platform calls of all control processes per change.
        max_idle_calls_per_s: Most platform calls of all control processes per
            second while nothing changes.
    """

    title: str
    watchers: int
    max_calls: float
    max_idle_calls_per_s: float


NODES = 8
FEW_WATCHERS = 2
APPLIES = 60
REPLACE_EVERY = 20
DROP_EVERY = 10
DELAY_S = 0.02
IDLE_S = 4.0
ACCOUNTS = 2000
US_PER_S = 1000000
MS = 1000
WRITE_ROOT = 'PUT /v1/objects/beryllug/config/root'
MAX_CALLS_ALL = 20
MAX_CALLS_FEW = 6
MAX_IDLE_ALL = 3
MAX_IDLE_FEW = 0.8
ARRANGEMENTS = (
    Arrangement('all watch', 0, MAX_CALLS_ALL, MAX_IDLE_ALL),
    Arrangement('2 watch', FEW_WATCHERS, MAX_CALLS_FEW, MAX_IDLE_FEW),
)
MAX_BYTES_FRACTION = 0.03
MAX_TIME_FRACTION = 0.1
MAX_PUSH_BYTES = 500


def run(figures: report.Report) -> list[str]:
    """Run the benchmark and return its violated bounds."""
    for plan in ARRANGEMENTS:
        asyncio.run(_measure_fleet(figures, plan))
    _measure_parts(figures)
    return figures.broken()


async def _measure_fleet(figures: report.Report, plan: Arrangement) -> None:
    """Measure a fleet in which all or some processes watch the platform."""
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
        _drop_some_answers(fleet, number)
        before = fleet.calls()
        elapsed_s = await fleet.apply(_numbered(number))
        calls += fleet.calls() - before
        times.record_value(int(elapsed_s * US_PER_S))
    _latencies(figures, times)
    figures.bound(
        'steps to a lower revision', fleet.revision_regressions, upper=0
    )
    revisions = {node.view.revision for node in fleet.nodes.values()}
    doubled = max(revisions) - APPLIES
    figures.bound('applies that took effect twice', doubled, upper=0)
    per_change = calls / APPLIES
    figures.bound(
        'platform calls of all controls a change', per_change, plan.max_calls
    )


async def _replace(fleet: config_fleet.ConfigFleet, number: int) -> None:
    """Restart one process, a different one each time."""
    name = f'control-{number // REPLACE_EVERY % NODES}'
    await fleet.stop_node(name)
    await fleet.start_node(name)


def _drop_some_answers(fleet: config_fleet.ConfigFleet, number: int) -> None:
    """Drop the platform's response to every tenth apply."""
    if number % DROP_EVERY == 0:
        fleet.platform.put_faults(
            delay_s=DELAY_S, drop_answer=True, only=WRITE_ROOT, times=1
        )
    else:
        fleet.platform.put_faults(delay_s=DELAY_S)


def _latencies(figures: report.Report, times: histogram.HdrHistogram) -> None:
    for percent in (50, 95, 100):
        milliseconds = times.get_value_at_percentile(percent) / MS
        name = f'accepted until in force on the last, p{percent}, ms'
        figures.figure(name, milliseconds)


async def _idle(
    figures: report.Report,
    fleet: config_fleet.ConfigFleet,
    plan: Arrangement,
) -> None:
    """Measure the rate of platform calls while nothing changes."""
    before = fleet.calls()
    began = time.monotonic()
    await asyncio.sleep(IDLE_S)
    idle_s = time.monotonic() - began
    rate = (fleet.calls() - before) / idle_s
    # A watching control process keeps one call open, renewed after a third
    # of the cut-off time, and reads the session keys once a minute.
    name = 'platform calls of all controls a second, idle'
    figures.bound(name, rate, plan.max_idle_calls_per_s)


def _measure_parts(figures: report.Report) -> None:
    """Measure the cost of changing one account of many."""
    figures.section(f'configuration, one of {ACCOUNTS} accounts changed')
    old = _parts(_large(1))
    new = _parts(_large(2))
    changed = [digest for digest in new if digest not in old]
    moved = sum(len(new[digest]) for digest in changed)
    whole = sum(map(len, new.values()))
    figures.figure('parts', len(new))
    figures.figure('bytes of the document', whole)
    figures.bound(
        'bytes that move, of the whole', moved / whole, MAX_BYTES_FRACTION
    )
    figures.bound('bytes of a push', _push_bytes(old, new), MAX_PUSH_BYTES)
    empty = config_state.ProcessConfig()
    began = time.process_time()
    held = config_state.build_config(1, old, empty)
    whole_s = time.process_time() - began
    began = time.process_time()
    config_state.build_config(2, new, held)
    change_s = time.process_time() - began
    figures.figure('processor time to take it whole, ms', whole_s * MS)
    figures.figure('processor time to take the change, ms', change_s * MS)
    figures.bound(
        'time to take the change, of the whole',
        change_s / whole_s,
        MAX_TIME_FRACTION,
    )


def _push_bytes(old: dict[str, bytes], new: dict[str, bytes]) -> int:
    """Return the size of the message that sends the change to a peer."""
    holder = config_holder.ConfigHolder()
    calls = rpc_peers.Peers(config_fleet.KEYS)
    push = config_exchange.ConfigExchange(
        holder, calls, _NoMembers(), '127.0.0.1:1'
    )
    before = config_state.build_config(1, old, holder.held)
    holder.accept_if_newer(
        config_state.build_config(2, new, before), 'platform'
    )
    push.push_to_children(before)
    return len(msgspec.msgpack.encode(push.delta_offer()))


def _parts(document: config_data.Document) -> dict[str, bytes]:
    return dict(document_parts.split(document))


def _numbered(number: int) -> config_data.Document:
    pool = config_data.Pool('p', config_data.PoolKind.ENGINE, number)
    return config_data.Document(pools=(pool,))


def _large(weight: int) -> config_data.Document:
    """Return a large document with the given weight for one account."""
    ref = config_data.VersionRef('m', '*')
    accounts = [
        config_data.Account(f'account-{number:05}', (f'{number:064x}',), (ref,))
        for number in range(ACCOUNTS)
    ]
    middle = ACCOUNTS // 2
    accounts[middle] = accounts[middle]._replace(weight=weight)
    return config_data.Document(accounts=tuple(accounts))
