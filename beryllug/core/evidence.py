"""Sequential comparison of a candidate version with its incumbent.

Evidence is looked at after every report, so a test with a fixed sample size
would sooner or later stop a good version by chance. This is a test by
betting: a wealth that a good candidate can't be expected to raise, at any
time. Whenever it is looked at, the chance that a good candidate's wealth was
ever 1/a or more is at most a.

A block of answers of both versions multiplies the wealth by the likelihood
under "the candidate has rate c, the incumbent b" over the likelihood under
"both have the rate in between", weighted by their answers. Its expectation
is at most 1 for any rate that both share, also for one that changes: an
outage that hits both versions alike raises nobody's wealth. The same holds
for parts of answers, by convexity, which admits ratings.

Two refinements keep the power. The bet is spread over several rates c, from
the least that counts as bad. And the wealth is paid in over time: a version
that turns bad is measured from money that has not been lost on its good time.
"""

import itertools
import math
from collections.abc import Iterator
from typing import Final

from beryllug.core import evidence_data, rpc_data

ALTERNATIVES: Final = 4
TOP_RATE: Final = 0.9
HIGHEST_BOUNDARY: Final = 0.95
LEAST_RATE: Final = 1e-6
# Odds against a rate well over the boundary that clear an account.
SUITS_ODDS: Final = 20
SUITS_AT: Final = math.log(SUITS_ODDS)
# With fewer answers of the incumbent than this share there is nothing to
# compare with, and its rate is taken from memory.
COMPARED_SHARE: Final = 0.125
MEMORY_BLOCK: Final = 16
MEMORY_ANSWERS: Final = 4096
MEMORY_SIGMAS: Final = 2.0
MEMORY_WEIGHT: Final = 16
# Part of the wealth is there from the start; a part is paid in with the
# density c / (c + n)^2 over the candidate's answers n, and the last one,
# halved each time, when a comparison is reopened.
PAY_IN_ANSWERS: Final = 800
FIRST_PAY: Final = 0.66
LATER_PAY: Final = 0.17
REOPEN_PAY: Final = 0.17
LEAST_CREDIT: Final = -2.0
MOST_GROWTH: Final = 16
MOST_CREDIT: Final = math.log(MOST_GROWTH)

Trial = evidence_data.Trial
Sample = evidence_data.Sample


def samples(
    counts: rpc_data.VersionEvidence,
) -> Iterator[evidence_data.Sample]:
    """Yield what an entry counted, one sample for each measure."""
    yield Sample(counts.answers, counts.errors)
    yield Sample(counts.answers, counts.crashes)
    yield Sample(counts.answers, counts.late)
    yield Sample(counts.rated, counts.low_ratings)
    yield Sample(counts.rated, counts.rated - counts.rating_sum)


def begin() -> Trial:
    """Return the state of a test before its first answer."""
    return Trial(wealth=(math.log(FIRST_PAY),) * ALTERNATIVES)


def observe(
    trial: Trial,
    bad: evidence_data.Bad,
    candidate: Sample,
    incumbent: Sample,
) -> Trial:
    """Take in answers of both versions."""
    if not candidate.answers and not incumbent.answers:
        return trial
    joined = trial._replace(
        candidate=_add(trial.candidate, candidate),
        incumbent=_add(trial.incumbent, incumbent),
    )
    if _is_comparable(joined):
        return _close(joined, bad)
    if joined.candidate.answers >= MEMORY_BLOCK:
        return _close_alone(joined, bad)
    return joined


def new_stage(trial: Trial) -> Trial:
    """Begin the evidence of a stage anew; the wealth stays."""
    return trial._replace(lean=0, best=0)


def reopen(trial: Trial, times: int) -> Trial:
    """Begin to compare anew, with a further part of the wealth.

    Args:
        trial: The test.
        times: How often it was reopened before.
    """
    paid = math.log(REOPEN_PAY) - (times + 1) * math.log(2)
    wealth = tuple(_log_add(before, paid) for before in trial.wealth)
    return new_stage(trial)._replace(wealth=wealth, alarm=0)


def suits(trial: Trial) -> bool:
    """Tell whether it is unlikely by now that the candidate is very bad."""
    return trial.gross <= -SUITS_AT


def weight(trial: Trial) -> float:
    """Return the logarithm of the wealth, the evidence of a bad candidate."""
    most = max(trial.wealth)
    # A wealth under its stake decides nothing; its mean needs no computing.
    return _log_mean(trial.wealth) if most > 0 else most


