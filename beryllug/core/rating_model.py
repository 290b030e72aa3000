"""Learnt distributions of true ratings, and the chance of a good answer.

A rating is a noisy reading of an answer's true rating, and most answers that
matter lie near the least rating of a good one. So the distribution of *true*
ratings is learnt, as a histogram: each rating adds to the bins what it says of
them, given what was known before (an online expectation maximisation). Nothing
is supposed of its shape; a normal distribution and a mixture of two were
measured, and were off by 8 and by 2 percent where answers are given out.

Cells are kept by model, kind of request and account. A cell with few ratings
leans on the wider one above it, so a new account starts from what is known of
its kind of request.
"""

import functools
import math
import operator
from collections.abc import Sequence
from typing import NamedTuple

from beryllug.core import cascade_data

BINS = cascade_data.BINS
LEAN = 10.0
KEPT = 1000
FADE = 1 - 1 / KEPT
AUDIT_FADE = 1 - 1 / (2 * KEPT)
AUDIT_LEAN = 100.0
KERNELS = 64
LIKELIHOODS = 4096
RATING_DIGITS = 2
NOISE_STEP = 0.001
CENTERS = tuple((place + 0.5) / BINS for place in range(BINS))

Row = Sequence[float]


class Place(NamedTuple):
    """A stage of a request, for which ratings are alike.

    Attributes:
        model: Model of the stage.
        escalated: Whether an earlier stage was passed over.
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
    """What is believed of the true ratings at a place.

    Attributes:
        mass: Part of the answers in each bin.
        weight: How many ratings that rests on, those leant on included.
    """

    mass: Row
    weight: float


class Reading(NamedTuple):
    """How ratings are to be read.

    Attributes:
        noise: Variance of a rating around the true one.
        least: Least true rating of a good answer.
    """

    noise: float
    least: float


def learn(
    state: cascade_data.CascadeState,
    place: Place,
    rating: float,
    noise: float,
) -> None:
    """Take a rating into the cell of its place and the wider ones."""
    posterior = _posterior(belief(state, place).mass, rating, noise)
    for key in _keys(place):
        _add(state.cells.setdefault(key, cascade_data.Cell()), posterior, FADE)


def audit(
    ledger: cascade_data.Ledger, known: Belief, rating: float, reading: Reading
) -> None:
    """Take the rating of an answer that was drawn for an audit.

    Args:
        ledger: The ledger of its cascade.
        known: What was believed of it when it was given out.
        rating: The new rating.
        reading: How ratings are read.
    """
    prior = known.mass
    if ledger.audit.weight:
        prior = _leant(ledger.audit, known.mass)[0]
    posterior = _posterior(prior, rating, reading.noise)
    _add(ledger.audit, posterior, AUDIT_FADE)
    meant = chance(known, reading)
    ledger.audit_meant = ledger.audit_meant * AUDIT_FADE + meant


def audited_error(ledger: cascade_data.Ledger, least: float) -> float:
    """Return how far audited answers are better than they were meant to be.

    Answers whose chance was overrated are chosen more often, so the chances
    by which they were chosen come out too high on the mean.
    """
    good = _dot(ledger.audit.mass, _good(least))
    weight = ledger.audit.weight + AUDIT_LEAN
    return (good - ledger.audit_meant) / weight


def _add(cell: cascade_data.Cell, posterior: Row, fade: float) -> None:
    cell.count += 1
    cell.weight = cell.weight * fade + 1
    cell.mass = [
        old * fade + new for old, new in zip(cell.mass, posterior, strict=True)
    ]


def belief(state: cascade_data.CascadeState, place: Place) -> Belief:
    """Return what is believed of the true ratings at a place."""
    first = LAST_SHAPE if place.last else FIRST_SHAPE
    kind_key, account_key = _keys(place)
    kind = state.cells.get(kind_key)
    account = state.cells.get(account_key)
    if kind is None:
        return Belief(first, LEAN)
    if account is None:
        return Belief(*_leant(kind, first))
    # One decision asks several times, and most learn nothing in between.
    known = account.known
    if known is None or known.counts != (kind.count, account.count):
        mass, total = _leant(account, _leant(kind, first)[0])
        counts = (kind.count, account.count)
        known = cascade_data.Known(counts, mass, total)
        account.known = known
    return Belief(known.mass, known.weight)


def weight(state: cascade_data.CascadeState, place: Place) -> float:
    """Return how many ratings of its kind of request a place has had."""
    cell = state.cells.get(_keys(place)[0])
    return cell.weight if cell else 0


def after_rating(known: Belief, rating: float, noise: float) -> Belief:
    """Return what is believed of one answer once it has a rating."""
    return Belief(_posterior(known.mass, rating, noise), known.weight)


def chance(known: Belief, reading: Reading, caution: float = 0) -> float:
    """Return the chance that an answer is good.

    Args:
        known: What is believed of it.
        reading: How ratings are read.
        caution: Standard errors by which the chance is lowered, or raised
            when negative.
    """
    good = _dot(known.mass, _good(reading.least))
    error = math.sqrt(max(good * (1 - good), 0) / (known.weight + 1))
    return min(max(good - caution * error, 0), 1)


def expected_best(known: Belief, reading: Reading, otherwise: float) -> float:
    """Return the mean of the better of an answer's chance and another value.

    Over the ratings that the answer may get: what can be had by rating it and
    then choosing.

    Args:
        known: What is believed of its place.
        reading: How ratings are read.
        otherwise: The value to be had without the answer.
    """
    good = tuple(map(operator.mul, known.mass, _good(reading.least)))
    return sum(
        max(_dot(column, good), otherwise * _dot(column, known.mass))
        for column in _kernel(_rounded(reading.noise))
    )


def _leant(cell: cascade_data.Cell, wider: Row) -> tuple[Row, float]:
    total = cell.weight + LEAN
    mass = [
        (own + LEAN * other) / total
        for own, other in zip(cell.mass, wider, strict=True)
    ]
    return mass, total


def _posterior(mass: Row, rating: float, noise: float) -> Row:
    likelihood = _likelihood(round(rating, RATING_DIGITS), _rounded(noise))
    joint = tuple(map(operator.mul, mass, likelihood))
    total: float = sum(joint)
    return [part / total for part in joint]


@functools.lru_cache(maxsize=LIKELIHOODS)
def _likelihood(rating: float, noise: float) -> Row:
    """Return the chance of a rating given each bin, but for a factor."""
    return tuple(
        math.exp(-((rating - center) ** 2) / (2 * noise)) for center in CENTERS
    )


def _dot(one: Row, other: Row) -> float:
    total: float = sum(map(operator.mul, one, other))
    return total


def _rounded(noise: float) -> float:
    """Round a variance so that few kernels are ever computed."""
    return max(round(noise / NOISE_STEP), 1) * NOISE_STEP


@functools.lru_cache(maxsize=KERNELS)
def _kernel(noise: float) -> tuple[Row, ...]:
    """Return for each bin of the rating its chance given each true bin."""
    columns = []
    for center in CENTERS:
        raw = [
            math.exp(-((rating - center) ** 2) / (2 * noise))
            for rating in CENTERS
        ]
        total = sum(raw)
        columns.append([part / total for part in raw])
    return tuple(zip(*columns, strict=True))


@functools.lru_cache(maxsize=KERNELS)
def _good(least: float) -> Row:
    """Return which part of each bin is good."""
    return tuple(
        min(max(place + 1 - least * BINS, 0), 1) for place in range(BINS)
    )


def _shape(rise: float, fall: float) -> Row:
    raw = [center**rise * (1 - center) ** fall for center in CENTERS]
    total = sum(raw)
    return tuple(part / total for part in raw)


# What is supposed of a model that nothing is known of: smooth, for a step in
# it would stay in what is learnt; the last stage is declared the strongest.
FIRST_SHAPE = _shape(rise=1, fall=0.5)
LAST_SHAPE = _shape(rise=7, fall=1)


def _keys(place: Place) -> tuple[cascade_data.CellKey, ...]:
    """Return the cells of a place: of its kind, and of its account in it."""
    model, escalated, kind, account_id, _ = place
    return (
        cascade_data.CellKey(model, escalated, kind),
        cascade_data.CellKey(model, escalated, kind, account_id),
    )
