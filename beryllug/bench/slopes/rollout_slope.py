"""Measures the cost of evidence reports and states of one roll-out.

At each control process one simulated entry reports as often as a busy entry:
a quarter of a second after its last report was answered.
"""

import asyncio
import statistics
from collections.abc import Callable

from beryllug.bench.slopes import (
    controls,
    fit,
    ledger,
    reports,
    windows,
)
from beryllug.drivers import fleet_key, methods, rpc
from beryllug.standins import fleet_settings

SIZES = (4, 12, 36)
SETTLE_S = 15.0
WINDOW_S = 5.0
REPEATS = 3
REPORT_INTERVAL_S = 0.25
REPORT_TIMEOUT_S = 3.0
ACCOUNTS = 2
PER = 'a process'
SETTINGS = ('watchers = 2', 'shards = 1')


ROWS: tuple[tuple[str, str, Callable[[windows.Rates], float]], ...] = (
    (
        'processor time of the control that judges',
        'ms/s',
        lambda rates: max(rates.cpu),
    ),
    (
        'processor time of a control, the median',
        'ms/s',
        lambda rates: statistics.median(rates.cpu),
    ),
    (
        'bytes that a control sends to others',
        'B/s',
        lambda rates: rates.peer_bytes_per_s,
    ),
    (
        'bytes of all to and from the platform',
        'B/s',
        lambda rates: rates.platform * len(rates.cpu),
    ),
    (
        'platform writes of all',
        '1/s',
        lambda rates: rates.calls.get('write', 0),
    ),
)


async def run(recorder: ledger.Recorder) -> None:
    """Measure each size, with concurrent fleets."""
    recorder.section(f'a roll-out, {SIZES} controls with a busy entry each')
    measured = await asyncio.gather(*map(_measure, SIZES))
    for name, unit, figure in ROWS:
        points = [
            fit.Point(size, tuple(map(figure, rates)))
            for size, rates in zip(SIZES, measured)
        ]
        recorder.sweep(name, unit, PER, points)


async def _measure(size: int) -> list[windows.Rates]:
    plan = controls.Plan(reports.document(), size, settings=SETTINGS)
    async with controls.running(plan) as fleet:
        await asyncio.sleep(SETTLE_S)
        keys = fleet_key.KeyRing((fleet_settings.FLEET_KEY,))
        clients = [rpc.RpcClient(host.control, keys) for host in fleet.hosts]
        tasks = [
            asyncio.create_task(_send_reports(client, f'entry-{number}/boot'))
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(WINDOW_S)
        rates = [
            await windows.measure_window(fleet, WINDOW_S)
            for _ in range(REPEATS)
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*(client.close() for client in clients))
    return rates


async def _send_reports(client: rpc.RpcClient, entry: str) -> None:
    """Send reports until cancelled; resend a report that was not accepted."""
    sequence = 1
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        evidence_report = reports.report(entry, sequence, ACCOUNTS)
        try:
            reply = await client.call(
                methods.EVIDENCE, evidence_report, REPORT_TIMEOUT_S
            )
        except rpc.RpcError:
            continue
        sequence += reply.ok
