"""Sequential comparison of a candidate version with its incumbent.

Evidence is evaluated after every report, so a test with a fixed sample size
would sooner or later stop a good version by chance. This is an anytime-valid
test by betting: if the candidate is good, the wealth plus the stake that is
not paid in yet is a nonnegative supermartingale that starts at 1. At any time,
the probability that a good candidate's wealth ever reached 1/a is at most a.

A block of answers of both versions multiplies the wealth by the likelihood
under "the candidate has rate c, the incumbent b" over the likelihood under
"both have the mean rate", weighted by their answers. Its expectation is at
most 1 for any rate that both share, also for one that changes: an outage that
hits both versions alike is not expected to raise the wealth. By convexity the
same holds for fractional outcomes, which admits ratings.

Two refinements keep the power. The bet is spread over several rates c, from
the lowest that counts as bad. And the stake is paid in over time, so that a
version that turns bad later is bet against with wealth that was not lost
while it was good.
"""

import itertools
import math
from collections.abc import Iterator
from typing import Final

from beryllug.core import evidence_data, rpc_data

ALTERNATIVES: Final = 4
MAX_ALTERNATIVE_RATE: Final = 0.9
MAX_BOUNDARY: Final = 0.95
MIN_RATE: Final = 1e-6
# Odds against a rate well above the boundary at which the candidate is
# acceptable for an account.
ACCEPTABLE_ODDS: Final = 20
ACCEPTABLE_LOG_ODDS: Final = math.log(ACCEPTABLE_ODDS)
# With fewer answers of the incumbent per answer of the candidate the versions
# are not compared, and the incumbent's rate of earlier blocks is used.
MIN_INCUMBENT_RATIO: Final = 0.125
UNPAIRED_BLOCK_ANSWERS: Final = 16
MAX_BASELINE_ANSWERS: Final = 4096
BASELINE_SIGMAS: Final = 2.0
BASELINE_PSEUDO_ANSWERS: Final = 16
# One part of the stake is available from the start, one is paid in with the
# density c / (c + n)^2 over the candidate's answers n, and the last, halved
# each time, when a comparison is reopened.
STAKE_SCHEDULE_ANSWERS: Final = 800
INITIAL_STAKE: Final = 0.66
SCHEDULED_STAKE: Final = 0.17
REOPEN_STAKE: Final = 0.17
MIN_CREDIT: Final = -2.0
MAX_BUDGET_GROWTH: Final = 16
MAX_CREDIT: Final = math.log(MAX_BUDGET_GROWTH)

SequentialTest = evidence_data.SequentialTest
Sample = evidence_data.Sample


def samples(
    counts: rpc_data.VersionEvidence,
) -> Iterator[evidence_data.Sample]:
    """Yield the counts of an entry host as one sample for each measure."""
    yield Sample(counts.answers, counts.errors)
    yield Sample(counts.answers, counts.crashes)
    yield Sample(counts.answers, counts.late)
    yield Sample(counts.rated, counts.low_ratings)
    yield Sample(counts.rated, counts.rated - counts.rating_sum)


def begin() -> SequentialTest:
    """Return the state of a test before its first answer."""
    return SequentialTest(wealth=(math.log(INITIAL_STAKE),) * ALTERNATIVES)


def observe(
    trial: SequentialTest,
    bad: evidence_data.BadRateBounds,
    candidate: Sample,
    incumbent: Sample,
) -> SequentialTest:
    """Return the test with answers of both versions added."""
    if not candidate.answers and not incumbent.answers:
        return trial
    joined = trial._replace(
        candidate=_add(trial.candidate, candidate),
        incumbent=_add(trial.incumbent, incumbent),
    )
    if _is_comparable(joined):
        return _close_block(joined, bad)
    if joined.candidate.answers >= UNPAIRED_BLOCK_ANSWERS:
        return _close_unpaired_block(joined, bad)
    return joined


def new_stage(trial: SequentialTest) -> SequentialTest:
    """Reset the evidence of the stage and keep the wealth."""
    return trial._replace(stage_ratio=0, min_stage_ratio=0)


def reopen(trial: SequentialTest, times: int) -> SequentialTest:
    """Restart the comparison with a further part of the stake.

    Args:
        trial: The test.
        times: How often it was reopened before.
    """
    paid = math.log(REOPEN_STAKE) - (times + 1) * math.log(2)
    wealth = tuple(_log_add(before, paid) for before in trial.wealth)
    return new_stage(trial)._replace(wealth=wealth, alarm=0)


def is_acceptable(trial: SequentialTest) -> bool:
    """Return whether the candidate is unlikely to be very bad."""
    return trial.high_rate_ratio <= -ACCEPTABLE_LOG_ODDS


def weight(trial: SequentialTest) -> float:
    """Return the logarithm of the wealth, the evidence of a bad candidate."""
    most = max(trial.wealth)
    # A wealth below 1 never reaches a threshold, so the mean is not needed.
    return _log_mean(trial.wealth) if most > 0 else most


def boundary(bad: evidence_data.BadRateBounds, incumbent_rate: float) -> float:
    """Return the lowest bad rate of a candidate, given its incumbent."""
    rate = max(bad.rate, bad.ratio * incumbent_rate, bad.gap + incumbent_rate)
    return min(rate, MAX_BOUNDARY)


