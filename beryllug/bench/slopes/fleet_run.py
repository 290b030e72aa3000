"""Measures a fleet of control processes when idle, on changes and losses.

This process simulates one entry at each control process, which records when
a change of the configuration reaches the entries.
"""

import asyncio
import functools
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from beryllug.bench.slopes import (
    controls,
    documents,
    followers,
    process_stats,
    windows,
)
from beryllug.core import rpc_data
from beryllug.drivers import fleet_key, methods, rpc
from beryllug.standins import fleet_settings

ZONES = tuple(f'zone-{number}' for number in range(4))
SETTLE_S = 20.0
WINDOW_S = 4.0
REPEATS = 3
CHANGES = 6
CHANGE_INTERVAL_S = 0.5
CRASH_TIMEOUT_S = 30.0
MB = 1048576
MS = 1000

Times = Mapping[str, Mapping[int, float]]


class Measured(NamedTuple):
    """The measurements of one fleet size.

    Attributes:
        size: Number of control processes.
        started: Processor time of each process until all were ready, ms.
        idle: Windows without any change.
        changing: Windows with `CHANGES` changes of the configuration.
        crashes: Windows with one report of a lost backend server.
        crash_report_ms: Time until a report of a lost server was answered,
            which is when all control processes know of it.
        applied_ms: Time from the acceptance of a change until the last
            process applied it.
        entries_reached_ms: Time from the acceptance of a change until it
            reached the last entry.
        resident: Resident memory of each process, MB.
        private: Unshared resident memory of each process, MB.
    """

    size: int
    started: list[float]
    idle: list[windows.Rates]
    changing: list[windows.Rates]
    crashes: list[windows.Rates]
    crash_report_ms: list[float]
    applied_ms: list[float]
    entries_reached_ms: list[float]
    resident: list[float]
    private: list[float]


async def measure(size: int, watchers: int) -> Measured:
    """Start a fleet, measure it and stop it.

    Args:
        size: Number of control processes.
        watchers: How many processes of a zone watch the platform; 0 means
            all.
    """
    settings = (f'watchers = {watchers}',)
    plan = controls.Plan(documents.document(), size, ZONES, settings)
    async with controls.running(plan) as fleet:
        entries = followers.Followers(fleet)
        entries.start()
        measured = await _measure(fleet, entries)
        await entries.stop()
    return measured


async def _measure(
    fleet: controls.Controls, entries: followers.Followers
) -> Measured:
    started = [spent_s * MS for spent_s in fleet.cpu_s()]
    await asyncio.sleep(SETTLE_S)
    idle = [
        await windows.measure_window(fleet, WINDOW_S) for _ in range(REPEATS)
    ]
    accepted: dict[int, float] = {}
    change = functools.partial(_change, fleet, accepted)
    changing = [
        await windows.measure_window(fleet, 0, change) for _ in range(REPEATS)
    ]
    await entries.wait_for_revision(fleet.revision)
    applied = {name: fleet.applied_at(name) for name in fleet.names}
    resident = _memory_mb(fleet, process_stats.resident)
    private = _memory_mb(fleet, process_stats.private)
    crash_report_ms, crashes = await _report_crashes(fleet)
    return Measured(
        fleet.plan.controls,
        started,
        idle,
        changing,
        crashes,
        crash_report_ms,
        delays_ms(accepted, applied),
        delays_ms(accepted, entries.received_at),
        resident,
        private,
    )


async def _report_crashes(
    fleet: controls.Controls,
) -> tuple[list[float], list[windows.Rates]]:
    """Report lost servers; return the durations and the rates of windows."""
    crash_report_ms: list[float] = []
    report_crash = functools.partial(_report_crash, fleet, crash_report_ms)
    rates = [
        await windows.measure_window(fleet, 0, report_crash)
        for _ in range(REPEATS)
    ]
    return crash_report_ms, rates


def _memory_mb(
    fleet: controls.Controls, figure: Callable[[int], int]
) -> list[float]:
    return [figure(pid) / MB for pid in fleet.pids()]


def delays_ms(accepted: Mapping[int, float], applied: Times) -> list[float]:
    """Return for each change the delay until the last process applied it.

    A process that skips to a later revision counts as having the earlier one
    from then on.

    Args:
        accepted: When each revision was accepted.
        applied: When each process applied each revision.
    """
    return [
        max(_reached_at(when, revision) for when in applied.values()) * MS
        - at * MS
        for revision, at in accepted.items()
    ]


def _reached_at(when: Mapping[int, float], revision: int) -> float:
    return min(at for applied, at in when.items() if applied >= revision)


async def _change(fleet: controls.Controls, accepted: dict[int, float]) -> None:
    """Apply `CHANGES` documents, one every `CHANGE_INTERVAL_S`."""
    for _ in range(CHANGES):
        document = documents.changed(fleet.plan.document, fleet.revision + 2)
        accepted_at = await fleet.apply(document)
        accepted[fleet.revision] = accepted_at
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def _report_crash(
    fleet: controls.Controls, crash_report_ms: list[float]
) -> None:
    """Report to the first control process that a backend server was lost."""
    keys = fleet_key.KeyRing((fleet_settings.FLEET_KEY,))
    client = rpc.RpcClient(fleet.hosts[0].control, keys)
    number = len(crash_report_ms)
    report = rpc_data.CrashReport(
        'entry-0', f'runner-{number}', None, (f'{number:064x}',), time.time()
    )
    began = time.monotonic()
    await client.call(methods.CRASH, report, CRASH_TIMEOUT_S)
    crash_report_ms.append((time.monotonic() - began) * MS)
    await client.close()
