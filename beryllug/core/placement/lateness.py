"""How much later than expected the answers of a model begin.

A process's view of runners is half a second old, and a runner prefills a less
urgent prompt after all more urgent ones that arrive meanwhile. So near the
fleet's capacity prompts of the largest model begin seconds later than expected,
and one process sees too few of them to notice. Processes share sums of the
lateness of the last seconds, by model and rank; each of them uses the mean when
it decides whether to escalate to the larger model.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import load_sums

# Seconds for which a measurement counts: some tens of answers in a fleet, and
# the time in which a runner that is behind catches up.
WINDOW_S = 3.0
# Minimum number of answers in the mean; missing ones count as on time.
MIN_ANSWERS = 5
# Upper bound on the lateness of one answer: a server that does not respond says
# little about the others.
MOST_S = 5.0


class AnswerStart(NamedTuple):
    """An answer: when its lateness became known, and how late it began."""

    at: float
    late_s: float


@dataclass(slots=True)
class Lateness:
    """Known lateness of answers.

    Attributes:
        own: Answers of this process, by subject.
        others: Sums reported by the other processes.
    """

    own: dict[str, deque[AnswerStart]] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)


def began(
    state: Lateness, model: str, rank: int, late_s: float, now: float
) -> None:
    """Record that an answer has begun, or was given up.

    Args:
        state: The known lateness.
        model: Its model.
        rank: Its rank at the runner.
        late_s: Seconds since it was expected; negative before that.
        now: The present second.
    """
    late_s = min(max(late_s, 0), MOST_S)
    starts = state.own.setdefault(_subject(model, rank), deque())
    starts.append(AnswerStart(now, late_s))


def expected_s(state: Lateness, model: str, rank: int, now: float) -> float:
    """Return the seconds by which an answer is expected to begin late."""
    subject = _subject(model, rank)
    own = _own_sum(state, subject, now)
    remote = (
        load_sums.remote_subject_load(state.others, subject, now)
        or load_sums.NOTHING
    )
    late_s = (own.summed + remote.summed) / load_sums.UNITS
    return late_s / max(own.counted + remote.counted, MIN_ANSWERS)


def reported(state: Lateness, now: float) -> dict[str, load_sums.Load]:
    """Return the sums of this process, to report to others."""
    return {subject: _own_sum(state, subject, now) for subject in state.own}


def _own_sum(state: Lateness, subject: str, now: float) -> load_sums.Load:
    starts = state.own.get(subject, deque())
    while starts and now - starts[0].at > WINDOW_S:
        starts.popleft()
    late_s = sum(each.late_s for each in starts)
    return load_sums.Load(
        counted=len(starts), summed=round(late_s * load_sums.UNITS)
    )


def _subject(model: str, rank: int) -> str:
    return f'lateness of {model} at {rank}'