def _is_comparable(trial: SequentialTest) -> bool:
    """Return whether the open block may be closed, whatever its outcomes."""
    least = MIN_INCUMBENT_RATIO * trial.candidate.answers
    return 0 < least <= trial.incumbent.answers


def _close_block(
    trial: SequentialTest, bad: evidence_data.BadRateBounds
) -> SequentialTest:
    """Close a block in which both versions answered."""
    rate = _incumbent_rate(trial, bad)
    bets = _alternatives(boundary(bad, rate))
    seen = trial.seen + trial.candidate.answers
    paid = math.log(_paid_in(seen) - _paid_in(trial.seen))
    wealth = tuple(
        _log_add(before, paid) + _compare(trial, bet, rate)
        for before, bet in zip(trial.wealth, bets, strict=True)
    )
    closed = trial._replace(seen=seen, wealth=wealth, alarm=0)
    return _start_next_block(closed, bad)


def _close_unpaired_block(
    trial: SequentialTest, bad: evidence_data.BadRateBounds
) -> SequentialTest:
    """Close a block with too few answers of the incumbent.

    Without a comparison, an outage that affects both versions looks like a
    bad candidate. It can raise the alarm, after which both versions receive
    requests again, but it does not change the wealth.
    """
    null = _incumbent_upper_rate(trial, bad)
    _, second, *_ = _alternatives(boundary(bad, _incumbent_rate(trial, bad)))
    high = max(second, min(2 * null, MAX_BOUNDARY))
    raised = trial.alarm + _log_ratio(trial.candidate, high, null)
    return _start_next_block(trial._replace(alarm=max(0, raised)), bad)


def _start_next_block(
    trial: SequentialTest, bad: evidence_data.BadRateBounds
) -> SequentialTest:
    """Add the block to the evidence that the candidate is good.

    This is an ordinary likelihood ratio against the incumbent's known rate.
    The wealth is no substitute: it allows for an equally bad incumbent, and
    falls only slowly for an equally good candidate.
    """
    rate = _incumbent_rate(trial, bad)
    least, high, *_ = _alternatives(boundary(bad, rate))
    ratio = _log_ratio(trial.candidate, least, rate)
    lean = trial.stage_ratio + ratio
    return trial._replace(
        candidate=Sample(),
        incumbent=Sample(),
        base=_decay(_add(trial.base, trial.incumbent)),
        stage_ratio=lean,
        min_stage_ratio=min(trial.min_stage_ratio, lean),
        credit=min(max(trial.credit - ratio, MIN_CREDIT), MAX_CREDIT),
        high_rate_ratio=trial.high_rate_ratio
        + _log_ratio(trial.candidate, high, rate),
    )


def _incumbent_rate(
    trial: SequentialTest, bad: evidence_data.BadRateBounds
) -> float:
    known = _add(trial.base, bad.prior)
    return max(known.bad / known.answers, MIN_RATE)


def _alternatives(least: float) -> Iterator[float]:
    """Yield the alternative rates in ascending order."""
    top = max(least, MAX_ALTERNATIVE_RATE)
    for step in range(ALTERNATIVES):
        yield least * (top / least) ** (step / (ALTERNATIVES - 1))


def _compare(
    trial: SequentialTest, rate: float, incumbent_rate: float
) -> float:
    """Return the log likelihood ratio of a block of both versions."""
    new, old = trial.candidate, trial.incumbent
    expected = rate * new.answers + incumbent_rate * old.answers
    null = expected / (new.answers + old.answers)
    return _log_ratio(new, rate, null) + _log_ratio(old, incumbent_rate, null)


def _incumbent_upper_rate(
    trial: SequentialTest, bad: evidence_data.BadRateBounds
) -> float:
    """Return an upper confidence bound on the incumbent's rate.

    The few answers of the incumbent in the open block can only raise it.
    """
    known = _add(trial.base, bad.prior)
    rate = _incumbent_rate(trial, bad)
    spread = math.sqrt(rate * (1 - rate) / known.answers)
    upper = rate + BASELINE_SIGMAS * spread + 1 / known.answers
    pseudo = Sample(BASELINE_PSEUDO_ANSWERS, BASELINE_PSEUDO_ANSWERS * upper)
    joined = _add(pseudo, trial.incumbent)
    return min(max(upper, joined.bad / joined.answers), MAX_BOUNDARY)


def _log_ratio(sample: Sample, rate: float, null: float) -> float:
    good = sample.answers - sample.bad
    return sample.bad * math.log(rate / null) + good * math.log(
        (1 - rate) / (1 - null)
    )


def _paid_in(answers: float) -> float:
    """Return the part of the stake that is paid in after these answers."""
    return SCHEDULED_STAKE * answers / (STAKE_SCHEDULE_ANSWERS + answers)


def _decay(sample: Sample) -> Sample:
    if sample.answers <= MAX_BASELINE_ANSWERS:
        return sample
    return Sample(sample.answers / 2, sample.bad / 2)


def _add(left: Sample, right: Sample) -> Sample:
    return Sample(left.answers + right.answers, left.bad + right.bad)


def _log_add(left: float, right: float) -> float:
    high, low = max(left, right), min(left, right)
    return high + math.log1p(math.exp(low - high))


def _log_mean(logs: tuple[float, ...]) -> float:
    total = list(itertools.accumulate(logs, _log_add))[-1]
    return total - math.log(len(logs))
