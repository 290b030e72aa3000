"""Callers that keep a connection until it fails or its router closes it."""

import asyncio
import random
import time

from beryllug.drivers import http_client, http_data
from beryllug.platform import names
from beryllug.soak import components, observations, site
from beryllug.standins import platform_site

DEADLINE_S = 3.0
# Seconds after which a request counts as hanging: far beyond its deadline, so
# that a busy machine alone does not cause it.
HANG_S = 12.0
MAX_PAUSE_S = 0.03
CHECK_INTERVAL_S = 0.3
MAX_MISSES = 2
DISCONNECT_FRACTION = 0.06
# Seconds within which a raised limit applies.
RAISED_S = 3.0
MAX_DISCONNECT_S = 0.4
REVOKED_KEY_FRACTION = 0.2
POST_BODY = b'{"slot":7}'
# A body that a raised limit allows.
LARGE_BODY = POST_BODY.ljust(2 * site.SMALL_BODY_BYTES)
# Path, method and body of each kind of request.
KINDS = (
    ('/lookup/slot', 'GET', b''),
    ('/hold/slot', 'POST', POST_BODY),
    ('/draft/roster', 'POST', POST_BODY),
    ('/report/car', 'POST', POST_BODY),
)


class Balancer:
    """Selects routers that have not failed two readiness checks in a row."""

    def __init__(self, deployment: site.SoakSite) -> None:
        """Start with all routers."""
        self._site = deployment.site
        self._misses = {router.name: 0 for router in deployment.site.routers}

    def choose(self, rng: random.Random) -> platform_site.Router:
        """Return a router for a new connection; any if none is ready."""
        routers = self._site.routers
        ready = [
            each for each in routers if self._misses[each.name] < MAX_MISSES
        ]
        return rng.choice(ready or routers)

    async def run(self) -> None:
        """Check the readiness of all routers periodically."""
        while True:
            for router in self._site.routers:
                is_ready = await self._site.is_ready(router)
                missed = 0 if is_ready else self._misses[router.name] + 1
                self._misses[router.name] = missed
            await asyncio.sleep(CHECK_INTERVAL_S)


class Caller:
    """A caller with connections of its own."""

    def __init__(
        self,
        name: str,
        deployment: site.SoakSite,
        balancer: Balancer,
        seed: int,
        key: str = '',
    ) -> None:
        """Start without a connection.

        Args:
            name: Its name, with which its attempt ids begin.
            deployment: The deployment.
            balancer: Selects the routers.
            seed: Determines its requests.
            key: Its key; empty for those of the usual account.
        """
        self._key = key
        self._name = name
        self._deployment = deployment
        self._balancer = balancer
        self._rng = random.Random(f'{seed}/{name}')
        self._client = http_client.HttpClient()
        self._router: platform_site.Router | None = None
        self._count = 0

    async def run(self) -> None:
        """Send one request after another."""
        try:
            while True:
                await self._send_next()
                await asyncio.sleep(MAX_PAUSE_S * self._rng.random())
        finally:
            await self._client.close()

    def new_request(
        self, router: platform_site.Router, path: str, body: bytes
    ) -> observations.Sent:
        """Return the next request, not yet sent."""
        self._count += 1
        attempt_id = f'{self._name}-{self._count:05}'
        self._deployment.seen.routers[attempt_id] = router.name
        key = site.REVOKED_KEY
        if self._rng.random() >= REVOKED_KEY_FRACTION:
            key = platform_site.KEY
        return observations.Sent(
            attempt_id=attempt_id,
            path=path,
            body=body,
            key=self._key or key,
            router=router.name,
            began_at=time.monotonic(),
            ended_at=0,
        )

    async def send(
        self, router: platform_site.Router, sent: observations.Sent, method: str
    ) -> observations.Sent:
        """Send a request and return its result."""
        headers = platform_site.caller_headers(sent.path, sent.attempt_id) | {
            names.AUTHORIZATION: f'Bearer {sent.key}',
            names.DEADLINE: f'{DEADLINE_S * 1000:.0f}',
        }
        if sent.prompt:
            headers[names.PROMPT] = sent.prompt
        outgoing = http_data.Outgoing(method, sent.path, headers, sent.body)
        failure = ''
        is_unsent = False
        try:
            incoming, answer = await self._client.call(
                router.cfg.listen, outgoing, HANG_S
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

    def _may_send_large(self, router: platform_site.Router) -> bool:
        """Return whether a router must know that the limit is raised."""
        seen = self._deployment.seen
        if seen.raised_at is None:
            return False
        now = time.monotonic()
        affected = frozenset((router.name, components.STORE))
        return now > seen.raised_at + RAISED_S and not (
            self._deployment.is_in_fault(affected)
            or seen.had_fault(affected, seen.raised_at - RAISED_S, now)
        )

    async def _send_next(self) -> None:
        if self._router is None:
            self._router = self._balancer.choose(self._rng)
        path, method, body = self._rng.choice(KINDS)
        if body and self._may_send_large(self._router):
            body = LARGE_BODY
        sent = self.new_request(self._router, path, body)
        disconnect_after_s = None
        if self._rng.random() < DISCONNECT_FRACTION:
            disconnect_after_s = MAX_DISCONNECT_S * self._rng.random()
        try:
            async with asyncio.timeout(disconnect_after_s):
                result = await self.send(self._router, sent, method)
        except TimeoutError:
            return
        self._deployment.seen.sent.append(result)
        if result.failure or result.headers.get('connection') == 'close':
            self._router = None
