"""A seeded truth about answers, and a rating service that reads it.

Whether the small model suffices depends on the kind of request, the client
account and chance; a request that the small model fails is harder for the
large one as well. The true rating of an answer is drawn around a good or a
poor level and is not normal, as the learner takes it to be. Faults of the
rating service begin half way through a run or stand from its start.
"""

import math
import pathlib
import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec

from beryllug.bench import workload

DECLARED = pathlib.Path(__file__).with_name('quality.json')
ACCOUNT_SPREAD = 0.6
HARDER = 1.0
GOOD_SHAPE = (14.0, 2.5)
POOR_SHAPE = (5.0, 5.0)
WRONG_SHAPE = (2.0, 25.0)
NOISE = 0.08
TOKENS_SPREAD = 0.5
LEAST_TOKENS = 8
DELAY_S = 0.3
DELAY_SPREAD = 0.3
BIAS = 0.2
DROP = 0.4
FLAT = 0.8
SLOW = 60.0


class Kind(NamedTuple):
    """One kind of request that is asked of the cascade.

    Attributes:
        name: Its name, and its class of targets.
        part: Part of the requests.
        small: Chance that the small model's answer is good.
        large: Chance that the large model's answer is good.
        tokens: Mean tokens of an answer.
        first_token_ms: Target of the first token.
        total_ms: Target of the whole answer.
    """

    name: str
    part: float
    small: float
    large: float
    tokens: int
    first_token_ms: int
    total_ms: int


class Model(NamedTuple):
    """One stage of the cascade.

    Attributes:
        name: Its name.
        cost_micro: Price of a thousand tokens.
        token_s: Seconds a token.
        first_token_s: Seconds to the first token.
    """

    name: str
    cost_micro: int
    token_s: float
    first_token_s: float


class Declared(TypedDict):
    """The file's content."""

    min_rating: float
    kinds: tuple[Kind, ...]
    models: tuple[Model, ...]


class Fault(StrEnum):
    """What is wrong with the rating service."""

    NONE = 'healthy'
    SLOW = 'slow'
    GONE = 'gone'
    HIGH = 'rates all too high'
    PARTIAL = 'rates the small model too high'
    LOW = 'rates all too low'
    FLAT = 'rates all alike'


class Case(NamedTuple):
    """One request with what no policy knows of it.

    Attributes:
        number: Its number.
        at: Second of its arrival.
        account: Number of the client account.
        kind: What it is.
        tokens: Tokens of an answer.
        ratings: True rating of each model's answer.
    """

    number: int
    at: float
    account: int
    kind: Kind
    tokens: int
    ratings: tuple[float, ...]


@dataclass(slots=True)
class Rater:
    """The rating service.

    Attributes:
        rng: Source of its noise.
        fault: What is wrong with it.
        since: Second from which that is so.
    """

    rng: random.Random
    fault: Fault = Fault.NONE
    since: float = 0.0


def load() -> Declared:
    """Return the declared kinds and models."""
    return msgspec.json.decode(DECLARED.read_bytes(), type=Declared)


def cases(
    declared: Declared, per_s: float, until: float, seed: int
) -> list[Case]:
    """Draw the requests of a run."""
    rng = random.Random(seed)
    parts = workload.account_parts()
    shifts = {
        (account, kind.name): rng.gauss(0, ACCOUNT_SPREAD)
        for account in range(workload.ACCOUNTS)
        for kind in declared['kinds']
    }
    drawn: list[Case] = []
    at = rng.expovariate(per_s)
    while at < until:
        account = rng.choices(range(workload.ACCOUNTS), parts)[0]
        kind = rng.choices(
            declared['kinds'], [kind.part for kind in declared['kinds']]
        )[0]
        shift = shifts[(account, kind.name)]
        drawn.append(
            Case(
                len(drawn),
                at,
                account,
                kind,
                _tokens(kind, rng),
                _ratings(kind, shift, rng),
            )
        )
        at += rng.expovariate(per_s)
    return drawn


def rate(
    rater: Rater, model: int, true_rating: float, now: float
) -> tuple[float | None, float]:
    """Rate an answer.

    Args:
        rater: The service.
        model: Number of the model that answered; 0 is the small one.
        true_rating: The answer's true rating.
        now: The present second.

    Returns:
        The rating, or None when the service is gone, and seconds until then.
    """
    delay_s = DELAY_S * rater.rng.lognormvariate(0, DELAY_SPREAD)
    noisy = true_rating + rater.rng.gauss(0, NOISE)
    match rater.fault if now >= rater.since else Fault.NONE:
        case Fault.SLOW:
            delay_s += SLOW
        case Fault.GONE:
            return None, delay_s
        case Fault.HIGH:
            noisy += BIAS
        case Fault.LOW:
            noisy -= DROP
        case Fault.PARTIAL if model == 0:
            noisy += BIAS
        case Fault.FLAT:
            noisy += FLAT - true_rating
    return min(max(noisy, 0), 1), delay_s


def wrong_rating(rater: Rater) -> float:
    """Draw the true rating of an answer put to another request."""
    return rater.rng.betavariate(*WRONG_SHAPE)


def _tokens(kind: Kind, rng: random.Random) -> int:
    spread = rng.lognormvariate(-(TOKENS_SPREAD**2) / 2, TOKENS_SPREAD)
    return max(int(kind.tokens * spread), LEAST_TOKENS)


def _ratings(kind: Kind, shift: float, rng: random.Random) -> tuple[float, ...]:
    small_good = rng.random() < _shifted(kind.small, shift)
    harder = 0 if small_good else -HARDER
    large_good = rng.random() < _shifted(kind.large, shift / 2 + harder)
    return _rating(small_good, rng), _rating(large_good, rng)


def _rating(good: bool, rng: random.Random) -> float:
    return rng.betavariate(*(GOOD_SHAPE if good else POOR_SHAPE))


def _shifted(chance: float, shift: float) -> float:
    logit = math.log(chance / (1 - chance)) + shift
    return 1 / (1 + math.exp(-logit))
