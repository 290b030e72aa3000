"""Seeded caller traffic against a deployment, with all responses."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from beryllug.standins import caller, harness, sample

KINDS = ('chat', 'stream', 'lookup', 'hold', 'report', 'cascade')
REPORT_TOKENS = 60
PAUSE_S = 0.01
RETRY_S = 0.1
CHECK_S = 0.2
TRIES = 60
OK = 200
SERVER_ERROR = 500


class Sent(NamedTuple):
    """One request and its response.

    Attributes:
        kind: One of `KINDS`.
        account_id: The client account.
        key: Idempotency key, or empty.
        prompt: Prompt or slot name, unique to the request.
        reply: Response that the caller received.
        sent_at: Wall-clock time of sending, in seconds.
        ended_at: Wall-clock time of the end, in seconds.
    """

    kind: str
    account_id: str
    key: str
    prompt: str
    reply: caller.Reply
    sent_at: float
    ended_at: float


class Traffic:
    """Callers that send requests until they are stopped.

    Attributes:
        sent: Completed requests, in order of completion.
    """

    def __init__(
        self,
        fleet: harness.Fleet,
        seed: int,
        kinds: Sequence[str] = KINDS,
        callers: int = 6,
    ) -> None:
        """Configure the traffic; `start` starts the callers."""
        self.sent: list[Sent] = []
        self._fleet = fleet
        self._seed = seed
        self._kinds = kinds
        self._callers = callers
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self._avoided: set[int] = set()

    def start(self) -> None:
        """Start the callers."""
        self._tasks = [
            asyncio.create_task(self._run(index))
            for index in range(self._callers)
        ]

    async def stop(self) -> list[Sent]:
        """Let the callers finish and return all completed requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        return self.sent

    async def wait_for_requests(
        self, count: int, within_s: float = 60.0
    ) -> None:
        """Wait until `count` more requests have completed."""
        wanted = len(self.sent) + count

        async def reached() -> bool:  # noqa: WPS430
            return len(self.sent) >= wanted

        await harness.wait_for(reached, within_s)

    def mark_host_down(self, host: int) -> None:
        """Stop sending to a host, as the load balancer would."""
        self._avoided.add(host)

    def mark_host_up(self, host: int) -> None:
        """Resume sending to a host."""
        self._avoided.discard(host)

    async def balance(self) -> None:
        """Send only to hosts that pass the readiness check, as a balancer does.

        Runs until the task is cancelled.
        """
        while True:
            for index, _ in enumerate(self._fleet.hosts):
                if await self._fleet.is_ready(f'entry-{index}'):
                    self.mark_host_up(index)
                else:
                    self.mark_host_down(index)
            await asyncio.sleep(CHECK_S)

    async def _run(self, index: int) -> None:
        rng = random.Random(self._seed * 1000 + index)
        key = sample.LARGE_KEY if index % 3 else sample.SMALL_KEY
        client = caller.Caller(key)
        number = 0
        try:
            while not self._stopping:
                number += 1
                kind = rng.choice(self._kinds)
                await self._send(client, key, kind, f'{index}-{number}', rng)
                await asyncio.sleep(PAUSE_S)
        finally:
            await client.close()

    async def _send(
        self,
        client: caller.Caller,
        bearer: str,
        kind: str,
        name: str,
        rng: random.Random,
    ) -> None:
        """Send one request and retry it if it has an idempotency key.

        A request with a key is retried under the same key, through any
        available host, until the response is final.
        """
        prompt = f'prompt {self._seed} {name}'
        idempotency_key = ''
        if kind in {'hold', 'report'}:
            idempotency_key = f'key-{self._seed}-{name}'
        for _ in range(TRIES):
            sent_at = time.time()
            host = self._pick_host(rng)
            send = _sender_of(kind, bearer)
            reply = await send(client, host, prompt, idempotency_key)
            self.sent.append(
                Sent(
                    kind,
                    _account_of(bearer),
                    idempotency_key,
                    prompt,
                    reply,
                    sent_at,
                    time.time(),
                )
            )
            if not idempotency_key or _is_final(reply) or self._stopping:
                return
            await asyncio.sleep(RETRY_S)

    def _pick_host(self, rng: random.Random) -> str:
        available = [
            ports.callers
            for index, ports in enumerate(self._fleet.hosts)
            if index not in self._avoided
        ]
        return rng.choice(available)


SendRequest = Callable[[caller.Caller, str, str, str], Any]


def _sender_of(kind: str, bearer: str) -> SendRequest:
    """Return the function that sends a request of a kind."""
    match kind:
        case 'hold':
            return _hold
        case 'report':
            return _report if bearer == sample.LARGE_KEY else _small_report
        case 'lookup':
            return _lookup
        case 'stream':
            return _stream
        case 'cascade':
            return _cascade if bearer == sample.LARGE_KEY else _chat
        case _:
            return _chat


async def _chat(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.chat(host, 'desk-small', prompt)


async def _stream(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.chat(host, 'desk-small', prompt, stream=True)


async def _cascade(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.chat(host, 'offers', prompt)


async def _lookup(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.ask(host, 'GET', '/v1/services/booking/slots')


async def _hold(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.ask(
        host,
        'POST',
        '/v1/services/booking/holds',
        {'slot': prompt},
        idempotency_key=key,
    )


async def _report(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.chat(
        host,
        'roster',
        prompt,
        stream=True,
        max_tokens=REPORT_TOKENS,
        idempotency_key=key,
    )


async def _small_report(
    client: caller.Caller, host: str, prompt: str, key: str
) -> caller.Reply:
    return await client.chat(host, 'desk-small', prompt, idempotency_key=key)


def _is_final(reply: caller.Reply) -> bool:
    """Return whether the client stops retrying after this response."""
    if OK <= reply.status < SERVER_ERROR:
        return reply.error().get('code') not in {'in_progress', 'over_limit'}
    return reply.error().get('run') == 'unknown' and reply.status > 0


def _account_of(bearer: str) -> str:
    return 'kutch' if bearer == sample.LARGE_KEY else 'saputara'
