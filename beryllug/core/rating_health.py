"""Measures how reliable the rating service is.

Three measurements need no ground truth: the latency and failures of ratings;
two ratings of one answer, whose difference shows the noise; and the rating of
an answer paired with another request of the same account, which must be low.
If such mismatched pairs are rated high, ratings no longer separate good
answers from bad ones, and the service is treated as unavailable.
"""

from enum import StrEnum

from beryllug.core import cascade_data

SMOOTHING = 0.1
PROBE_SMOOTHING = 0.2
FAILURES_UNREACHABLE = 3
BASE_BACKOFF_S = 4.0
MAX_BACKOFF_S = 64.0
DEVIATIONS = 3.0
INITIAL_NOISE = 0.006
HARMLESS_EXCESS = 0.1
MIN_CORRECTED_EXCESS = 0.16
UNTRUSTED_EXCESS = 0.4
EXCESS_CORRECTION_FACTOR = 1.25
PROBE_FRACTION = 0.08
LONGEST_WAIT_S = 5.0


class Probe(StrEnum):
    """An additional rating that measures the rating service."""

    REPEAT = 'repeat'
    MISMATCH = 'mismatch'


def probe(draw: float) -> Probe | None:
    """Return the probe to send after a rated answer; usually none.

    Args:
        draw: A random number from 0 to 1.
    """
    if draw < PROBE_FRACTION:
        return Probe.REPEAT
    if draw < 2 * PROBE_FRACTION:
        return Probe.MISMATCH
    return None


def rated(judge: cascade_data.RatingServiceHealth, delay_s: float) -> None:
    """Record a rating that arrived after this delay."""
    judge.failures = 0
    step = delay_s - judge.delay_s
    judge.delay_s += SMOOTHING * step
    judge.deviation_s += SMOOTHING * (abs(step) - judge.deviation_s)


def missed(
    judge: cascade_data.RatingServiceHealth, waited_s: float, now: float
) -> None:
    """Record a rating that failed or did not arrive in time."""
    judge.failures += 1
    if waited_s > judge.delay_s:
        judge.delay_s += SMOOTHING * (waited_s - judge.delay_s)
    over = judge.failures - FAILURES_UNREACHABLE
    if over >= 0:
        pause_s = min(BASE_BACKOFF_S * 2**over, MAX_BACKOFF_S)
        judge.retry_at = now + pause_s


def repeated(
    judge: cascade_data.RatingServiceHealth, first: float, second: float
) -> None:
    """Record two ratings of one answer.

    A pair with a rating at an end of the scale is ignored: clipped ratings
    agree whatever the noise is.
    """
    if min(first, second) <= 0 or max(first, second) >= 1:
        return
    squared = (first - second) ** 2 / 2
    if judge.noise:
        judge.noise += SMOOTHING * (squared - judge.noise)
    else:
        judge.noise = (INITIAL_NOISE + squared) / 2


def mismatched(
    judge: cascade_data.RatingServiceHealth, model: str, rating: float
) -> None:
    """Record the rating of a model's answer to a different request."""
    known = judge.excess.get(model, HARMLESS_EXCESS)
    judge.excess[model] = known + PROBE_SMOOTHING * (rating - known)


def noise(judge: cascade_data.RatingServiceHealth) -> float:
    """Return the variance of a rating around the true rating."""
    return judge.noise or INITIAL_NOISE


def corrected(
    judge: cascade_data.RatingServiceHealth, model: str, rating: float
) -> float:
    """Return a rating minus the amount its model's answers are overrated.

    The measured excess is increased by a factor because ratings are clipped
    at the top of the scale: an answer near the top may be overrated by less
    than a wrong one.
    """
    excess = judge.excess.get(model, 0)
    if excess < MIN_CORRECTED_EXCESS:
        return rating
    return rating - EXCESS_CORRECTION_FACTOR * (excess - HARMLESS_EXCESS)


def longest_s(judge: cascade_data.RatingServiceHealth) -> float:
    """Return the longest time to wait for a rating."""
    return judge.delay_s + DEVIATIONS * judge.deviation_s


def is_reachable(judge: cascade_data.RatingServiceHealth, now: float) -> bool:
    """Return whether to send requests; an unreachable service is retried."""
    return judge.failures < FAILURES_UNREACHABLE or now >= judge.retry_at


def is_trusted(judge: cascade_data.RatingServiceHealth) -> bool:
    """Return whether ratings still separate good answers from wrong ones.

    A service that fails this for one model's answers fails it for all, since
    the ratings of the models are compared with each other.
    """
    return all(excess < UNTRUSTED_EXCESS for excess in judge.excess.values())


def is_usable(judge: cascade_data.RatingServiceHealth, now: float) -> bool:
    """Return whether ratings arrive in time and can be trusted."""
    in_time = longest_s(judge) <= LONGEST_WAIT_S
    return in_time and is_reachable(judge, now) and is_trusted(judge)
