"""Estimates of how long answers take, learnt from those that came.

Kept by version and class of request: mean time to first token on a server
with free slots, and mean time a request occupies a slot. Both are smoothed, so
they follow a new version within some tens of answers.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

SMOOTHING = 0.05
FIRST_SAMPLES = 20
DEFAULT_FIRST_TOKEN_S = 0.2
DEFAULT_SERVICE_S = 2.0
QUIET_SHARE = 0.9
RISE = 0.3


class Key(NamedTuple):
    """What an estimate is kept for.

    Attributes:
        name: The version as ``model:version`` or the name of the service.
        request_class: Class of the request.
    """

    name: str
    request_class: str


@dataclass(slots=True)
class Estimate:
    """Smoothed times, in seconds, and how many answers made them."""

    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    service_s: float = DEFAULT_SERVICE_S
    samples: int = 0
    quiet_samples: int = 0


@dataclass(slots=True)
class EstimateState:
    """All estimates of one process; only its routing service changes them."""

    known: dict[Key, Estimate] = field(default_factory=dict)


def get(state: EstimateState, key: Key) -> Estimate:
    """Return the estimate of a key, a default one at its first use."""
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
    """Take one answer.

    Args:
        state: The estimates to change.
        key: What the answer was of.
        first_token_s: Seconds from dispatch to the first token.
        service_s: Seconds from the first token to the end of the answer.
        load_share: Load of the server at dispatch over its slots. Only an
            answer from a server with free slots tells how long a first token
            takes by itself; the others contain the wait for a slot.
    """
    found = get(state, key)
    found.samples += 1
    weight = _weight(found.samples)
    found.service_s += weight * (service_s - found.service_s)
    if load_share <= QUIET_SHARE:
        found.quiet_samples += 1
        weight = _weight(found.quiet_samples)
        if first_token_s > found.first_token_s:
            weight *= RISE
        found.first_token_s += weight * (first_token_s - found.first_token_s)


def _weight(samples: int) -> float:
    """Return a plain mean's weight at first, then the smoothing constant."""
    if samples <= FIRST_SAMPLES:
        return 1 / samples
    return SMOOTHING
