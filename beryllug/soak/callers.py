"""Callers that keep their connections until the process behind is gone."""

import asyncio
import random
import time

from beryllug.drivers import http_client, http_data
from beryllug.platform import names
from beryllug.soak import seen, site
from beryllug.standins import platform_site

PATIENCE_S = 3.0
# Seconds after which a request hangs: far beyond its own time, so that a busy
# machine alone does not bring it there.
HANGS_S = 12.0
PAUSE_S = 0.03
ASKED_EVERY_S = 0.3
MISSES = 2
LEAVES = 0.06
LEAVES_WITHIN_S = 0.4
REVOKED_KEY_PART = 0.2
POSTED = b'{"slot":7}'
# Path, method and body of each kind of request.
KINDS = (
    ('/lookup/slot', 'GET', b''),
    ('/hold/slot', 'POST', POSTED),
    ('/draft/roster', 'POST', POSTED),
    ('/report/car', 'POST', POSTED),
)


class Balancer:
    """Which routers get new connections: those not missed twice."""

    def __init__(self, made: site.SoakSite) -> None:
        """Begin with all routers."""
        self._site = made.site
        self._misses = {router.name: 0 for router in made.site.routers}

    def choose(self, rng: random.Random) -> platform_site.Router:
        """Return a router for a new connection; any where none is ready."""
        routers = self._site.routers
        ready = [each for each in routers if self._misses[each.name] < MISSES]
        return rng.choice(ready or routers)

    async def run(self) -> None:
        """Ask all routers again and again."""
        while True:
            for router in self._site.routers:
                is_ready = await self._site.is_ready(router)
                missed = 0 if is_ready else self._misses[router.name] + 1
                self._misses[router.name] = missed
            await asyncio.sleep(ASKED_EVERY_S)


class Caller:
    """One caller with connections of its own."""

    def __init__(
        self, name: str, made: site.SoakSite, balancer: Balancer, seed: int
    ) -> None:
        """Begin without a connection."""
        self._name = name
        self._made = made
        self._balancer = balancer
        self._rng = random.Random(f'{seed}/{name}')
        self._client = http_client.HttpClient()
        self._router: platform_site.Router | None = None
        self._count = 0

    async def run(self) -> None:
        """Send one request after the other."""
        try:
            while True:
                await self._one()
                await asyncio.sleep(PAUSE_S * self._rng.random())
        finally:
            await self._client.close()

    def sent(
        self, router: platform_site.Router, path: str, body: bytes
    ) -> seen.Sent:
        """Return the next request, not yet sent."""
        self._count += 1
        attempt_id = f'{self._name}-{self._count:05}'
        self._made.seen.routers[attempt_id] = router.name
        is_second = self._rng.random() < REVOKED_KEY_PART
        return seen.Sent(
            attempt_id=attempt_id,
            path=path,
            body=body,
            key=site.REVOKED_KEY if is_second else platform_site.KEY,
            router=router.name,
            began_at=time.monotonic(),
            ended_at=0,
        )

    async def send(
        self, router: platform_site.Router, sent: seen.Sent, method: str
    ) -> seen.Sent:
        """Send a request and return what came of it."""
        headers = platform_site.caller_headers(sent.path, sent.attempt_id) | {
            names.AUTHORIZATION: f'Bearer {sent.key}',
            names.DEADLINE: f'{PATIENCE_S * 1000:.0f}',
        }
        outgoing = http_data.Outgoing(method, sent.path, headers, sent.body)
        failure = ''
        is_unsent = False
        try:
            incoming, answer = await self._client.call(
                router.cfg.listen, outgoing, HANGS_S
            )
        except http_data.NotSentError as exc:
            failure = str(exc)
            is_unsent = True
        except http_data.BrokenError as exc:
            failure = str(exc)
        if failure:
            return sent._replace(
                ended_at=time.monotonic(), failure=failure, is_unsent=is_unsent
            )
        return sent._replace(
            ended_at=time.monotonic(),
            status=incoming.status,
            headers=incoming.headers,
            answer=answer,
        )

    async def _one(self) -> None:
        if self._router is None:
            self._router = self._balancer.choose(self._rng)
        path, method, body = self._rng.choice(KINDS)
        sent = self.sent(self._router, path, body)
        leaves_s = None
        if self._rng.random() < LEAVES:
            leaves_s = LEAVES_WITHIN_S * self._rng.random()
        try:
            async with asyncio.timeout(leaves_s):
                ended = await self.send(self._router, sent, method)
        except TimeoutError:
            return
        self._made.seen.sent.append(ended)
        if ended.failure or ended.headers.get('connection') == 'close':
            self._router = None
