"""Estimates of the duration of answers, learnt from completed ones.

Estimates are kept by version and request class: the mean time to first token
on a server with free slots, and the mean time that a request occupies a slot.
Both are exponentially smoothed, so they adapt to a new version within some
tens of answers.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

SMOOTHING = 0.05
MEAN_SAMPLES = 20
DEFAULT_FIRST_TOKEN_S = 0.2
DEFAULT_SERVICE_S = 2.0
FREE_SLOTS_LOAD_SHARE = 0.9
RISE_FACTOR = 0.3


class Key(NamedTuple):
    """Key of an estimate.

    Attributes:
        name: The version as ``model:version`` or the name of the service.
        request_class: Class of the request.
    """

    name: str
    request_class: str


@dataclass(slots=True)
class Estimate:
    """Smoothed times, in seconds, and the number of answers behind them."""

    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    service_s: float = DEFAULT_SERVICE_S
    samples: int = 0
    quiet_samples: int = 0


@dataclass(slots=True)
class EstimateState:
    """All estimates of one process; only its routing service changes them."""

    known: dict[Key, Estimate] = field(default_factory=dict)


def get(state: EstimateState, key: Key) -> Estimate:
    """Return the estimate of a key; create a default one if missing."""
    found = state.known.get(key)
    if found is None:
        found = Estimate()
        state.known[key] = found
    return found


def observe(
    state: EstimateState,
    key: Key,
    first_token_s: float,
    service_s: float,
    load_share: float,
) -> None:
    """Update the estimate of a key with one answer.

    Args:
        state: The estimates to change.
        key: Version or service and request class of the answer.
        first_token_s: Seconds from dispatch to the first token.
        service_s: Seconds from the first token to the end of the answer.
        load_share: Load of the server at dispatch divided by its slots. Only
            answers from a server with free slots update the time to first
            token; that of the others includes the wait for a slot.
    """
    found = get(state, key)
    found.samples += 1
    weight = _weight(found.samples)
    found.service_s += weight * (service_s - found.service_s)
    if load_share <= FREE_SLOTS_LOAD_SHARE:
        found.quiet_samples += 1
        weight = _weight(found.quiet_samples)
        if first_token_s > found.first_token_s:
            weight *= RISE_FACTOR
        found.first_token_s += weight * (first_token_s - found.first_token_s)


def _weight(samples: int) -> float:
    """Return the weight of an arithmetic mean, later a constant one."""
    if samples <= MEAN_SAMPLES:
        return 1 / samples
    return SMOOTHING
