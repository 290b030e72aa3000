"""Choice of the model size, and escalation of answers to a larger model.

A small model costs a tenth or less of a large one and suffices for half of the
requests. Its answer states a confidence in its headers, before any of it is
forwarded to the caller; an answer of low confidence is dropped then and the
request is sent to the largest model. The required confidence grows with the
answer's value, which follows from the rank of the request.
"""

import math
from collections.abc import Mapping, Sequence
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

# Confidence (0 to 100) below which a request is sent to a larger model, by
# rank: a wrong urgent answer costs several times more than running the larger
# model. Higher thresholds delay all answers of the larger model, and more
# answers are cut off than poor ones are avoided.
MIN_CONFIDENCE: Mapping[int, int] = MappingProxyType({0: 50, 1: 40})
DEFAULT_MIN_CONFIDENCE = 30
# Factor on the threshold where the larger model's answer is expected too late
# for its full value: a late answer is worth about a third, so one that is as
# likely to be right is kept, and the larger model's queue does not grow.
LATE_CONFIDENCE_FACTOR = 0.4
# Mean prefill seconds of one queued request, over all sizes: it converts the
# queueing time at a runner to the number of requests that one more prompt
# delays.
MEAN_PREFILL_S = 0.15
# Fraction of an answer's value to its caller that is lost when it is late.
LATE_VALUE_LOSS = 0.7
# Value of a delayed request relative to a request of each rank: each rank is
# assumed to be worth a third of the previous one, and the queue to hold a mix
# of them.
DELAYED_VALUE_RATIO: Mapping[int, float] = MappingProxyType({0: 0.5, 1: 1.5})
DEFAULT_DELAYED_VALUE_RATIO = 4.5
SURE = 100


class SizeReason(StrEnum):
    """Why the size of an answer was chosen; for the log."""

    LARGER = 'asked of the largest model'
    SURE = 'sure enough'
    LARGEST = 'the largest model'
    MAY_NOT_FINISH = 'the largest model might not end in time'
    LATE = 'the largest model would be late'
    DELAY = 'others would be delayed'
    NO_ATTEMPT = 'no attempt is left'
    TRIAL = 'a request that may crash servers is tried on one only'
    NO_REPEAT = "the fleet's bound on repeats"


class ExpectedTiming(NamedTuple):
    """Expected timing of the largest model's answer.

    Attributes:
        wait_s: Seconds of queueing at the runner before its prompt.
        read_s: Seconds of prefill that it adds there.
        target_s: Seconds in which an answer is due to begin.
        slack_s: Seconds by which it is expected to begin before its target;
            negative if it is expected late.
        finish_slack_s: Seconds by which it ends before its caller leaves,
            estimated for an unusually long and late answer; negative if it may
            not end.
        value: Value of its answer relative to others of its route.
    """

    wait_s: float
    read_s: float
    target_s: float
    slack_s: float
    finish_slack_s: float = math.inf
    value: float = 1.0


def first_size(models: Sequence[str]) -> int:
    """Return the index of the model that is asked first."""
    return 0


def decide_escalation(
    models: Sequence[str],
    size: int,
    rank: int,
    confidence: int | None,
    outlook: ExpectedTiming,
) -> SizeReason:
    """Tell whether the request is sent to the largest model, and why.

    Args:
        models: The models, smallest first.
        size: Index of the model that has answered.
        rank: Rank of the request, 0 the most urgent.
        confidence: Confidence that the answer states, from 0 to 100.
        outlook: Expected timing of the larger model's answer.
    """
    largest = len(models) - 1
    if confidence is None or size >= largest:
        return SizeReason.LARGEST
    threshold: float = MIN_CONFIDENCE.get(rank, DEFAULT_MIN_CONFIDENCE)
    if confidence >= threshold:
        return SizeReason.SURE
    if outlook.finish_slack_s < 0:
        # An answer that is cut off serves its caller less than one that may not
        # be good enough, and its prefill has delayed others for nothing.
        return SizeReason.MAY_NOT_FINISH
    if outlook.slack_s < 0 and confidence >= threshold * LATE_CONFIDENCE_FACTOR:
        return SizeReason.LATE
    if confidence >= SURE * (1 - _delay_cost(rank, outlook)):
        return SizeReason.DELAY
    return SizeReason.LARGER


def _delay_cost(rank: int, outlook: ExpectedTiming) -> float:
    """Return the cost of delaying others, relative to the answer's value.

    One more prompt delays every queued request of the runner by its prefill
    time. Without this term, long prompts with answers of low confidence were
    still sent to the largest model until all runners were seconds behind.
    """
    delayed = outlook.wait_s / MEAN_PREFILL_S
    late_fraction = outlook.read_s / max(outlook.target_s, MEAN_PREFILL_S)
    value_ratio = DELAYED_VALUE_RATIO.get(rank, DEFAULT_DELAYED_VALUE_RATIO)
    loss = LATE_VALUE_LOSS * value_ratio * delayed * late_fraction
    return loss / outlook.value
