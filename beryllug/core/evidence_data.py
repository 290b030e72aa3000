"""Data types of the comparison of a candidate with its incumbent."""

from enum import StrEnum
from typing import NamedTuple


class Measure(StrEnum):
    """A compared metric; each is a share of bad answers."""

    ERROR = 'error'
    CRASH = 'crash'
    LATE = 'late'
    LOW = 'low_rating'
    LOSS = 'rating_loss'


MEASURES = tuple(Measure)
RATINGS = (Measure.LOW, Measure.LOSS)


class Sample(NamedTuple):
    """Answers of one version and how many of them were bad.

    Attributes:
        answers: Answers that were measured.
        bad: Number of bad answers; fractional for the rating loss.
    """

    answers: float = 0
    bad: float = 0


class BadRateBounds(NamedTuple):
    """Lower bounds on the rate at which a candidate counts as bad.

    The greatest of the three applies, so a candidate is never rejected for
    failures that its incumbent has as well.

    Attributes:
        rate: Absolute rate.
        ratio: Multiple of the incumbent's rate.
        gap: Distance above the incumbent's rate.
        prior: Assumed answers of an incumbent without measurements.
    """

    rate: float
    ratio: float
    gap: float
    prior: Sample


class SequentialTest(NamedTuple):
    """State of the sequential test of one measure.

    Attributes:
        wealth: Logarithm of the wealth of each alternative rate.
        candidate: Candidate's answers in the open block.
        incumbent: Incumbent's answers in the open block.
        base: Incumbent's answers in the closed blocks; halved when there are
            too many, so that old ones lose weight.
        seen: Candidate's answers in the closed blocks in which both versions
            answered.
        stage_ratio: Log likelihood ratio of bad to good since the start of the
            stage.
        min_stage_ratio: Minimum of the above ratio, at most 0.
        credit: Evidence that the candidate is good. It is bounded, so that
            it falls soon after a good candidate turns bad.
        high_rate_ratio: Log likelihood ratio of a rate well above the lowest
            bad one to good, since the start of the test.
        alarm: Log likelihood ratio of very bad to the upper bound of the
            incumbent's rate, at least 0.
    """

    wealth: tuple[float, ...]
    candidate: Sample = Sample()
    incumbent: Sample = Sample()
    base: Sample = Sample()
    seen: float = 0
    stage_ratio: float = 0
    min_stage_ratio: float = 0
    credit: float = 0
    high_rate_ratio: float = 0
    alarm: float = 0
