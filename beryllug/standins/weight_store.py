"""Stand-in of the weight store: rate-limited metadata of versions."""

import time
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib import parse as url_parse

from beryllug.drivers import http_data
from beryllug.standins import engine_responses, faults, http_stand_in, rate

ROOT = '/v1/weights/'
GIB = 1024**3


class WeightStoreCfg(NamedTuple):
    """Options.

    Attributes:
        stored: Available ``model@version`` names; empty accepts any.
        size_bytes: Size of each version.
        reads_per_s: Limit on reads per second.
    """

    stored: tuple[str, ...] = ()
    size_bytes: int = GIB
    reads_per_s: float = 20.0


class WeightStoreBehaviour:
    """Behaviour of the weight store."""

    def __init__(self, cfg: WeightStoreCfg) -> None:
        """Create a store with a full token bucket."""
        self.reads: dict[str, int] = {}
        self._cfg = cfg
        self._bucket = rate.Bucket(cfg.reads_per_s, time.monotonic())

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        wait_s = self._bucket.take(time.monotonic())
        if wait_s:
            headers = {'retry-after': f'{wait_s:.3f}'}
            await response.refuse(
                HTTPStatus.TOO_MANY_REQUESTS, 'rate_limited', headers
            )
            return
        path = url_parse.unquote(req.target.removeprefix(ROOT))
        name = path.replace('/', '@')
        self.reads[name] = self.reads.get(name, 0) + 1
        known = not self._cfg.stored or name in self._cfg.stored
        if not known or not req.target.startswith(ROOT):
            not_found = faults.error('not_found', name)
            await response.respond_json(HTTPStatus.NOT_FOUND, not_found)
            return
        document = {
            'size_bytes': self._cfg.size_bytes,
            'digest': engine_responses.digest(name),
        }
        await response.respond_json(HTTPStatus.OK, document)

    def record(self) -> Any:
        """Return the reads by name and the number of rejected reads."""
        return {'reads': self.reads, 'refused': self._bucket.refused}

    def crash(self) -> None:
        """Lose no state in a crash."""


def stand_in(cfg: WeightStoreCfg | None = None) -> http_stand_in.StandIn:
    """Create a weight store stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    behaviour = WeightStoreBehaviour(cfg or WeightStoreCfg())
    return http_stand_in.StandIn(behaviour, injector)
