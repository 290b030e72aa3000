"""A local circuit breaker of an entry host for the candidate of a roll-out.

A verdict based on the evidence of the whole fleet takes a second or two. In
the meantime a version that crashes or fails repeatedly must not reach further
callers, so the entry host that observes the failures stops dispatching to it
at once. This is no verdict: the block expires by itself, at first for one
answer at a time, and the fleet-wide test decides about the version.

The state also tracks the entry host's share of the exposure budget.
"""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# A sequential probability ratio test of a bad failure rate against the
# highest acceptable one. Two failures without a success between them reach
# the threshold. For a version with five failures in a thousand this happens by
# chance once in 40,000 answers.
BAD_FAILURE_RATE: Final = 0.5
ACCEPTABLE_FAILURE_RATE: Final = 0.05
THRESHOLD: Final = 4.5
FAILURE_SCORE: Final = math.log(BAD_FAILURE_RATE / ACCEPTABLE_FAILURE_RATE)
SUCCESS_SCORE: Final = math.log(
    (1 - BAD_FAILURE_RATE) / (1 - ACCEPTABLE_FAILURE_RATE)
)
# After a block a single failure blocks the candidate again.
HALF_OPEN_SCORE: Final = THRESHOLD - FAILURE_SCORE / 2
FIRST_BLOCK_S: Final = 10.0
LONGEST_BLOCK_S: Final = 320.0


class Outcome(StrEnum):
    """The outcome of an answer, as far as the candidate caused it."""

    GOOD = 'good'
    FAILED = 'failed'
    CRASHED = 'crashed'


@dataclass(slots=True)
class CircuitBreaker:
    """State of one candidate at one entry host.

    Attributes:
        total: Total answers allowed by the exposure budget since the start.
        given: Answers that were dispatched since the start.
        open: Answers in flight.
        score: Logarithm of the likelihood ratio, at least 0.
        blocked_until: Monotonic time until which the candidate is blocked.
        holds: Consecutive blocks since the score was last 0.
    """

    total: int = 0
    given: int = 0
    open: int = 0
    score: float = 0.0
    blocked_until: float = float('-inf')
    holds: int = 0


def raise_total(brake: CircuitBreaker, total: int) -> None:
    """Update the allowed total; a delayed message never lowers it."""
    brake.total = max(brake.total, total)


def remaining(brake: CircuitBreaker, now: float) -> int:
    """Return how many answers new sessions may get from the candidate."""
    if is_blocked(brake, now):
        return 0
    left = max(0, brake.total - brake.given)
    if brake.holds:
        # After a block only one answer at a time is dispatched, so a version
        # that still fails costs one answer for each block.
        return min(left, max(0, 1 - brake.open))
    return left


def is_blocked(brake: CircuitBreaker, now: float) -> bool:
    """Return whether the candidate is blocked."""
    return now < brake.blocked_until


def record_dispatch(brake: CircuitBreaker) -> None:
    """Count a dispatched answer, including those of pinned sessions."""
    brake.given += 1
    brake.open += 1


def record_outcome(brake: CircuitBreaker, outcome: Outcome, now: float) -> bool:
    """Record the outcome of an answer.

    Returns:
        Whether this blocked the candidate, which is to be reported at once.
    """
    brake.open = max(0, brake.open - 1)
    if outcome is Outcome.GOOD:
        _record_success(brake)
        return False
    score = brake.score + FAILURE_SCORE
    # A single crash of a backend server is enough to block the candidate.
    brake.score = THRESHOLD if outcome is Outcome.CRASHED else score
    if brake.score < THRESHOLD or is_blocked(brake, now):
        return False
    block_s = min(FIRST_BLOCK_S * 2**brake.holds, LONGEST_BLOCK_S)
    brake.blocked_until = now + block_s
    brake.holds += 1
    brake.score = HALF_OPEN_SCORE
    return True


def _record_success(brake: CircuitBreaker) -> None:
    brake.score = max(0, brake.score + SUCCESS_SCORE)
    if brake.score == 0:
        brake.holds = 0
