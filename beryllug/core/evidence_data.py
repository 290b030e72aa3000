"""Records of the comparison of a candidate with its incumbent."""

from enum import StrEnum
from typing import NamedTuple


class Measure(StrEnum):
    """What is compared; each is a share of answers that ended badly."""

    ERROR = 'error'
    CRASH = 'crash'
    LATE = 'late'
    LOW = 'low_rating'
    LOSS = 'rating_loss'


MEASURES = tuple(Measure)
RATINGS = (Measure.LOW, Measure.LOSS)


class Sample(NamedTuple):
    """Answers of one version and how many of them ended badly.

    Attributes:
        answers: Answers that were measured.
        bad: How many ended badly; for the loss of rating a sum of parts.
    """

    answers: float = 0
    bad: float = 0


class Bad(NamedTuple):
    """From which rate on a candidate counts as bad.

    The rate is the greatest of the three, so a candidate is never blamed for
    what its incumbent does as well.

    Attributes:
        rate: Least rate that counts as bad.
        ratio: Multiple of the incumbent's rate.
        gap: Distance above the incumbent's rate.
        prior: What is assumed of an incumbent before it was measured.
    """

    rate: float
    ratio: float
    gap: float
    prior: Sample


class Trial(NamedTuple):
    """State of the sequential test of one measure.

    Attributes:
        wealth: Logarithm of the wealth of each alternative rate.
        candidate: Candidate's answers of the open block.
        incumbent: Incumbent's answers of the open block.
        base: Incumbent's answers of the closed blocks; old ones fade.
        seen: Candidate's answers of the closed blocks.
        lean: Logarithm of the likelihood ratio of bad against good since
            the present stage began.
        best: Least value that `lean` has had.
        credit: Evidence that the candidate is good, within bounds, so that
            it is soon used up when a good candidate turns bad.
        gross: Logarithm of the likelihood ratio of a rate well over the
            least bad one against good, since the beginning.
        alarm: Logarithm of the likelihood ratio of very bad against what is
            remembered of the incumbent, not under 0.
    """

    wealth: tuple[float, ...]
    candidate: Sample = Sample()
    incumbent: Sample = Sample()
    base: Sample = Sample()
    seen: float = 0
    lean: float = 0
    best: float = 0
    credit: float = 0
    gross: float = 0
    alarm: float = 0