def boundary(bad: evidence_data.Bad, incumbent_rate: float) -> float:
    """Return the least rate that counts as bad beside an incumbent."""
    rate = max(bad.rate, bad.ratio * incumbent_rate, bad.gap + incumbent_rate)
    return min(rate, HIGHEST_BOUNDARY)


def _is_comparable(trial: Trial) -> bool:
    """Tell whether the open block may be closed; outcomes play no part."""
    least = COMPARED_SHARE * trial.candidate.answers
    return 0 < least <= trial.incumbent.answers


def _close(trial: Trial, bad: evidence_data.Bad) -> Trial:
    """Close a block in which both versions answered."""
    rate = _incumbent_rate(trial, bad)
    bets = _alternatives(boundary(bad, rate))
    seen = trial.seen + trial.candidate.answers
    paid = math.log(_paid(seen) - _paid(trial.seen))
    wealth = tuple(
        _log_add(before, paid) + _compare(trial, bet, rate)
        for before, bet in zip(trial.wealth, bets, strict=True)
    )
    closed = trial._replace(seen=seen, wealth=wealth, alarm=0)
    return _next_block(closed, bad)


def _close_alone(trial: Trial, bad: evidence_data.Bad) -> Trial:
    """Close a block in which the candidate answered nearly all.

    With nothing to compare with, an outage that would hit both versions
    looks like a bad candidate. It can raise the alarm, after which both
    versions answer again; it is no bet against the candidate.
    """
    null = _remembered(trial, bad)
    _, second, *_ = _alternatives(boundary(bad, _incumbent_rate(trial, bad)))
    high = max(second, min(2 * null, HIGHEST_BOUNDARY))
    raised = trial.alarm + _log_ratio(trial.candidate, high, null)
    return _next_block(trial._replace(alarm=max(0, raised)), bad)


def _next_block(trial: Trial, bad: evidence_data.Bad) -> Trial:
    """Take the block into the evidence that the candidate is good.

    That is an ordinary likelihood ratio against the incumbent's known rate:
    the bets allow for an incumbent that is as bad, and lose little on a
    candidate that is as good.
    """
    rate = _incumbent_rate(trial, bad)
    least, high, *_ = _alternatives(boundary(bad, rate))
    ratio = _log_ratio(trial.candidate, least, rate)
    lean = trial.lean + ratio
    return trial._replace(
        candidate=Sample(),
        incumbent=Sample(),
        base=_fade(_add(trial.base, trial.incumbent)),
        lean=lean,
        best=min(trial.best, lean),
        credit=min(max(trial.credit - ratio, LEAST_CREDIT), MOST_CREDIT),
        gross=trial.gross + _log_ratio(trial.candidate, high, rate),
    )


def _incumbent_rate(trial: Trial, bad: evidence_data.Bad) -> float:
    known = _add(trial.base, bad.prior)
    return max(known.bad / known.answers, LEAST_RATE)


def _alternatives(least: float) -> Iterator[float]:
    """Yield the rates that are bet on, from the least one upwards."""
    top = max(least, TOP_RATE)
    for step in range(ALTERNATIVES):
        yield least * (top / least) ** (step / (ALTERNATIVES - 1))


def _compare(trial: Trial, rate: float, incumbent_rate: float) -> float:
    """Return the log likelihood ratio of a block of both versions."""
    new, old = trial.candidate, trial.incumbent
    expected = rate * new.answers + incumbent_rate * old.answers
    null = expected / (new.answers + old.answers)
    return _log_ratio(new, rate, null) + _log_ratio(old, incumbent_rate, null)


def _remembered(trial: Trial, bad: evidence_data.Bad) -> float:
    """Return a rate that the incumbent hardly exceeded.

    What little the incumbent answered lately may only raise it.
    """
    known = _add(trial.base, bad.prior)
    rate = _incumbent_rate(trial, bad)
    spread = math.sqrt(rate * (1 - rate) / known.answers)
    upper = rate + MEMORY_SIGMAS * spread + 1 / known.answers
    lately = Sample(MEMORY_WEIGHT, MEMORY_WEIGHT * upper)
    joined = _add(lately, trial.incumbent)
    return min(max(upper, joined.bad / joined.answers), HIGHEST_BOUNDARY)


def _log_ratio(sample: Sample, rate: float, null: float) -> float:
    good = sample.answers - sample.bad
    return sample.bad * math.log(rate / null) + good * math.log(
        (1 - rate) / (1 - null)
    )


def _paid(answers: float) -> float:
    """Return the share of the later wealth that is paid in by then."""
    return LATER_PAY * answers / (PAY_IN_ANSWERS + answers)


def _fade(sample: Sample) -> Sample:
    if sample.answers <= MEMORY_ANSWERS:
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
