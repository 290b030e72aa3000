"""Rows of the request journal: processor time and platform writes of them.

One control that owns every shard gets rows at several rates, one row a
message, as an entry of a large fleet sends them. Then two controls own half
of the shards each and all rows go to one of them, which passes half of them
on to the other.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine, Iterator

from beryllug.bench import journal_world
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
CALL_S = 8.0
PER = 'a request a second'
PLAN = controls.Plan(documents.document(), controls=1)

Request = Callable[[rpc.RpcClient, str], Coroutine[None, None, None]]


async def run(shown: ledger.Ledger) -> None:
    """Measure one control and two, each kind of request, each rate."""
    shown.section(f'journal rows, {RATES} requests/s, one row a message')
    alone, pair = await asyncio.gather(_measure(1), _measure(2))
    for kind, _ in KINDS:
        _show(shown, kind, alone[kind], pair[kind])


async def bill(client: rpc.RpcClient, name: str) -> None:
    """Write the outcome of a request that may repeat."""
    row = journal_world.outcome(journal_world.intent(name))
    batch = rpc_data.OutcomeBatch((row,))
    await client.call(methods.FINISH, batch, CALL_S)


async def run_once(client: rpc.RpcClient, name: str) -> None:
    """Write the intent and then the outcome of one that may not."""
    row = journal_world.intent(name)
    await client.call(methods.BEGIN, rpc_data.IntentBatch((row,)), CALL_S)
    await bill(client, name)


KINDS: tuple[tuple[str, Request], ...] = (
    ('bill only', bill),
    ('intent and bill', run_once),
)

Figures = dict[str, list[list[windows.Rates]]]


async def _measure(count: int) -> Figures:
    """Return by kind and rate what each repeat took."""
    async with controls.running(PLAN._replace(controls=count)) as fleet:
        await asyncio.sleep(SETTLE_S)
        keys = fleet_key.KeyRing((fleet_settings.FLEET_KEY,))
        client = rpc.RpcClient(fleet.hosts[0].control, keys)
        numbers = itertools.count()
        try:
            return {
                kind: [
                    [
                        await _stretch(fleet, client, request, rate, numbers)
                        for _ in range(REPEATS)
                    ]
                    for rate in RATES
                ]
                for kind, request in KINDS
            }
        finally:
            await client.close()


async def _stretch(
    fleet: controls.Controls,
    client: rpc.RpcClient,
    request: Request,
    rate: int,
    numbers: Iterator[int],
) -> windows.Rates:
    """Send requests at a rate."""

    async def send() -> None:  # noqa: WPS430
        began = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        for number in range(round(rate * WINDOW_S)):
            due_s = began + number / rate - time.monotonic()
            await asyncio.sleep(max(0, due_s))
            work = request(client, f'{next(numbers):x}')
            tasks.append(asyncio.create_task(work))
        await asyncio.gather(*tasks)

    return await windows.watch(fleet, 0, send)


def _show(
    shown: ledger.Ledger,
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
            fit.Point(rate, tuple(map(figure, taken)))
            for rate, taken in zip(RATES, by_rate)
        ]
        shown.sweep(f'{kind}: {title}', unit, PER, points)


def _first_cpu(rates: windows.Rates) -> float:
    return rates.cpu[0]


def _second_cpu(rates: windows.Rates) -> float:
    return rates.cpu[1]


def _writes(rates: windows.Rates) -> float:
    return rates.calls.get('write', 0)


def _platform(rates: windows.Rates) -> float:
    return rates.platform
