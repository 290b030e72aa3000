"""Platform calls, latency, processor time and memory of the journal.

Only counts, sizes and ratios have bounds; latencies have none.
"""

import asyncio
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from hdrh import histogram

from beryllug.bench import journal_harness, report
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

REQUEST_RATES = (20, 200, 2000)
SECONDS = 4.0
SHARDS = 8
COMMITS_PER_S = 20.0
BURST_S = 0.5
RENEWALS_PER_S = 6
MS = 1000
US_PER_S = 1000000
NODES = 890
LEASES = 128
REGIONS = 10
KEYS = 20000
PERCENTILES = (50, 99)
MAX_DIGEST_BYTES = 32
MAX_TRY_BYTES = 1200
MAX_MEMBER_BYTES = 700
MAX_HEARTBEAT_BYTES = 1300
MAX_SPREAD_FRACTION = 0.1
MAX_WRITES_PER_REQUEST = 0.15


def run(figures: report.Report) -> list[str]:
    """Run the benchmark and return its violated bounds."""
    for per_s in REQUEST_RATES:
        asyncio.run(_serve(figures, per_s))
    _memory(figures)
    _members(figures)
    return figures.broken()


async def _serve(figures: report.Report, per_s: int) -> None:
    """Send requests at a constant rate and count platform calls."""
    figures.section(f'journal, {per_s} requests/s, {SHARDS} shards')
    cfg = settings_data.Control(
        journal_harness.ADDRESS,
        (),
        '',
        '',
        shards=SHARDS,
        commits_per_s=COMMITS_PER_S,
    )
    harness = journal_harness.JournalHarness(cfg)
    await harness.start()
    usage = await _send_load(harness, per_s)
    allowed = SHARDS * COMMITS_PER_S * (1 + BURST_S / usage.elapsed_s)
    figures.bound(
        'platform writes a second',
        usage.writes / usage.elapsed_s,
        upper=allowed + RENEWALS_PER_S,
    )
    figures.bound('platform reads a second', usage.reads / usage.elapsed_s, 1)
    figures.bound('requests refused', harness.refused, upper=0)
    if per_s == REQUEST_RATES[-1]:
        writes = usage.writes / usage.requests
        upper = MAX_WRITES_PER_REQUEST
        figures.bound('platform writes a request', writes, upper=upper)
    kilobytes = usage.bytes_written / usage.requests / MS
    figures.figure('kilobytes written a request', kilobytes)
    cpu_us = usage.cpu_s / usage.requests * US_PER_S
    figures.figure('processor time a request, us', cpu_us)
    _latency(figures, 'intent added ms', harness.begin_us)
    _latency(figures, 'outcome acknowledged after ms', harness.finish_us)
    await harness.stop()


class Usage(NamedTuple):
    """Resource usage of a run.

    Attributes:
        requests: Number of requests.
        elapsed_s: Elapsed time.
        cpu_s: Processor time.
        writes: Platform writes.
        reads: Platform reads.
        bytes_written: Bytes written.
    """

    requests: int
    elapsed_s: float
    cpu_s: float
    writes: int
    reads: int
    bytes_written: int


async def _send_load(
    harness: journal_harness.JournalHarness, per_s: int
) -> Usage:
    before = harness.api.calls.copy()
    bytes_written = harness.api.bytes_written
    cpu_before = time.process_time()
    started = time.perf_counter()
    count = round(per_s * SECONDS)
    tasks = []
    for number in range(count):
        due_s = started + number / per_s - time.perf_counter()
        await asyncio.sleep(max(0, due_s))
        tasks.append(asyncio.create_task(harness.request(f'{number}')))
    await asyncio.gather(*tasks)
    calls = harness.api.calls - before
    return Usage(
        count,
        time.perf_counter() - started,
        time.process_time() - cpu_before,
        calls['write'],
        calls['read'],
        harness.api.bytes_written - bytes_written,
    )


def _latency(
    figures: report.Report, name: str, latencies: histogram.HdrHistogram
) -> None:
    for percentile in PERCENTILES:
        value_us = latencies.get_value_at_percentile(percentile)
        figures.figure(f'{name} p{percentile}', value_us / MS)


def _memory(figures: report.Report) -> None:
    """Measure the memory per digest and open try, and a row's size."""
    figures.section('journal, memory of an owner')
    index = digest_index.Index()
    figures.bound(
        'bytes a remembered digest',
        _bytes_of(lambda: _fill_index(index)) / KEYS,
        upper=MAX_DIGEST_BYTES,
    )
    state = shard_state.ShardState()
    figures.bound(
        'bytes an open try',
        _bytes_of(lambda: _open_tries(state)) / KEYS,
        upper=MAX_TRY_BYTES,
    )
    row = journal_harness.outcome(journal_harness.intent('1'))
    encoded = len(msgspec.msgpack.encode(row))
    figures.figure('bytes an outcome row in the log', encoded)


def _fill_index(index: digest_index.Index) -> None:
    for number in range(KEYS):
        digest = digest_index.digest('request', str(number))
        digest_index.put(index, digest, number, number)


def _open_tries(state: shard_state.ShardState) -> None:
    for number in range(KEYS):
        row = journal_harness.intent(str(number))
        journal.begin(state, row, 0)
        journal_log.apply_committed(state, row, 1, 0)


def _members(figures: report.Report) -> None:
    """Measure membership and lease assignment at full fleet size."""
    figures.section(f'membership, {NODES} control processes')
    table = membership.Table(_member(0))
    used = _bytes_of(lambda: membership.merge_all(table, _others(), 0))
    figures.bound('bytes a known member', used / NODES, upper=MAX_MEMBER_BYTES)
    news, notes = membership.pop_updates(table, table.ring[1])
    heartbeat = member_data.Heartbeat(table.own, news, notes, 1, 1)
    size = len(msgspec.msgpack.encode(heartbeat))
    figures.bound(
        'bytes a heartbeat full of news', size, upper=MAX_HEARTBEAT_BYTES
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
    spread = lease_spread.LeasePreferences()
    wanted = [f'journal/{shard}' for shard in range(LEASES)]
    whole_s = _cpu_seconds(
        lambda: lease_spread.update(spread, wanted, names[:-1])
    )
    join_s = _cpu_seconds(lambda: lease_spread.update(spread, wanted, names))
    figures.figure(f'ms to spread {LEASES} leases anew', whole_s * MS)
    figures.figure('ms when one member joins', join_s * MS)
    figures.bound(
        'part of the work when one joins',
        join_s / whole_s,
        upper=MAX_SPREAD_FRACTION,
    )
    candidate = lease_data.Candidate(names[0], 1)
    lease = lease_data.Lease('a', 1, candidates=(candidate,) * 9)
    encoded = len(msgspec.msgpack.encode(lease))
    figures.figure('bytes of a lease with its candidates', encoded)


def _cpu_seconds(work: Callable[[], Any]) -> float:
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
