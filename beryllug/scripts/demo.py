"""Demo of the whole system on loopback: ``make demo``.

It starts stand-ins for all external systems and two entry hosts with an entry
and a control process each, sends requests of every kind, and shows the
responses and the usage billed to each client account. The last line shows
whether every request that ran was billed exactly once.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from beryllug.core import config_data, journal_data
from beryllug.standins import caller, fleet_settings, harness, records, sample

TIME_LIMIT_S = 55.0
OLD_VERSION = config_data.VersionRef('roster', 'v1')
REQUEST_ID = 'x-beryllug-request-id'
VERSION = 'x-beryllug-version'
MOVED = 'x-beryllug-session-moved'
REPLAYED = 'x-beryllug-replayed'
HOLDS = '/v1/services/booking/holds'
SLOTS = '/v1/services/booking/slots'
MAX_SHOWN_CHARS = 64
ROUNDS = 4
ERRORS_FROM = 400


class Step(NamedTuple):
    """One request of the demo.

    Attributes:
        title: Name of the step.
        status: Expected HTTP status.
        send: Sends the request.
    """

    title: str
    status: int
    send: Callable[[], Awaitable[caller.Reply]]


class Demo:
    """Sends the requests of two callers to two entry hosts."""

    def __init__(self, fleet: harness.Fleet) -> None:
        """Use a running fleet."""
        self.failed_steps: list[str] = []
        self.executed_request_ids: set[str] = set()
        self._fleet = fleet
        self._large_caller = caller.Caller(sample.LARGE_KEY)
        self._small_caller = caller.Caller(sample.SMALL_KEY)

    async def close(self) -> None:
        """Close the callers' connections."""
        await self._large_caller.close()
        await self._small_caller.close()

    async def run(self) -> None:
        """Send all requests."""
        for number in range(ROUNDS):
            for step in self._steps(number):
                await self._run_step(step)
        await self._withdraw()

    def _steps(self, number: int) -> list[Step]:
        """Return one round of requests, sent to alternating hosts."""
        first_host = self._host(number)
        second_host = self._host(number + 1)
        key = f'hold-{number}'
        slot = {'slot': f'10:{number}0'}
        ask, chat = self._large_caller.ask, self._large_caller.chat
        small_chat = self._small_caller.chat
        return [
            Step('lookup', 200, lambda: ask(first_host, 'GET', SLOTS)),
            Step(
                'streamed chat',
                200,
                lambda: chat(first_host, 'desk-small', 'oils?', stream=True),
            ),
            Step(
                'whole chat',
                200,
                lambda: chat(second_host, 'desk-small', 'when?'),
            ),
            Step(
                'slot hold',
                201,
                lambda: ask(
                    first_host, 'POST', HOLDS, slot, idempotency_key=key
                ),
            ),
            Step(
                'the same hold again',
                201,
                lambda: ask(
                    second_host, 'POST', HOLDS, slot, idempotency_key=key
                ),
            ),
            Step(
                'long report',
                200,
                lambda: chat(
                    first_host,
                    'roster',
                    f'week {number}',
                    stream=True,
                    max_tokens=300,
                    idempotency_key=f'report-{number}',
                ),
            ),
            Step(
                'cascade', 200, lambda: chat(second_host, 'offers', f'{number}')
            ),
            Step(
                'other account',
                200,
                lambda: small_chat(second_host, 'desk-small', 'x'),
            ),
            Step(
                'not allowed',
                403,
                lambda: small_chat(first_host, 'desk-large', 'x'),
            ),
        ]

    async def _withdraw(self) -> None:
        """Withdraw the version that a session is pinned to."""
        session = {'x_beryllug_session': 'guest-1'}
        first = Step(
            'session starts',
            200,
            lambda: self._large_caller.chat(
                self._host(0), 'roster', 'mine', **session
            ),
        )
        await self._run_step(first)
        declared = sample.withdraw(self._fleet.plan.document, OLD_VERSION)
        await self._fleet.apply(declared)
        for index in range(self._fleet.plan.hosts):
            await self._fleet.wait_for_revision(
                fleet_settings.entry_name(index)
            )
        _print_line(
            f'roster@v1 withdrawn, revision {self._fleet.revision} in force'
        )
        after = Step(
            'session goes on',
            200,
            lambda: self._large_caller.chat(
                self._host(1), 'roster', 'mine', **session
            ),
        )
        await self._run_step(after)

    async def _run_step(self, step: Step) -> None:
        reply = await step.send()
        request_id = reply.headers.get(REQUEST_ID, '')
        if reply.status < ERRORS_FROM:
            self.executed_request_ids.add(request_id)
        if reply.status != step.status:
            self.failed_steps.append(f'{step.title}: {reply}')
        _print_line(f'{step.title:20} {reply.status}  {_summarize(reply)}')

    def _host(self, number: int) -> str:
        hosts = self._fleet.hosts
        return hosts[number % len(hosts)].callers


def main() -> None:
    """Run the demo with a time limit."""
    passed = asyncio.run(asyncio.wait_for(_run(), TIME_LIMIT_S))
    sys.exit(0 if passed else 1)


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
    _print_line('two entry hosts are ready')
    demo = Demo(fleet)
    await demo.run()
    await demo.close()
    bills = records.outcome_rows(fleet)
    _show_usage(bills)
    for failure in demo.failed_steps:
        _print_line(f'NOT AS EXPECTED {failure}')
    all_billed_once = all(len(rows) == 1 for rows in bills.values())
    all_billed = set(bills) == demo.executed_request_ids
    passed = all_billed_once and all_billed and not demo.failed_steps
    _print_line(
        f'requests that ran = {len(demo.executed_request_ids)}, '
        f'bills = {len(bills)}, each billed once: {"yes" if passed else "NO"}'
    )
    return passed


def _show_usage(bills: dict[str, list[journal_data.Row]]) -> None:
    usage: dict[str, list[int]] = {}
    for rows in bills.values():
        for row in rows:
            totals = usage.setdefault(row.account_id, [0, 0, 0])
            totals[0] += 1
            totals[1] += sum(use.tokens_out for use in row.stages)
            totals[2] += sum(use.cost_micro for use in row.stages)
    _print_line('usage by client account, from the platform:')
    for account_id, (count, tokens, cost) in sorted(usage.items()):
        _print_line(
            f'  {account_id:10} requests={count} tokens={tokens} cost={cost}'
        )


def _summarize(reply: caller.Reply) -> str:
    """Summarize the response that a caller received."""
    error = reply.error()
    if error:
        return f'{error["code"]} ({error["run"]})'
    notes = [reply.headers.get(VERSION, '')]
    if MOVED in reply.headers:
        notes.append('session moved')
    if REPLAYED in reply.headers:
        notes.append('answer of the first try')
    body = reply.body.decode(errors='replace').replace('\n', ' ')
    return f'{" ".join(notes)} {body[:MAX_SHOWN_CHARS]}'


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
