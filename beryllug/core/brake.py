"""An entry's own brake on the candidate of a roll-out.

Evidence of the whole fleet takes a second or two to come back as a verdict.
A version that crashes or fails answer after answer must not reach callers
meanwhile: the entry that sees it gives out no further answer of it from the
very next dispatch on. A brake is no verdict. It ends by itself, at first for
one answer at a time, and the fleet's test decides what the failures mean.

The brake also keeps the entry's share of the exposure budget.
"""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# A sequential probability ratio test of "fails as often as not" against
# "fails as seldom as a version that may stay". Two failures without a success
# between them reach the threshold, which two chance failures of a version
# with five failures in a thousand do once in 40,000 answers.
BAD_RATE: Final = 0.5
TOLERATED_RATE: Final = 0.05
THRESHOLD: Final = 4.5
FAILURE_SCORE: Final = math.log(BAD_RATE / TOLERATED_RATE)
SUCCESS_SCORE: Final = math.log((1 - BAD_RATE) / (1 - TOLERATED_RATE))
# After a hold one failure is enough to brake again.
PROBATION_SCORE: Final = THRESHOLD - FAILURE_SCORE / 2
FIRST_HOLD_S: Final = 10.0
LONGEST_HOLD_S: Final = 320.0


class Outcome(StrEnum):
    """How an answer of the candidate ended, as far as the version did it."""

    GOOD = 'good'
    FAILED = 'failed'
    CRASHED = 'crashed'


@dataclass(slots=True)
class Brake:
    """State of one candidate at one entry.

    Attributes:
        total: Answers that may have been given out since the start.
        given: Answers that were dispatched since the start.
        open: Answers in flight.
        score: Logarithm of the likelihood ratio, not under 0.
        held_until: Second of the monotonic clock until which it holds.
        holds: Holds without a good stretch between them.
    """

    total: int = 0
    given: int = 0
    open: int = 0
    score: float = 0.0
    held_until: float = float('-inf')
    holds: int = 0


def deal(brake: Brake, total: int) -> None:
    """Take in the entry's share; a late message never lowers it."""
    brake.total = max(brake.total, total)


def remaining(brake: Brake, now: float) -> int:
    """Return how many answers may be given out to new sessions now."""
    if is_held(brake, now):
        return 0
    left = max(0, brake.total - brake.given)
    if brake.holds:
        # On probation one answer at a time is out, so a version that still
        # fails costs one answer a hold.
        return min(left, max(0, 1 - brake.open))
    return left


def is_held(brake: Brake, now: float) -> bool:
    """Tell whether the entry holds the candidate back."""
    return now < brake.held_until


def give(brake: Brake) -> None:
    """Count an answer that is dispatched, for pinned sessions too."""
    brake.given += 1
    brake.open += 1


def end(brake: Brake, outcome: Outcome, now: float) -> bool:
    """Take in how an answer ended.

    Returns:
        Whether the brake acted now, which is to be reported at once.
    """
    brake.open = max(0, brake.open - 1)
    if outcome is Outcome.GOOD:
        _relax(brake)
        return False
    score = brake.score + FAILURE_SCORE
    # A lost server is never waved through: one is enough.
    brake.score = THRESHOLD if outcome is Outcome.CRASHED else score
    if brake.score < THRESHOLD or is_held(brake, now):
        return False
    hold_s = min(FIRST_HOLD_S * 2**brake.holds, LONGEST_HOLD_S)
    brake.held_until = now + hold_s
    brake.holds += 1
    brake.score = PROBATION_SCORE
    return True


def _relax(brake: Brake) -> None:
    brake.score = max(0, brake.score + SUCCESS_SCORE)
    if brake.score == 0:
        brake.holds = 0
