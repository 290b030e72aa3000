"""Which requests may be retried, and how often.

Two rules apply. A request that is not idempotent is retried only if no byte of
it can have reached a backend server, or if the server states that it did not
run it; otherwise a booking slot could be held twice. And retries consume a
budget to which first attempts add: without it each request of an outage would
become several and keep the pool overloaded after it has recovered.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

RETRIES_PER_ATTEMPT = 0.1
MOST_TOKENS = 4.0
INITIAL_TOKENS = 2.0
MAX_ATTEMPTS = 3
# Attempts of a request whose server was lost. The next attempts may reach
# servers that were lost together with the first one.
MAX_ATTEMPTS_AFTER_CRASH = 6
BASE_DELAY_S = 0.01
MAX_DELAY_S = 0.5
BACKOFF_FACTOR = 4.0


class Failure(StrEnum):
    """How an attempt failed, by how far the request can have got."""

    NOT_SENT = 'not_sent'
    DECLINED = 'declined'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'


SURELY_NOT_RUN = frozenset((Failure.NOT_SENT, Failure.DECLINED))


class Denial(StrEnum):
    """Why a request is not retried."""

    MAY_HAVE_RUN = 'may_have_run'
    ANSWER_BEGUN = 'answer_begun'
    ATTEMPTS = 'attempts'
    BUDGET = 'budget'
    TIME = 'time'


@dataclass(slots=True)
class Budget:
    """Retry budget of this process for one pool.

    Attributes:
        tokens: Available retries; each first attempt adds a fraction of one.
        tries: First attempts so far.
        retries: Retries so far.
    """

    tokens: float = INITIAL_TOKENS
    tries: int = 0
    retries: int = 0


@dataclass(slots=True)
class RetryState:
    """Budgets of one process; only its routing service changes them."""

    pools: dict[str, Budget] = field(default_factory=dict)


class Attempt(NamedTuple):
    """A failed attempt.

    Attributes:
        pool: Pool that the attempt was sent to.
        failure: How it failed.
        number: Its number, 1 for the first attempt.
        repeatable: Whether the request is idempotent.
        answer_begun: Whether the caller already has a byte of the answer.
        needs_s: Expected duration of another attempt in seconds.
        complete_by: Time by which the whole answer is due.
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


class RetryAfter(NamedTuple):
    """The request may be retried after a delay in seconds."""

    delay_s: float


def record_first_attempt(state: RetryState, pool: str) -> None:
    """Count a first attempt, which adds a fraction of a retry to the budget.

    Called when a server was chosen: a request that finds no server puts no
    load on the pool and adds nothing.
    """
    budget = _budget(state, pool)
    budget.tries += 1
    budget.tokens = min(budget.tokens + RETRIES_PER_ATTEMPT, MOST_TOKENS)


def may_retry(
    state: RetryState, attempt: Attempt, now: float, jitter: float
) -> RetryAfter | Denial:
    """Decide whether a failed attempt is retried.

    Args:
        state: Budgets; a granted retry is taken from that of its pool.
        attempt: The failed attempt.
        now: The current time in seconds.
        jitter: A random number from 0 to 1, so that requests that failed
            together are not retried at the same moment.

    Returns:
        The delay before the next attempt, or why there is none.
    """
    budget = _budget(state, attempt.pool)
    if attempt.number == 1:
        # A failed first attempt adds nothing: in an outage all attempts
        # fail, and a tenth of them would be sent to the pool again.
        budget.tokens = max(budget.tokens - RETRIES_PER_ATTEMPT, 0)
    denial = _denial(attempt)
    if denial is not None:
        return denial
    delay_s = _delay_s(attempt, jitter)
    if now + delay_s + attempt.needs_s > attempt.complete_by:
        return Denial.TIME
    if attempt.crashed:
        # The other requests of the lost server must be answered, however
        # many there are. Each is tried alone, so they arrive no faster than
        # the remaining servers answer them.
        budget.retries += 1
        return RetryAfter(delay_s)
    if budget.tokens < 1:
        return Denial.BUDGET
    budget.tokens -= 1
    budget.retries += 1
    return RetryAfter(delay_s)


def did_not_run(failure: Failure) -> bool:
    """Return whether a request that failed this way surely did not run."""
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
        # An answer must never combine the texts of two runs.
        return Denial.ANSWER_BEGUN
    if not attempt.repeatable and not did_not_run(attempt.failure):
        # The server may have run it although its answer was lost. A second
        # run could hold a second booking slot.
        return Denial.MAY_HAVE_RUN
    max_attempts = MAX_ATTEMPTS_AFTER_CRASH if attempt.crashed else MAX_ATTEMPTS
    if attempt.number >= max_attempts:
        return Denial.ATTEMPTS
    return None


def _delay_s(attempt: Attempt, jitter: float) -> float:
    if attempt.failure is Failure.NOT_SENT and attempt.number == 1:
        return 0
    max_delay_s = min(
        BASE_DELAY_S * BACKOFF_FACTOR**attempt.number, MAX_DELAY_S
    )
    return max_delay_s * jitter


def _budget(state: RetryState, pool: str) -> Budget:
    budget = state.pools.get(pool)
    if budget is None:
        budget = Budget()
        state.pools[pool] = budget
    return budget
