"""Measures processor time and platform writes per journal row.

One control process that owns every shard receives rows at several rates, one
row per message, as an entry of a large fleet sends them. In a second fleet,
two control processes own half of the shards each; all rows go to one of them,
which forwards half of them to the other.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine, Iterator

from beryllug.bench import journal_harness
from beryllug.bench.slopes import (
    controls,
    documents,
    fit,
    ledger,
    windows,
)
from beryllug.core import rpc_data
from beryllug.drivers import fleet_key, methods, rpc
from beryllug.standins import fleet_settings

RATES = (10, 50, 250)
SETTLE_S = 20.0
WINDOW_S = 3.0
REPEATS = 3
CALL_TIMEOUT_S = 8.0
PER = 'a request a second'
PLAN = controls.Plan(documents.document(), controls=1)

Request = Callable[[rpc.RpcClient, str], Coroutine[None, None, None]]


async def run(recorder: ledger.Recorder) -> None:
    """Measure each kind of request and rate with one and two controls."""
    recorder.section(f'journal rows, {RATES} requests/s, one row a message')
    alone, pair = await asyncio.gather(_measure(1), _measure(2))
    for kind, _ in KINDS:
        _show(recorder, kind, alone[kind], pair[kind])


async def write_outcome(client: rpc.RpcClient, name: str) -> None:
    """Write the outcome of an idempotent request."""
    row = journal_harness.outcome(journal_harness.intent(name))
    batch = rpc_data.OutcomeBatch((row,))
    await client.call(methods.FINISH, batch, CALL_TIMEOUT_S)


async def write_intent_and_outcome(client: rpc.RpcClient, name: str) -> None:
    """Write the intent and then the outcome of a non-idempotent request."""
    row = journal_harness.intent(name)
    await client.call(
        methods.BEGIN, rpc_data.IntentBatch((row,)), CALL_TIMEOUT_S
    )
    await write_outcome(client, name)


KINDS: tuple[tuple[str, Request], ...] = (
    ('bill only', write_outcome),
    ('intent and bill', write_intent_and_outcome),
)

Figures = dict[str, list[list[windows.Rates]]]


async def _measure(count: int) -> Figures:
    """Return the rates of each repeat, by kind of request and send rate."""
    async with controls.running(PLAN._replace(controls=count)) as fleet:
        await asyncio.sleep(SETTLE_S)
        keys = fleet_key.KeyRing((fleet_settings.FLEET_KEY,))
        client = rpc.RpcClient(fleet.hosts[0].control, keys)
        numbers = itertools.count()
        try:
            return {
                kind: [
                    [
                        await _measure_window(
                            fleet, client, request, rate, numbers
                        )
                        for _ in range(REPEATS)
                    ]
                    for rate in RATES
                ]
                for kind, request in KINDS
            }
        finally:
            await client.close()


async def _measure_window(
    fleet: controls.Controls,
    client: rpc.RpcClient,
    request: Request,
    rate: int,
    numbers: Iterator[int],
) -> windows.Rates:
    """Measure a window in which requests are sent at a rate."""

    async def send() -> None:  # noqa: WPS430
        began = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for number in range(round(rate * WINDOW_S)):
            due_s = began + number / rate - time.monotonic()
            await asyncio.sleep(max(0, due_s))
            work = request(client, f'{next(numbers):x}')
            tasks.append(asyncio.create_task(work))
        await asyncio.gather(*tasks)

    return await windows.measure_window(fleet, 0, send)


def _show(
    recorder: ledger.Recorder,
    kind: str,
    alone: list[list[windows.Rates]],
    pair: list[list[windows.Rates]],
) -> None:
    cpu = 'processor time'
    for title, unit, by_rate, figure in (
        (f'{cpu}, one owns all', 'ms/s', alone, _first_cpu),
        (f'{cpu}, passes on half, owns half', 'ms/s', pair, _first_cpu),
        (f'{cpu}, owns the other half', 'ms/s', pair, _second_cpu),
        ('platform writes, one owns all', '1/s', alone, _writes),
        ('bytes to and from the platform', 'B/s', alone, _platform),
    ):
        points = [
            fit.Point(rate, tuple(map(figure, repeats)))
            for rate, repeats in zip(RATES, by_rate)
        ]
        recorder.sweep(f'{kind}: {title}', unit, PER, points)


def _first_cpu(rates: windows.Rates) -> float:
    return rates.cpu[0]


def _second_cpu(rates: windows.Rates) -> float:
    return rates.cpu[1]


def _writes(rates: windows.Rates) -> float:
    return rates.calls.get('write', 0)


def _platform(rates: windows.Rates) -> float:
    return rates.platform
