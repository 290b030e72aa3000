"""Prefill speed of each model runner relative to the other runners.

Load handled: model servers of uneven speed near their capacity. If all runners
are assumed to be equal, the slow ones get a queue before their answers are
overdue: with a third of the runners 2.4 times as fast as the others, the 99th
percentile of the time to the first event nearly doubles.

Each answer whose prompt found nearly no queue gives a ratio of measured to
expected prefill time. Processes share counts and sums of logarithms of these
ratios by runner, so a process that sees few answers uses those of all. Sums of
one process decay; a restarted runner is a new instance and starts at 1.
"""

import math
from dataclasses import dataclass, field

from beryllug.core.placement import load_sums

# Bound on the logarithm of a ratio: four times as slow or as fast. A slower
# answer has more likely been queued. The bound is added to reported logarithms,
# because reported sums must not be negative.
MAX_LOG = math.log(4)
# Weight of an answer that is faster than known, against 1 of a slower one: a
# prompt can be delayed by a queue that nobody has reported yet, but nothing
# makes it faster than its runner.
FASTER_WEIGHT = 8.0
# Weight of the assumption that a runner is as fast as the others.
PRIOR_WEIGHT = 6.0
# Time constant with which own sums decay; speeds of an instance rarely change.
DECAY_S = 60.0
# Own sums with less weight are removed.
MIN_WEIGHT = 0.1
# A speed is used from this weight of answers on: ten slower ones, decayed a
# little, or two faster ones.
MIN_USED_WEIGHT = 9.0
# Logarithms of speeds that differ from 1 by less are not used: paces are not
# known better, and even fleets are served as without this part.
MIN_LOG = 0.2
# A process reports a runner whose own evidence is stronger than this logarithm,
# reduced by `REPORT_PRIOR`. One answer of a runner with 0.7 of the mean speed
# is just enough: in a large fleet ten answers are those of ten processes.
MIN_REPORTED_LOG = 0.17
REPORT_PRIOR = 1.0
# Answers of a process that are not used: its paces are not known before.
FIRST_ANSWERS = 8
# Weight of the answers of all processes with which a runner is known well
# enough, and seconds for which it is not reported after it was found to be as
# fast as the others.
KNOWN_WEIGHT = 15.0
QUIET_S = 10.0
# Seconds for which computed factors are used again, the interval of reports.
REFRESH_S = 0.25
# Seconds without use after which a runner is not counted among the others.
UNUSED_S = 30.0


@dataclass(slots=True)
class _Evidence:
    """Decaying sums of the answers of one runner.

    Attributes:
        weight: Sum of weights of answers.
        log_sum: Sum of weighted logarithms of measured to expected time.
        at: Second of the last change.
    """

    weight: float = 0.0
    log_sum: float = 0.0
    at: float = 0.0


@dataclass(slots=True)
class Speeds:
    """Known speeds of runners.

    Attributes:
        own: Answers that this process measured, by runner.
        others: Sums reported by the other processes.
        used_at: When a runner's factor was last asked for.
        factors: Computed factors of the runners that differ from the others.
        quiet_until: Until when runners as fast as the others are not reported.
        refreshed_at: When these were computed.
        answers: How many answers this process has had.
        invalid_reports: How many reported sums were left out as absurd.
    """

    own: dict[str, _Evidence] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)
    used_at: dict[str, float] = field(default_factory=dict)
    factors: dict[str, float] = field(default_factory=dict)
    quiet_until: dict[str, float] = field(default_factory=dict)
    refreshed_at: float = float('-inf')
    answers: int = 0
    invalid_reports: int = 0


def record(
    state: Speeds, instance: str, expected_s: float, took_s: float, now: float
) -> None:
    """Learn from an answer whose prompt found nearly no queue.

    Args:
        state: The known speeds.
        instance: The runner.
        expected_s: Seconds of prefill at a runner of mean speed.
        took_s: Seconds until its answer began.
        now: The present second.
    """
    if min(expected_s, took_s) <= 0 or state.answers < FIRST_ANSWERS:
        return
    ratio_log = max(math.log(took_s / expected_s), -MAX_LOG)
    if ratio_log > MAX_LOG:
        return
    known_log = math.log(factor(state, instance, now))
    weight = FASTER_WEIGHT if ratio_log < known_log else 1.0
    evidence = state.own.setdefault(instance, _Evidence(at=now))
    _decay(evidence, now)
    evidence.weight += weight
    evidence.log_sum += weight * ratio_log


def factor(state: Speeds, instance: str, now: float) -> float:
    """Return what multiplies expected seconds at a runner; 1.0 if unknown."""
    state.used_at[instance] = now
    if not 0 <= now - state.refreshed_at < REFRESH_S:
        refresh(state, now)
    return state.factors.get(instance, 1.0)


