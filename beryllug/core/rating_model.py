"""Learnt distributions of true ratings, and the probability of a good answer.

A rating is a noisy measurement of an answer's true rating, and most answers
that matter lie near the minimum rating of a good one. So the distribution of
*true* ratings is learnt, as a histogram: each rating adds its posterior to the
bins, with the previous estimate as the prior (online expectation
maximization). No shape is assumed: a normal distribution and a mixture of two
were off by 8 and by 2 percent near the ratings at which answers are returned.

Cells are kept by model, kind of request and account. A cell with few ratings
is shrunk towards its parent cell, so a new account starts from the ratings of
its kind of request.
"""

import functools
import math
import operator
from collections.abc import Sequence
from typing import NamedTuple

from beryllug.core import cascade_data

BINS = cascade_data.BINS
PRIOR_WEIGHT = 10.0
KEPT = 1000
DECAY = 1 - 1 / KEPT
AUDIT_DECAY = 1 - 1 / (2 * KEPT)
AUDIT_PRIOR_WEIGHT = 100.0
KERNEL_CACHE_SIZE = 64
LIKELIHOOD_CACHE_SIZE = 4096
RATING_DIGITS = 2
NOISE_STEP = 0.001
CENTERS = tuple((place + 0.5) / BINS for place in range(BINS))

Row = Sequence[float]


class RatingKey(NamedTuple):
    """The attributes that answers with a common rating distribution share.

    Attributes:
        model: Model of the stage.
        escalated: Whether the answer of an earlier stage was rejected.
        kind: Kind of request.
        account_id: The client account.
        last: Whether it is the last stage, declared the strongest.
    """

    model: str
    escalated: bool
    kind: str
    account_id: str
    last: bool


class Belief(NamedTuple):
    """Estimated distribution of the true ratings.

    Attributes:
        mass: Fraction of the answers in each bin.
        weight: Number of ratings behind it, including those of the prior.
    """

    mass: Row
    weight: float


class RatingParameters(NamedTuple):
    """Parameters for interpreting ratings.

    Attributes:
        noise: Variance of a rating around the true rating.
        least: Minimum true rating of a good answer.
    """

    noise: float
    least: float


def learn(
    state: cascade_data.CascadeState,
    place: RatingKey,
    rating: float,
    noise: float,
) -> None:
    """Add a rating to its cell and to the parent cell."""
    posterior = _posterior(belief(state, place).mass, rating, noise)
    for key in _keys(place):
        _add(state.cells.setdefault(key, cascade_data.Cell()), posterior, DECAY)


def audit(
    ledger: cascade_data.CascadeQuality,
    known: Belief,
    rating: float,
    reading: RatingParameters,
) -> None:
    """Record the rating of an answer that was drawn for an audit.

    Args:
        ledger: The quality record of its cascade.
        known: Its estimated distribution when it was returned.
        rating: The new rating.
        reading: Noise and minimum rating.
    """
    prior = known.mass
    if ledger.audit.weight:
        prior = _shrunk(ledger.audit, known.mass)[0]
    posterior = _posterior(prior, rating, reading.noise)
    _add(ledger.audit, posterior, AUDIT_DECAY)
    expected = chance(known, reading)
    ledger.audit_expected = ledger.audit_expected * AUDIT_DECAY + expected


def audit_error(ledger: cascade_data.CascadeQuality, least: float) -> float:
    """Return the actual minus the predicted quality of audited answers.

    Answers whose probability was overestimated are chosen more often, so the
    predicted probabilities of the chosen answers are too high on average.
    """
    good = _dot(ledger.audit.mass, _good_fractions(least))
    weight = ledger.audit.weight + AUDIT_PRIOR_WEIGHT
    return (good - ledger.audit_expected) / weight


def _add(cell: cascade_data.Cell, posterior: Row, decay: float) -> None:
    cell.count += 1
    cell.weight = cell.weight * decay + 1
    cell.mass = [
        old * decay + new for old, new in zip(cell.mass, posterior, strict=True)
    ]


def belief(state: cascade_data.CascadeState, place: RatingKey) -> Belief:
    """Return the estimated distribution of the true ratings of a stage."""
    root_prior = LAST_STAGE_PRIOR if place.last else DEFAULT_PRIOR
    kind_key, account_key = _keys(place)
    kind = state.cells.get(kind_key)
    account = state.cells.get(account_key)
    if kind is None:
        return Belief(root_prior, PRIOR_WEIGHT)
    if account is None:
        return Belief(*_shrunk(kind, root_prior))
    # Cached, since one decision reads it several times, usually without a
    # new rating in between.
    known = account.known
    if known is None or known.counts != (kind.count, account.count):
        mass, total = _shrunk(account, _shrunk(kind, root_prior)[0])
        counts = (kind.count, account.count)
        known = cascade_data.CachedEstimate(counts, mass, total)
        account.known = known
    return Belief(known.mass, known.weight)


