"""What may be tried again, and how often.

Two rules. A request that is not idempotent is tried again only where no byte
of it can have reached a backend server, or the server says that it did not
run it; otherwise a slot is held twice. And retries draw on a budget that
first tries fill: in an outage each caller's request would else become several
and hold the pool down after it came back.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

RETRIES_PER_TRY = 0.1
MOST_TOKENS = 4.0
FIRST_TOKENS = 2.0
MAX_ATTEMPTS = 3
# Of a request whose server was lost: its trial may meet servers that were
# lost with the first one.
MAX_AFTER_CRASH = 6
BASE_DELAY_S = 0.01
MAX_DELAY_S = 0.5
GROWTH = 4.0


class Failure(StrEnum):
    """How an attempt failed, by how far it can have got."""

    NOT_SENT = 'not_sent'
    DECLINED = 'declined'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'


SURELY_NOT_RUN = frozenset((Failure.NOT_SENT, Failure.DECLINED))


class Denial(StrEnum):
    """Why a request is not tried again."""

    MAY_HAVE_RUN = 'may_have_run'
    ANSWER_BEGUN = 'answer_begun'
    ATTEMPTS = 'attempts'
    BUDGET = 'budget'
    TIME = 'time'


@dataclass(slots=True)
class Budget:
    """Retries that one pool may still get from this process.

    Attributes:
        tokens: Retries at hand; a first try adds a part of one.
        tries: First tries so far.
        retries: Retries so far.
    """

    tokens: float = FIRST_TOKENS
    tries: int = 0
    retries: int = 0


@dataclass(slots=True)
class RetryState:
    """The budgets of one process; only its routing service changes them."""

    pools: dict[str, Budget] = field(default_factory=dict)


class Attempt(NamedTuple):
    """A failed attempt.

    Attributes:
        pool: Pool that the attempt went to.
        failure: How it failed.
        number: Its number, 1 for the first try.
        repeatable: Whether the request is idempotent.
        answer_begun: Whether the caller already has a byte of the answer.
        needs_s: Seconds that another attempt is expected to take.
        complete_by: Second by which the whole answer is owed.
        crashed: Whether a server was lost while the request ran there.
    """

    pool: str
    failure: Failure
    number: int
    repeatable: bool
    answer_begun: bool
    needs_s: float
    complete_by: float
    crashed: bool = False


class Again(NamedTuple):
    """Try again, after a delay of so many seconds."""

    delay_s: float


def first_try(state: RetryState, pool: str) -> None:
    """Count a first try, which earns its pool a part of a retry.

    To be called when a server was chosen: a request that finds none puts no
    load on the pool and earns nothing.
    """
    budget = _budget(state, pool)
    budget.tries += 1
    budget.tokens = min(budget.tokens + RETRIES_PER_TRY, MOST_TOKENS)


def may_retry(
    state: RetryState, attempt: Attempt, now: float, jitter: float
) -> Again | Denial:
    """Decide whether a failed attempt is followed by another.

    Args:
        state: Budgets; a granted retry is taken from its pool's.
        attempt: The failed attempt.
        now: The present second.
        jitter: A random number from 0 to 1, so that requests which failed
            together do not come back together.

    Returns:
        The delay before the next attempt, or why there is none.
    """
    budget = _budget(state, attempt.pool)
    if attempt.number == 1:
        # A first try that failed earns nothing: in an outage every try
        # fails, and a tenth of them would go on hitting the pool again.
        budget.tokens = max(budget.tokens - RETRIES_PER_TRY, 0)
    denial = _denial(attempt)
    if denial is not None:
        return denial
    delay_s = _delay_s(attempt, jitter)
    if now + delay_s + attempt.needs_s > attempt.complete_by:
        return Denial.TIME
    if attempt.crashed:
        # The lost server's other requests must be answered, however many
        # they were: each is tried alone, so they come no faster than the
        # servers that are left answer them.
        budget.retries += 1
        return Again(delay_s)
    if budget.tokens < 1:
        return Denial.BUDGET
    budget.tokens -= 1
    budget.retries += 1
    return Again(delay_s)


def ran_for_sure_not(failure: Failure) -> bool:
    """Tell whether "not run" may be said of a request that failed so."""
    return failure in SURELY_NOT_RUN


def dump(state: RetryState) -> Mapping[str, Mapping[str, float]]:
    """Return the budgets for a state dump."""
    return {
        pool: {
            'tokens': budget.tokens,
            'tries': budget.tries,
            'retries': budget.retries,
        }
        for pool, budget in state.pools.items()
    }


def _denial(attempt: Attempt) -> Denial | None:
    if attempt.answer_begun:
        # Text of two runs must never be joined into one answer.
        return Denial.ANSWER_BEGUN
    if not attempt.repeatable and not ran_for_sure_not(attempt.failure):
        # The server may have run it although its answer was lost: a second
        # run would hold a second slot.
        return Denial.MAY_HAVE_RUN
    most = MAX_AFTER_CRASH if attempt.crashed else MAX_ATTEMPTS
    if attempt.number >= most:
        return Denial.ATTEMPTS
    return None


def _delay_s(attempt: Attempt, jitter: float) -> float:
    if attempt.failure is Failure.NOT_SENT and attempt.number == 1:
        return 0
    longest = min(BASE_DELAY_S * GROWTH**attempt.number, MAX_DELAY_S)
    return longest * jitter


def _budget(state: RetryState, pool: str) -> Budget:
    budget = state.pools.get(pool)
    if budget is None:
        budget = Budget()
        state.pools[pool] = budget
    return budget
