"""How far the rating service can be relied on.

Three readings need no knowledge of the truth: how long ratings take and how
often they fail; two ratings of one answer, whose difference is their noise;
and the rating of an answer put to another request of the same account, which
must come out low. When such a mismatched pair is rated high, ratings no longer
tell good from bad, and the service counts as gone.
"""

from enum import StrEnum

from beryllug.core import cascade_data

SMOOTHING = 0.1
PROBE_SMOOTHING = 0.2
FAILURES_GONE = 3
BASE_GONE_S = 4.0
MOST_GONE_S = 64.0
DEVIATIONS = 3.0
FIRST_NOISE = 0.006
HARMLESS_EXCESS = 0.1
CHANCE_EXCESS = 0.16
MOST_EXCESS = 0.4
DOUBT = 1.25
PROBE_PART = 0.08
LONGEST_WAIT_S = 5.0


class Probe(StrEnum):
    """A rating that is asked for to learn about the rating service."""

    REPEAT = 'repeat'
    MISMATCH = 'mismatch'


def probe(draw: float) -> Probe | None:
    """Return the probe that goes with a rated answer, mostly none.

    Args:
        draw: A random number from 0 to 1.
    """
    if draw < PROBE_PART:
        return Probe.REPEAT
    if draw < 2 * PROBE_PART:
        return Probe.MISMATCH
    return None


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
    over = judge.failures - FAILURES_GONE
    if over >= 0:
        pause_s = min(BASE_GONE_S * 2**over, MOST_GONE_S)
        judge.asked_again_at = now + pause_s


def repeated(judge: cascade_data.Judge, first: float, second: float) -> None:
    """Take two ratings of one answer.

    Two that both stand at an end of the scale agree whatever the noise is.
    """
    if min(first, second) <= 0 or max(first, second) >= 1:
        return
    squared = (first - second) ** 2 / 2
    if judge.noise:
        judge.noise += SMOOTHING * (squared - judge.noise)
    else:
        judge.noise = (FIRST_NOISE + squared) / 2


def mismatched(judge: cascade_data.Judge, model: str, rating: float) -> None:
    """Take the rating of a model's answer put to another request."""
    known = judge.excess.get(model, HARMLESS_EXCESS)
    judge.excess[model] = known + PROBE_SMOOTHING * (rating - known)


def noise(judge: cascade_data.Judge) -> float:
    """Return the variance of a rating around the true one."""
    return judge.noise or FIRST_NOISE


def corrected(judge: cascade_data.Judge, model: str, rating: float) -> float:
    """Return a rating less what its model's answers are overrated by.

    Somewhat more is taken off, since the top of the scale is cut: an answer
    at the end of it may be overrated by less than a wrong one.
    """
    excess = judge.excess.get(model, 0)
    if excess < CHANCE_EXCESS:
        return rating
    return rating - DOUBT * (excess - HARMLESS_EXCESS)


def longest_s(judge: cascade_data.Judge) -> float:
    """Return how long a rating is waited for."""
    return judge.delay_s + DEVIATIONS * judge.deviation_s


def is_reachable(judge: cascade_data.Judge, now: float) -> bool:
    """Tell whether the service is asked; while it is gone, now and then."""
    return judge.failures < FAILURES_GONE or now >= judge.asked_again_at


def is_trusted(judge: cascade_data.Judge) -> bool:
    """Tell whether ratings still tell good answers from wrong ones.

    A service that lost this for one model's answers has lost it: what the
    models are rated is compared.
    """
    return all(excess < MOST_EXCESS for excess in judge.excess.values())


def is_usable(judge: cascade_data.Judge, now: float) -> bool:
    """Tell whether a rating can be waited for and believed."""
    in_time = longest_s(judge) <= LONGEST_WAIT_S
    return in_time and is_reachable(judge, now) and is_trusted(judge)
