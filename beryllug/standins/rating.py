"""Stand-in of the rating service.

It finds the quality in an answer's text, where the engine stand-in put it,
and rates a little beside it, the same way each time for the same answer.
"""

import asyncio
import hashlib
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

import msgspec

from beryllug.drivers import http_data
from beryllug.standins import engine_answers, faults, party

UNKNOWN_QUALITY = 0.5
HASH_RANGE = 65535


class RatingCfg(NamedTuple):
    """Options.

    Attributes:
        work_s: Seconds that a rating takes.
        noise: How far a rating may lie beside the quality.
    """

    work_s: float = 0.0
    noise: float = 0.0


class _Ask(TypedDict):
    request_id: str
    model: str
    version: str
    answer: str


class RatingParty:
    """The rating service's behaviour."""

    def __init__(self, cfg: RatingCfg, switches: faults.Switches) -> None:
        """Begin with no rating given."""
        self.ratings: dict[str, list[float]] = {}
        self._cfg = cfg
        self._switches = switches

    async def handle(
        self, req: http_data.Request, answer: faults.Answer
    ) -> None:
        """Answer one request."""
        if (req.method, req.target) != ('POST', '/v1/ratings'):
            await answer.refuse(HTTPStatus.NOT_FOUND, 'not_found')
            return
        try:
            ask = msgspec.json.decode(req.body, type=_Ask)
        except msgspec.DecodeError:
            await answer.refuse(HTTPStatus.BAD_REQUEST, 'bad_rating')
            return
        present = self._switches.present
        await asyncio.sleep(self._cfg.work_s * present.slow_factor)
        rating = _clamp(self._rate(ask['answer']) + present.bias)
        given = self.ratings.setdefault(ask['request_id'], [])
        given.append(rating)
        await answer.respond_json(HTTPStatus.OK, {'rating': rating})

    def record(self) -> Any:
        """Return all ratings by request id."""
        return {'ratings': self.ratings}

    def crash(self) -> None:
        """Lose nothing."""

    def _rate(self, text: str) -> float:
        quality = engine_answers.quality_in(text)
        if quality is None:
            return UNKNOWN_QUALITY
        drawn = hashlib.sha256(text.encode()).digest()[:2]
        beside = int.from_bytes(drawn) / HASH_RANGE * 2 - 1
        return quality + beside * self._cfg.noise


def stand_in(cfg: RatingCfg | None = None) -> party.StandIn:
    """Make a rating service stand-in; `start` opens its sockets."""
    switches = faults.Switches()
    behaviour = RatingParty(cfg or RatingCfg(), switches)
    return party.StandIn(behaviour, switches)


def _clamp(rating: float) -> float:
    return min(max(rating, 0.0), 1.0)
