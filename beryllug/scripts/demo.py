"""The whole system on loopback: ``make demo``.

It starts stand-ins for all outside parties and two entry hosts with an entry
and a control process each, sends requests of every kind, and shows what each
caller got and what each client account is billed. The last line proves that
every request that ran has one bill.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.core import config_data, journal_data
from beryllug.standins import caller, fleet_settings, harness, records, sample

LIMIT_S = 55.0
OLD = config_data.VersionRef('roster', 'v1')
REQUEST_ID = 'x-beryllug-request-id'
VERSION = 'x-beryllug-version'
MOVED = 'x-beryllug-session-moved'
REPLAYED = 'x-beryllug-replayed'
HOLDS = '/v1/services/booking/holds'
SLOTS = '/v1/services/booking/slots'
SHOWN = 64
ROUNDS = 4
ERRORS_FROM = 400


class Step(NamedTuple):
    """One request of the demo.

    Attributes:
        title: What it shows.
        status: The status it must get.
        send: Sends it.
    """

    title: str
    status: int
    send: Callable[[], Awaitable[caller.Reply]]


class Demo:
    """Two callers, two entry hosts and the requests between them."""

    def __init__(self, fleet: harness.Fleet) -> None:
        """Bind a running deployment."""
        self.failed: list[str] = []
        self.ran: set[str] = set()
        self._fleet = fleet
        self._kutch = caller.Caller(sample.LARGE_KEY)
        self._saputara = caller.Caller(sample.SMALL_KEY)

    async def close(self) -> None:
        """Close the callers' connections."""
        await self._kutch.close()
        await self._saputara.close()

    async def run(self) -> None:
        """Send all requests."""
        for number in range(ROUNDS):
            for step in self._steps(number):
                await self._take(step)
        await self._withdraw()

    def _steps(self, number: int) -> list[Step]:
        """Return one round of requests through alternating hosts."""
        here = self._host(number)
        there = self._host(number + 1)
        key = f'hold-{number}'
        slot = {'slot': f'10:{number}0'}
        ask, chat = self._kutch.ask, self._kutch.chat
        small = self._saputara.chat
        return [
            Step('lookup', 200, lambda: ask(here, 'GET', SLOTS)),
            Step(
                'streamed chat',
                200,
                lambda: chat(here, 'desk-small', 'oils?', stream=True),
            ),
            Step('whole chat', 200, lambda: chat(there, 'desk-small', 'when?')),
            Step(
                'slot hold',
                201,
                lambda: ask(here, 'POST', HOLDS, slot, idempotency_key=key),
            ),
            Step(
                'the same hold again',
                201,
                lambda: ask(there, 'POST', HOLDS, slot, idempotency_key=key),
            ),
            Step(
                'long report',
                200,
                lambda: chat(
                    here,
                    'roster',
                    f'week {number}',
                    stream=True,
                    max_tokens=300,
                    idempotency_key=f'report-{number}',
                ),
            ),
            Step('cascade', 200, lambda: chat(there, 'offers', f'{number}')),
            Step('other account', 200, lambda: small(there, 'desk-small', 'x')),
            Step('not allowed', 403, lambda: small(here, 'desk-large', 'x')),
        ]

    async def _withdraw(self) -> None:
        """Withdraw a version under a session that is on it."""
        session = {'x_beryllug_session': 'guest-1'}
        first = Step(
            'session starts',
            200,
            lambda: self._kutch.chat(
                self._host(0), 'roster', 'mine', **session
            ),
        )
        await self._take(first)
        declared = sample.withdraw(self._fleet.plan.document, OLD)
        await self._fleet.apply(declared)
        for index in range(self._fleet.plan.hosts):
            await self._fleet.in_force(fleet_settings.entry_name(index))
        _say(f'roster@v1 withdrawn, revision {self._fleet.revision} in force')
        after = Step(
            'session goes on',
            200,
            lambda: self._kutch.chat(
                self._host(1), 'roster', 'mine', **session
            ),
        )
        await self._take(after)

    async def _take(self, step: Step) -> None:
        reply = await step.send()
        request_id = reply.headers.get(REQUEST_ID, '')
        if reply.status < ERRORS_FROM:
            self.ran.add(request_id)
        if reply.status != step.status:
            self.failed.append(f'{step.title}: {reply}')
        _say(f'{step.title:20} {reply.status}  {_what(reply)}')

    def _host(self, number: int) -> str:
        hosts = self._fleet.hosts
        return hosts[number % len(hosts)].callers


def main() -> None:
    """Run the demo within its time."""
    held = asyncio.run(asyncio.wait_for(_run(), LIMIT_S))
    sys.exit(0 if held else 1)


async def _run() -> bool:
    plan = sample.plan()
    models = tuple(
        model._replace(
            versions=tuple(
                version._replace(withdrawn=False) for version in model.versions
            )
        )
        for model in plan.document.models
    )
    document = plan.document._replace(models=models)
    fleet = harness.Fleet(plan._replace(document=document))
    try:
        return await _with_fleet(fleet)
    finally:
        await fleet.stop()


async def _with_fleet(fleet: harness.Fleet) -> bool:
    await fleet.start()
    _say('two entry hosts are ready')
    demo = Demo(fleet)
    await demo.run()
    await demo.close()
    bills = records.bills(fleet)
    _show_usage(bills)
    for failure in demo.failed:
        _say(f'NOT AS EXPECTED {failure}')
    once = all(len(rows) == 1 for rows in bills.values())
    same = set(bills) == demo.ran
    held = once and same and not demo.failed
    _say(
        f'requests that ran = {len(demo.ran)}, bills = {len(bills)}, '
        f'each billed once: {"yes" if held else "NO"}'
    )
    return held


def _show_usage(bills: dict[str, list[journal_data.Row]]) -> None:
    usage: dict[str, list[int]] = {}
    for rows in bills.values():
        for row in rows:
            line = usage.setdefault(row.account_id, [0, 0, 0])
            line[0] += 1
            line[1] += sum(use.tokens_out for use in row.stages)
            line[2] += sum(use.cost_micro for use in row.stages)
    _say('usage by client account, from the platform:')
    for account_id, (count, tokens, cost) in sorted(usage.items()):
        _say(f'  {account_id:10} requests={count} tokens={tokens} cost={cost}')


def _what(reply: caller.Reply) -> str:
    """Say in a few words what a caller got."""
    error = reply.error()
    if error:
        return f'{error["code"]} ({error["run"]})'
    notes = [reply.headers.get(VERSION, '')]
    if MOVED in reply.headers:
        notes.append('session moved')
    if REPLAYED in reply.headers:
        notes.append('answer of the first try')
    body = reply.body.decode(errors='replace').replace('\n', ' ')
    return f'{" ".join(notes)} {body[:SHOWN]}'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
