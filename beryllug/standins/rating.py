"""Stand-in of the rating service.

It reads the quality that the engine stand-in put into the response text and
adds noise, which is deterministic for a given text.
"""

import asyncio
import hashlib
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

import msgspec

from beryllug.drivers import http_data
from beryllug.standins import engine_responses, faults, http_stand_in

UNKNOWN_QUALITY = 0.5
HASH_RANGE = 65535


class RatingCfg(NamedTuple):
    """Options.

    Attributes:
        work_s: Seconds per rating.
        noise: Maximum deviation of a rating from the quality.
    """

    work_s: float = 0.0
    noise: float = 0.0


class _RatingRequest(TypedDict):
    request_id: str
    model: str
    version: str
    answer: str


class RatingBehaviour:
    """Behaviour of the rating service."""

    def __init__(self, cfg: RatingCfg, injector: faults.FaultInjector) -> None:
        """Create a service without ratings."""
        self.ratings: dict[str, list[float]] = {}
        self._cfg = cfg
        self._injector = injector

    async def handle(
        self, req: http_data.Request, response: faults.Response
    ) -> None:
        """Handle one request."""
        if (req.method, req.target) != ('POST', '/v1/ratings'):
            await response.refuse(HTTPStatus.NOT_FOUND, 'not_found')
            return
        try:
            parsed = msgspec.json.decode(req.body, type=_RatingRequest)
        except msgspec.DecodeError:
            await response.refuse(HTTPStatus.BAD_REQUEST, 'bad_rating')
            return
        active = self._injector.active
        await asyncio.sleep(self._cfg.work_s * active.slow_factor)
        rating = _clamp(self._rate(parsed['answer']) + active.bias)
        history = self.ratings.setdefault(parsed['request_id'], [])
        history.append(rating)
        await response.respond_json(HTTPStatus.OK, {'rating': rating})

    def record(self) -> Any:
        """Return all ratings by request id."""
        return {'ratings': self.ratings}

    def crash(self) -> None:
        """Lose no state in a crash."""

    def _rate(self, text: str) -> float:
        quality = engine_responses.quality_in(text)
        if quality is None:
            return UNKNOWN_QUALITY
        drawn = hashlib.sha256(text.encode()).digest()[:2]
        offset = int.from_bytes(drawn) / HASH_RANGE * 2 - 1
        return quality + offset * self._cfg.noise


def stand_in(cfg: RatingCfg | None = None) -> http_stand_in.StandIn:
    """Create a rating service stand-in; `start` opens its sockets."""
    injector = faults.FaultInjector()
    behaviour = RatingBehaviour(cfg or RatingCfg(), injector)
    return http_stand_in.StandIn(behaviour, injector)


def _clamp(rating: float) -> float:
    return min(max(rating, 0.0), 1.0)
