"""How far the rating service can be relied on.

Three readings need no knowledge of the truth: how long ratings take and how
often they fail; two ratings of one answer, whose difference is their noise;
and the rating of an answer put to another request of the same account, which
must come out low. When such a mismatched pair is rated high, ratings no longer
tell good from bad, and the service counts as gone.
"""

from beryllug.core import cascade_data

SMOOTHING = 0.1
FAILURES_GONE = 3
GONE_S = 5.0
DEVIATIONS = 3.0
FIRST_NOISE = 0.01
HARMLESS_EXCESS = 0.15
MOST_EXCESS = 0.4


def rated(judge: cascade_data.Judge, delay_s: float) -> None:
    """Take a rating that came after so many seconds."""
    judge.failures = 0
    step = delay_s - judge.delay_s
    judge.delay_s += SMOOTHING * step
    judge.deviation_s += SMOOTHING * (abs(step) - judge.deviation_s)


def missed(judge: cascade_data.Judge, waited_s: float, now: float) -> None:
    """Take a rating that failed or did not come in time."""
    judge.failures += 1
    if waited_s > judge.delay_s:
        judge.delay_s += SMOOTHING * (waited_s - judge.delay_s)
    if judge.failures >= FAILURES_GONE:
        judge.asked_again_at = now + GONE_S


def repeated(judge: cascade_data.Judge, first: float, second: float) -> None:
    """Take two ratings of one answer."""
    squared = (first - second) ** 2 / 2
    if judge.noise:
        judge.noise += SMOOTHING * (squared - judge.noise)
    else:
        judge.noise = (FIRST_NOISE + squared) / 2


def mismatched(judge: cascade_data.Judge, model: str, rating: float) -> None:
    """Take the rating of a model's answer put to another request."""
    known = judge.excess.get(model, 0)
    judge.excess[model] = known + SMOOTHING * (rating - known)


def noise(judge: cascade_data.Judge) -> float:
    """Return the variance of a rating around the true one."""
    return judge.noise or FIRST_NOISE


def corrected(judge: cascade_data.Judge, model: str, rating: float) -> float:
    """Return a rating less what its model's answers are overrated by."""
    excess = judge.excess.get(model, 0) - HARMLESS_EXCESS
    return rating - max(excess, 0)


def longest_s(judge: cascade_data.Judge) -> float:
    """Return how long a rating is waited for."""
    return judge.delay_s + DEVIATIONS * judge.deviation_s


def is_usable(judge: cascade_data.Judge, model: str, now: float) -> bool:
    """Tell whether a rating can be waited for and believed."""
    if judge.failures >= FAILURES_GONE and now < judge.asked_again_at:
        return False
    return judge.excess.get(model, 0) < MOST_EXCESS
