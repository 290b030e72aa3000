"""The request journal: platform writes, latency, processor time, memory.

Bounds are on counts and sizes. Times are shown without bounds.
"""

import asyncio
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from hdrh import histogram

from beryllug.bench import journal_world, report
from beryllug.core import (
    digest_index,
    journal,
    journal_log,
    lease_data,
    lease_spread,
    member_data,
    membership,
    settings_data,
    shard_state,
)

LOADS = (20, 200, 2000)
SECONDS = 4.0
SHARDS = 8
COMMITS_PER_S = 20.0
BURST_S = 0.5
RENEWALS_PER_S = 6
MS = 1000
US = 1000000
NODES = 890
LEASES = 128
REGIONS = 10
KEYS = 20000
PERCENTILES = (50, 99)
MOST_BYTES = 32
MOST_TRY_BYTES = 1200
MOST_MEMBER_BYTES = 700
MOST_HEARTBEAT_BYTES = 1300
MOST_SPREAD_PART = 0.1
MOST_WRITES_A_REQUEST = 0.15


def run(figures: report.Report) -> list[str]:
    """Measure; return the broken bounds."""
    for load in LOADS:
        asyncio.run(_serve(figures, load))
    _memory(figures)
    _members(figures)
    return figures.broken()


async def _serve(figures: report.Report, load: int) -> None:
    """Send requests at a rate and count what the platform sees."""
    figures.section(f'journal, {load} requests/s, {SHARDS} shards')
    cfg = settings_data.Control(
        journal_world.ADDRESS,
        (),
        '',
        '',
        shards=SHARDS,
        commits_per_s=COMMITS_PER_S,
    )
    world = journal_world.World(cfg)
    await world.start()
    taken = await _offer(world, load)
    allowed = SHARDS * COMMITS_PER_S * (1 + BURST_S / taken.took_s)
    figures.bound(
        'platform writes a second',
        taken.writes / taken.took_s,
        most=allowed + RENEWALS_PER_S,
    )
    figures.bound('platform reads a second', taken.reads / taken.took_s, 1)
    figures.bound('requests refused', world.refused, most=0)
    if load == LOADS[-1]:
        writes = taken.writes / taken.requests
        most = MOST_WRITES_A_REQUEST
        figures.bound('platform writes a request', writes, most=most)
    kilobytes = taken.sent / taken.requests / MS
    figures.figure('kilobytes written a request', kilobytes)
    spent_us = taken.spent_s / taken.requests * US
    figures.figure('processor time a request, us', spent_us)
    _latency(figures, 'intent added ms', world.begin_us)
    _latency(figures, 'outcome acknowledged after ms', world.finish_us)
    await world.stop()


class Taken(NamedTuple):
    """What a run took.

    Attributes:
        requests: Requests.
        took_s: Real time.
        spent_s: Processor time.
        writes: Platform writes.
        reads: Platform reads.
        sent: Bytes written.
    """

    requests: int
    took_s: float
    spent_s: float
    writes: int
    reads: int
    sent: int


async def _offer(world: journal_world.World, load: int) -> Taken:
    before = world.api.calls.copy()
    sent = world.api.sent
    spent = time.process_time()
    started = time.perf_counter()
    count = round(load * SECONDS)
    tasks = []
    for number in range(count):
        due_s = started + number / load - time.perf_counter()
        await asyncio.sleep(max(0, due_s))
        tasks.append(asyncio.create_task(world.request(f'{number}')))
    await asyncio.gather(*tasks)
    calls = world.api.calls - before
    return Taken(
        count,
        time.perf_counter() - started,
        time.process_time() - spent,
        calls['write'],
        calls['read'],
        world.api.sent - sent,
    )


def _latency(
    figures: report.Report, name: str, taken: histogram.HdrHistogram
) -> None:
    for percentile in PERCENTILES:
        value_us = taken.get_value_at_percentile(percentile)
        figures.figure(f'{name} p{percentile}', value_us / MS)


def _memory(figures: report.Report) -> None:
    """Measure what one more key, try or bill takes."""
    figures.section('journal, memory of an owner')
    index = digest_index.Index()
    figures.bound(
        'bytes a remembered digest',
        _bytes_of(lambda: _fill(index)) / KEYS,
        most=MOST_BYTES,
    )
    state = shard_state.ShardState()
    figures.bound(
        'bytes an open try',
        _bytes_of(lambda: _open(state)) / KEYS,
        most=MOST_TRY_BYTES,
    )
    row = journal_world.outcome(journal_world.intent('1'))
    encoded = len(msgspec.msgpack.encode(row))
    figures.figure('bytes an outcome row in the log', encoded)


def _fill(index: digest_index.Index) -> None:
    for number in range(KEYS):
        digest = digest_index.digest('request', str(number))
        digest_index.put(index, digest, number, number)


def _open(state: shard_state.ShardState) -> None:
    for number in range(KEYS):
        row = journal_world.intent(str(number))
        journal.begin(state, row, 0)
        journal_log.committed(state, row, 1, 0)


def _members(figures: report.Report) -> None:
    """Measure membership and the spread of leases at full size."""
    figures.section(f'membership, {NODES} control processes')
    table = membership.Table(_member(0))
    used = _bytes_of(lambda: membership.merge_all(table, _others(), 0))
    figures.bound('bytes a known member', used / NODES, most=MOST_MEMBER_BYTES)
    news, notes = membership.take_news(table, table.ring[1])
    heartbeat = member_data.Heartbeat(table.own, news, notes, 1, 1)
    size = len(msgspec.msgpack.encode(heartbeat))
    figures.bound(
        'bytes a heartbeat full of news', size, most=MOST_HEARTBEAT_BYTES
    )
    _spread(figures, list(table.ring))


def _others() -> list[member_data.Member]:
    return [_member(number) for number in range(1, NODES)]


def _member(number: int) -> member_data.Member:
    return member_data.Member(
        f'control-host-{number}',
        f'10.20.30.40:{number}',
        f'region-{number % REGIONS}-zone-{number}',
        number,
        started=number,
    )


def _spread(figures: report.Report, names: list[str]) -> None:
    spread = lease_spread.Spread()
    wanted = [f'journal/{shard}' for shard in range(LEASES)]
    whole_s = _seconds(lambda: lease_spread.update(spread, wanted, names[:-1]))
    one_s = _seconds(lambda: lease_spread.update(spread, wanted, names))
    figures.figure(f'ms to spread {LEASES} leases anew', whole_s * MS)
    figures.figure('ms when one member joins', one_s * MS)
    figures.bound(
        'part of the work when one joins',
        one_s / whole_s,
        most=MOST_SPREAD_PART,
    )
    candidate = lease_data.Candidate(names[0], 1)
    lease = lease_data.Lease('a', 1, candidates=(candidate,) * 9)
    encoded = len(msgspec.msgpack.encode(lease))
    figures.figure('bytes of a lease with its candidates', encoded)


def _seconds(work: Callable[[], Any]) -> float:
    started = time.process_time()
    work()
    return time.process_time() - started


def _bytes_of(work: Callable[[], Any]) -> int:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    work()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before