def weight(state: cascade_data.CascadeState, place: RatingKey) -> float:
    """Return the decayed number of ratings of a stage and kind of request."""
    cell = state.cells.get(_keys(place)[0])
    return cell.weight if cell else 0


def after_rating(known: Belief, rating: float, noise: float) -> Belief:
    """Return the estimate for one answer after it was rated."""
    return Belief(_posterior(known.mass, rating, noise), known.weight)


def chance(
    known: Belief, reading: RatingParameters, confidence_z: float = 0
) -> float:
    """Return the probability that an answer is good.

    Args:
        known: Its estimated distribution.
        reading: Noise and minimum rating.
        confidence_z: Standard errors by which the probability is lowered, or
            raised if negative.
    """
    good = _dot(known.mass, _good_fractions(reading.least))
    error = math.sqrt(max(good * (1 - good), 0) / (known.weight + 1))
    return min(max(good - confidence_z * error, 0), 1)


def expected_best(
    known: Belief, reading: RatingParameters, alternative: float
) -> float:
    """Return the expected value of rating an answer and then choosing.

    This is the mean, over the ratings that the answer may get, of the greater
    of its probability of being good and the alternative.

    Args:
        known: Estimated distribution of the answer.
        reading: Noise and minimum rating.
        alternative: The value of not using the answer.
    """
    good = tuple(map(operator.mul, known.mass, _good_fractions(reading.least)))
    return sum(
        max(_dot(column, good), alternative * _dot(column, known.mass))
        for column in _kernel(_rounded(reading.noise))
    )


def _shrunk(cell: cascade_data.Cell, wider: Row) -> tuple[Row, float]:
    total = cell.weight + PRIOR_WEIGHT
    mass = [
        (own + PRIOR_WEIGHT * other) / total
        for own, other in zip(cell.mass, wider, strict=True)
    ]
    return mass, total


def _posterior(mass: Row, rating: float, noise: float) -> Row:
    likelihood = _likelihood(round(rating, RATING_DIGITS), _rounded(noise))
    joint = tuple(map(operator.mul, mass, likelihood))
    total: float = sum(joint)
    return [part / total for part in joint]


@functools.lru_cache(maxsize=LIKELIHOOD_CACHE_SIZE)
def _likelihood(rating: float, noise: float) -> Row:
    """Return the likelihood of a rating for each bin, up to a factor."""
    return tuple(
        math.exp(-((rating - center) ** 2) / (2 * noise)) for center in CENTERS
    )


def _dot(one: Row, other: Row) -> float:
    total: float = sum(map(operator.mul, one, other))
    return total


def _rounded(noise: float) -> float:
    """Round a variance so that few distinct kernels are computed."""
    return max(round(noise / NOISE_STEP), 1) * NOISE_STEP


@functools.lru_cache(maxsize=KERNEL_CACHE_SIZE)
def _kernel(noise: float) -> tuple[Row, ...]:
    """Return the probability of each rating bin given each true bin."""
    columns = []
    for center in CENTERS:
        raw = [
            math.exp(-((rating - center) ** 2) / (2 * noise))
            for rating in CENTERS
        ]
        total = sum(raw)
        columns.append([part / total for part in raw])
    return tuple(zip(*columns, strict=True))


@functools.lru_cache(maxsize=KERNEL_CACHE_SIZE)
def _good_fractions(least: float) -> Row:
    """Return the fraction of each bin that is good."""
    return tuple(
        min(max(place + 1 - least * BINS, 0), 1) for place in range(BINS)
    )


def _prior(rise: float, fall: float) -> Row:
    raw = [center**rise * (1 - center) ** fall for center in CENTERS]
    total = sum(raw)
    return tuple(part / total for part in raw)


# Priors for models without ratings. They are smooth, since a step in the prior
# would remain in the learnt distribution. The last stage has a higher prior
# because it is declared the strongest.
DEFAULT_PRIOR = _prior(rise=1, fall=0.5)
LAST_STAGE_PRIOR = _prior(rise=7, fall=1)


def _keys(place: RatingKey) -> tuple[cascade_data.CellKey, ...]:
    """Return the keys of the cells of its kind and of its account."""
    model, escalated, kind, account_id, _ = place
    return (
        cascade_data.CellKey(model, escalated, kind),
        cascade_data.CellKey(model, escalated, kind, account_id),
    )
