"""The rates at which a candidate counts as bad.

The operator declares a maximum error rate and a minimum mean rating. The
other bounds are set here. All of them are also relative to the incumbent's
rate, so that a candidate is never rejected for failures that its incumbent
has as well.
"""

import functools
from typing import Final

from beryllug.core import config_data, evidence_data

CRASH_RATE: Final = 0.01
CRASH_RATIO: Final = 10
LATE_RATE: Final = 0.1
LATE_GAP: Final = 0.1
LOW_RATE: Final = 0.3
LOW_GAP: Final = 0.15
LOSS_RATIO: Final = 1.3
LOSS_GAP: Final = 0.05
DEFAULT_RATIO: Final = 2
# Prior for an incumbent without measurements: a number of answers and the
# share of them that were bad.
PRIOR_ANSWERS: Final = 40
PRIOR_ERROR_PART: Final = 0.2
PRIOR_LOSS_PART: Final = 0.5
PRIOR_LATE: Final = 0.05
PRIOR_LOW: Final = 0.1
PRIOR_CRASH_ANSWERS: Final = 2000
PRIOR_CRASHES: Final = 0.2


@functools.lru_cache
def of(
    declared: config_data.Rollout,
) -> tuple[evidence_data.BadRateBounds, ...]:
    """Return the bounds of a declared roll-out, one for each measure."""
    return tuple(
        _bounds_for(declared, measure) for measure in evidence_data.MEASURES
    )


def needs_rating(declared: config_data.Rollout) -> bool:
    """Return whether ratings are required to judge the candidate."""
    return declared.min_rating > 0


def _bounds_for(
    declared: config_data.Rollout, measure: evidence_data.Measure
) -> evidence_data.BadRateBounds:
    match measure:
        case evidence_data.Measure.ERROR:
            rate = declared.max_error_rate
            return _with_prior(rate, DEFAULT_RATIO, 0, PRIOR_ERROR_PART * rate)
        case evidence_data.Measure.CRASH:
            prior = evidence_data.Sample(PRIOR_CRASH_ANSWERS, PRIOR_CRASHES)
            return evidence_data.BadRateBounds(
                CRASH_RATE, CRASH_RATIO, 0, prior
            )
        case evidence_data.Measure.LATE:
            return _with_prior(LATE_RATE, DEFAULT_RATIO, LATE_GAP, PRIOR_LATE)
        case evidence_data.Measure.LOW:
            return _with_prior(LOW_RATE, DEFAULT_RATIO, LOW_GAP, PRIOR_LOW)
        case evidence_data.Measure.LOSS:
            rate = 1 - declared.min_rating
            return _with_prior(
                rate, LOSS_RATIO, LOSS_GAP, PRIOR_LOSS_PART * rate
            )


def _with_prior(
    rate: float, ratio: float, gap: float, prior: float
) -> evidence_data.BadRateBounds:
    sample = evidence_data.Sample(PRIOR_ANSWERS, PRIOR_ANSWERS * prior)
    return evidence_data.BadRateBounds(rate, ratio, gap, sample)