def reported(state: Speeds, now: float) -> dict[str, load_sums.Load]:
    """Return the sums of this process by subject, to report to others.

    Only runners that differ noticeably are reported, by own answers or by those
    of all processes, so that even fleets report nothing. All processes report a
    runner that one of them reports: otherwise only outliers would be summed.
    """
    refresh(state, now)
    offset = _offset(state)
    return {
        _subject(instance): _load(_relative(evidence, offset))
        for instance, evidence in state.own.items()
        if instance in state.factors
        or (
            state.quiet_until.get(instance, now) <= now
            and (
                _remote(state, instance, now).counted
                or _is_noticeable(_relative(evidence, offset))
            )
        )
    }


def refresh(state: Speeds, now: float) -> None:
    """Compute the factors of all runners in use.

    They are divided by that of the mean speed, so that errors that all runners
    share, such as those of a model's pace, make no runner look slow.
    """
    state.refreshed_at = now
    _forget_unused(state, now)
    offset = _offset(state)
    sums = {
        instance: _all_evidence(state, instance, offset, now)
        for instance in state.used_at
    }
    logs = {
        instance: each.log_sum / (each.weight + PRIOR_WEIGHT)
        for instance, each in sums.items()
    }
    mean_log = _log_of_mean_speed(list(logs.values()))
    state.factors = {
        instance: math.exp(_bounded(each + mean_log))
        for instance, each in logs.items()
        if abs(each + mean_log) >= MIN_LOG
        and sums[instance].weight >= MIN_USED_WEIGHT
    }
    for instance, each in sums.items():
        if each.weight >= KNOWN_WEIGHT and instance not in state.factors:
            state.quiet_until[instance] = now + QUIET_S


def _log_of_mean_speed(logs: list[float]) -> float:
    if not logs:
        return 0
    return math.log(sum(math.exp(-each) for each in logs) / len(logs))


def _offset(state: Speeds) -> float:
    """Return by how much own logarithms exceed those that factors explain.

    It is the error of this process's paces and the queue that all its prompts
    find, neither of which says anything about one runner.
    """
    weight, unexplained = PRIOR_WEIGHT, 0.0
    for instance, own in state.own.items():
        factor_log = math.log(state.factors.get(instance, 1.0))
        weight += own.weight
        unexplained += own.log_sum - own.weight * factor_log
    return unexplained / weight


def _relative(evidence: _Evidence, offset: float) -> _Evidence:
    log_sum = evidence.log_sum - evidence.weight * offset
    bound = evidence.weight * MAX_LOG
    return _Evidence(evidence.weight, min(max(log_sum, -bound), bound))


def _all_evidence(
    state: Speeds, instance: str, offset: float, now: float
) -> _Evidence:
    """Return the sums of all processes for a runner."""
    own = _relative(state.own.get(instance) or _Evidence(), offset)
    remote = _remote(state, instance, now)
    weight = remote.counted / load_sums.UNITS
    log_sum = remote.summed / load_sums.UNITS - weight * MAX_LOG
    # Rounding may exceed the bound of a sum slightly.
    is_valid = 0 <= weight and abs(log_sum) <= weight * MAX_LOG + 1
    if not is_valid:
        state.invalid_reports += 1
        return own
    return _Evidence(own.weight + weight, own.log_sum + log_sum)


def _remote(state: Speeds, instance: str, now: float) -> load_sums.Load:
    subject = _subject(instance)
    load = load_sums.remote_subject_load(state.others, subject, now)
    return load or load_sums.NOTHING


def _forget_unused(state: Speeds, now: float) -> None:
    for each in state.own.values():
        _decay(each, now)
    state.own = {
        instance: evidence
        for instance, evidence in state.own.items()
        if evidence.weight >= MIN_WEIGHT
    }
    state.used_at = {
        instance: at
        for instance, at in state.used_at.items()
        if now - at < UNUSED_S
    }
    state.quiet_until = {
        instance: until
        for instance, until in state.quiet_until.items()
        if until > now
    }


def _is_noticeable(evidence: _Evidence) -> bool:
    weight = evidence.weight + REPORT_PRIOR
    return abs(evidence.log_sum / weight) >= MIN_REPORTED_LOG


def _load(evidence: _Evidence) -> load_sums.Load:
    return load_sums.Load(
        counted=round(evidence.weight * load_sums.UNITS),
        summed=round(
            (evidence.log_sum + evidence.weight * MAX_LOG) * load_sums.UNITS
        ),
    )


def _decay(evidence: _Evidence, now: float) -> None:
    kept = math.exp(-max(now - evidence.at, 0) / DECAY_S)
    evidence.weight *= kept
    evidence.log_sum *= kept
    evidence.at = now


def _bounded(number: float) -> float:
    return min(max(number, -MAX_LOG), MAX_LOG)


def _subject(instance: str) -> str:
    return f'speed of {instance}'
