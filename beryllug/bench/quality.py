"""Seeded ground truth for answer quality, and a simulated rating service.

Whether the small model gives a good answer depends on the kind of request, the
client account and chance; if it does not, the large model is less likely to as
well. True ratings follow a beta distribution for good or for poor answers, not
the normal distribution that the learner assumes. Faults of the rating service
begin at a set time of the run.
"""

import math
import pathlib
import random
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypedDict

import msgspec

from beryllug.bench import workload

QUALITY_PATH = pathlib.Path(__file__).with_name('quality.json')
ACCOUNT_LOGIT_SIGMA = 0.6
LARGE_MODEL_LOGIT_PENALTY = 1.0
GOOD_BETA = (14.0, 2.5)
POOR_BETA = (5.0, 5.0)
MISMATCHED_BETA = (2.0, 25.0)
NOISE_SIGMA = 0.08
TOKENS_SIGMA = 0.5
MIN_TOKENS = 8
DELAY_S = 0.3
DELAY_SIGMA = 0.3
HIGH_BIAS = 0.2
LOW_BIAS = 0.4
FLAT_RATING = 0.8
SLOW_DELAY_S = 60.0


class Kind(NamedTuple):
    """One kind of request to the cascade.

    Attributes:
        name: Its name and the name of its request class.
        fraction: Fraction of all requests.
        small: Probability that the answer of the small model is good.
        large: Probability that the answer of the large model is good.
        tokens: Mean tokens of an answer.
        first_token_ms: Target time to the first token.
        total_ms: Target time of the whole answer.
    """

    name: str
    fraction: float
    small: float
    large: float
    tokens: int
    first_token_ms: int
    total_ms: int


class Model(NamedTuple):
    """One stage of the cascade.

    Attributes:
        name: Its name.
        cost_micro: Price of a thousand tokens, in millionths.
        token_s: Seconds per token.
        first_token_s: Seconds to the first token.
    """

    name: str
    cost_micro: int
    token_s: float
    first_token_s: float


class Declared(TypedDict):
    """The content of ``quality.json``."""

    min_rating: float
    kinds: tuple[Kind, ...]
    models: tuple[Model, ...]


class Fault(StrEnum):
    """A fault of the rating service."""

    NONE = 'healthy'
    SLOW = 'slow'
    GONE = 'gone'
    HIGH = 'rates all too high'
    PARTIAL = 'rates the small model too high'
    LOW = 'rates all too low'
    FLAT = 'rates all alike'


class Case(NamedTuple):
    """One request with its ground truth, which policies cannot see.

    Attributes:
        number: Sequence number.
        at: Arrival time.
        account: Number of the client account.
        kind: Its kind.
        tokens: Tokens of an answer.
        ratings: True rating of the answer of each model.
    """

    number: int
    at: float
    account: int
    kind: Kind
    tokens: int
    ratings: tuple[float, ...]


@dataclass(slots=True)
class RatingService:
    """A simulated rating service.

    Attributes:
        rng: Source of noise and delays.
        fault: Its fault.
        since: Time at which the fault begins.
    """

    rng: random.Random
    fault: Fault = Fault.NONE
    since: float = 0.0


def load() -> Declared:
    """Return the declared kinds and models."""
    return msgspec.json.decode(QUALITY_PATH.read_bytes(), type=Declared)


def cases(
    declared: Declared, per_s: float, until: float, seed: int
) -> list[Case]:
    """Draw the requests of a run."""
    rng = random.Random(seed)
    shares = workload.account_shares()
    shifts = {
        (account, kind.name): rng.gauss(0, ACCOUNT_LOGIT_SIGMA)
        for account in range(workload.ACCOUNTS)
        for kind in declared['kinds']
    }
    drawn: list[Case] = []
    at = rng.expovariate(per_s)
    while at < until:
        account = rng.choices(range(workload.ACCOUNTS), shares)[0]
        kind = rng.choices(
            declared['kinds'], [kind.fraction for kind in declared['kinds']]
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
    rater: RatingService, model: int, true_rating: float, now: float
) -> tuple[float | None, float]:
    """Rate an answer.

    Args:
        rater: The service.
        model: Index of the model that answered; 0 is the small one.
        true_rating: The answer's true rating.
        now: The current time.

    Returns:
        The rating, or None when the service is down, and the delay in seconds.
    """
    delay_s = DELAY_S * rater.rng.lognormvariate(0, DELAY_SIGMA)
    measured = true_rating + rater.rng.gauss(0, NOISE_SIGMA)
    match rater.fault if now >= rater.since else Fault.NONE:
        case Fault.SLOW:
            delay_s += SLOW_DELAY_S
        case Fault.GONE:
            return None, delay_s
        case Fault.HIGH:
            measured += HIGH_BIAS
        case Fault.LOW:
            measured -= LOW_BIAS
        case Fault.PARTIAL if model == 0:
            measured += HIGH_BIAS
        case Fault.FLAT:
            measured += FLAT_RATING - true_rating
    return min(max(measured, 0), 1), delay_s


def mismatched_rating(rater: RatingService) -> float:
    """Draw the true rating of an answer to a different request."""
    return rater.rng.betavariate(*MISMATCHED_BETA)


def _tokens(kind: Kind, rng: random.Random) -> int:
    spread = rng.lognormvariate(-(TOKENS_SIGMA**2) / 2, TOKENS_SIGMA)
    return max(int(kind.tokens * spread), MIN_TOKENS)


def _ratings(kind: Kind, shift: float, rng: random.Random) -> tuple[float, ...]:
    small_good = rng.random() < _shift_logit(kind.small, shift)
    penalty = 0 if small_good else -LARGE_MODEL_LOGIT_PENALTY
    large_good = rng.random() < _shift_logit(kind.large, shift / 2 + penalty)
    return _rating(small_good, rng), _rating(large_good, rng)


def _rating(good: bool, rng: random.Random) -> float:
    return rng.betavariate(*(GOOD_BETA if good else POOR_BETA))


def _shift_logit(chance: float, shift: float) -> float:
    logit = math.log(chance / (1 - chance)) + shift
    return 1 / (1 + math.exp(-logit))
