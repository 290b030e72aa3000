"""Learnt distributions of ratings, and the chance that an answer is good.

Ratings are kept as mean and variance by model, kind of request and account.
A cell with few ratings leans on the wider cell above it, so a new account
starts from what is known of its kind of request instead of from nothing. A
rating is a noisy reading: an answer is believed between its rating and the mean
of its cell, by how noisy ratings are.
"""

import math
from typing import NamedTuple

from beryllug.core import cascade_data

LEAN = 8.0
KEPT = 400.0
FIRST_MEAN = 0.5
LAST_MEAN = 0.85
FIRST_VARIANCE = 0.05
LEAST_VARIANCE = 0.0004


class Spread(NamedTuple):
    """A believed distribution.

    Attributes:
        mean: Mean of the ratings.
        variance: Variance of the ratings.
        weight: How many ratings it rests on, those leant on included.
    """

    mean: float
    variance: float
    weight: float


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


def learn(
    state: cascade_data.CascadeState, place: Place, rating: float
) -> None:
    """Take a rating into the cell of its place and the wider ones."""
    for key in _keys(place):
        cell = state.cells.setdefault(key, cascade_data.Cell())
        fade = 1 - 1 / KEPT
        cell.weight = cell.weight * fade + 1
        cell.squares *= fade
        step = rating - cell.mean
        cell.mean += step / cell.weight
        cell.squares += step * (rating - cell.mean)


def spread(state: cascade_data.CascadeState, place: Place) -> Spread:
    """Return what is believed of the ratings at a place."""
    mean = LAST_MEAN if place.last else FIRST_MEAN
    belief = Spread(mean, FIRST_VARIANCE, 0)
    for key in _keys(place):
        cell = state.cells.get(key)
        if cell is not None:
            belief = _joined(belief, cell)
    return belief


def chance_rated(
    belief: Spread, rating: float, noise: float, least: float
) -> float:
    """Return the chance that a rated answer is good.

    Args:
        belief: Ratings at its place.
        rating: Its rating.
        noise: Variance of a rating around the true one.
        least: Least true rating of a good answer.
    """
    real = max(belief.variance - noise, LEAST_VARIANCE)
    trust = real / (real + noise)
    mean = belief.mean + trust * (rating - belief.mean)
    variance = real * (1 - trust) + (1 - trust) ** 2 * _mean_error(belief)
    return _above(mean, variance, least)


def chance_unrated(
    belief: Spread, noise: float, least: float, caution: float
) -> float:
    """Return the chance that an answer that nobody rated is good.

    Args:
        belief: Ratings at its place.
        noise: Variance of a rating around the true one.
        least: Least true rating of a good answer.
        caution: Standard errors by which the mean is lowered.
    """
    real = max(belief.variance - noise, LEAST_VARIANCE)
    mean = belief.mean - caution * math.sqrt(_mean_error(belief))
    return _above(mean, real, least)


def _mean_error(belief: Spread) -> float:
    return belief.variance / (belief.weight + 1)


def _joined(belief: Spread, cell: cascade_data.Cell) -> Spread:
    """Pool a cell with the wider belief, which counts as `LEAN` ratings."""
    weight = cell.weight + LEAN
    part = cell.weight / weight
    mean = belief.mean + part * (cell.mean - belief.mean)
    between = part * (1 - part) * (cell.mean - belief.mean) ** 2
    within = (cell.squares + LEAN * belief.variance) / weight
    return Spread(mean, within + between, weight)


def _above(mean: float, variance: float, least: float) -> float:
    scaled = (mean - least) / math.sqrt(2 * variance)
    return math.erfc(-scaled) / 2


def _keys(place: Place) -> tuple[cascade_data.CellKey, ...]:
    """Return the cells of a place, the widest first."""
    model, escalated = place.model, place.escalated
    return (
        cascade_data.CellKey(model, escalated),
        cascade_data.CellKey(model, escalated, place.kind),
        cascade_data.CellKey(model, escalated, place.kind, place.account_id),
    )
