"""Tests of the choice of the model size."""

import heapq
import random
import unittest
from typing import NamedTuple

from beryllug.core.placement import escalation

MODELS = ('small', 'middle', 'large')
IDLE = escalation.ExpectedTiming(wait_s=0, read_s=0.3, target_s=3, slack_s=2)
LATE = IDLE._replace(slack_s=-1)
BUSY = escalation.ExpectedTiming(wait_s=1, read_s=0.3, target_s=3, slack_s=1)
LONG = BUSY._replace(read_s=2)
MAY_NOT_FINISH = IDLE._replace(finish_slack_s=-0.1)
SHORT = BUSY._replace(read_s=0.03)
Why = escalation.SizeReason
# Size that answered, rank, confidence, outlook; the decision.
CASES: tuple[
    tuple[
        str,
        int,
        int,
        int | None,
        escalation.ExpectedTiming,
        escalation.SizeReason,
    ],
    ...,
] = (
    ('sure enough', 0, 0, 50, IDLE, Why.SURE),
    ('not sure enough for an urgent one', 0, 0, 49, IDLE, Why.LARGER),
    ('sure enough for a less urgent one', 0, 2, 30, IDLE, Why.SURE),
    ('not sure for any', 0, 2, 29, IDLE, Why.LARGER),
    ('the larger one would be late', 0, 0, 20, LATE, Why.LATE),
    ('late, but hardly worth keeping', 0, 0, 19, LATE, Why.LARGER),
    (
        'the larger one may be cut off',
        0,
        0,
        0,
        MAY_NOT_FINISH,
        Why.MAY_NOT_FINISH,
    ),
    ('sure, whatever the larger one does', 0, 0, 80, MAY_NOT_FINISH, Why.SURE),
    ('no confidence stated', 0, 0, None, IDLE, Why.LARGEST),
    ('the largest already', 2, 0, 0, IDLE, Why.LARGEST),
    ('others wait, the answer is poor', 0, 0, 49, BUSY, Why.LARGER),
    ('others wait for long, for a less urgent one', 0, 1, 39, BUSY, Why.DELAY),
    ('others wait for seconds', 0, 0, 20, LONG, Why.DELAY),
    ('others hardly wait', 0, 2, 20, SHORT, Why.LARGER),
)


class _Kind(NamedTuple):
    """A kind of request of a replay.

    Attributes:
        per_s: Requests a second.
        rank: Their rank.
        worth: Value of an answer on time.
        small_s: Seconds of prefill of the small model.
        large_s: Seconds of prefill of the largest model.
    """

    per_s: float
    rank: int
    worth: float
    small_s: float
    large_s: float


# Long prompts, which the largest model prefills in half a second and more, and
# many short ones: five runners cannot prefill all of them if each answer of low
# confidence is escalated.
KINDS = (
    _Kind(10.8, 0, 4.9, 0.06, 0.9),
    _Kind(9.0, 1, 1.6, 0.04, 0.45),
    _Kind(23.4, 2, 0.25, 0.005, 0.07),
)
TARGET_S = 3.0
LATE_WORTH = 0.3
SECONDS = 300
# Percentage of the small model's answers that are not fully confident.
UNSURE = 80
# Minimum gain of taking the delay of others into account.
MORE = 0.04
RUNNERS = 5


class SizesTest(unittest.TestCase):
    """Decisions to drop a small answer for a larger one."""

    def test_next(self) -> None:
        """Each case of the table."""
        for title, size, rank, confidence, outlook, expected in CASES:
            with self.subTest(title):
                found = escalation.decide_escalation(
                    MODELS, size, rank, confidence, outlook
                )
                self.assertIs(found, expected)

    def test_one_model(self) -> None:
        """A single model has no larger one to escalate to."""
        found = escalation.decide_escalation(('solo',), 0, 0, 0, IDLE)
        self.assertIs(found, Why.LARGEST)

    def test_overload(self) -> None:
        """More answers are escalated than the largest model can serve in time.

        Each runner prefills in the order of arrival. If escalation depends on
        confidence and slack alone, the largest model keeps all runners as far
        behind as the target allows, and the small model's answers are queued
        there as well.
        """
        by_delay = _replay(is_delay_known=True)
        by_spare = _replay(is_delay_known=False)
        self.assertGreater(by_delay, by_spare + MORE)


class _Event(NamedTuple):
    """A request arrives, or its small answer has begun."""

    at: float
    number: int
    kind: _Kind
    arrived_at: float
    confidence: int | None


def _replay(*, is_delay_known: bool) -> float:
    """Return the fraction of the total value that is earned."""
    rng = random.Random(3)
    free_at = [0.0 for _ in range(RUNNERS)]
    events = _arrivals(rng)
    owed = sum(event.kind.worth for event in events)
    earned = 0.0
    heapq.heapify(events)
    while events:
        event = heapq.heappop(events)
        kind = event.kind
        if event.confidence is None:
            at = _read(free_at, event.at, kind.small_s)
            unsure = rng.randrange(escalation.SURE) < UNSURE
            sure = rng.randrange(escalation.SURE) if unsure else escalation.SURE
            heapq.heappush(events, event._replace(at=at, confidence=sure))
            continue
        first_at = event.at
        outlook = _outlook(event, min(free_at))
        if not is_delay_known:
            outlook = outlook._replace(wait_s=0)
        worth = kind.worth * event.confidence / escalation.SURE
        why = escalation.decide_escalation(
            MODELS, 0, kind.rank, event.confidence, outlook
        )
        if why is Why.LARGER:
            first_at = _read(free_at, event.at, kind.large_s)
            worth = kind.worth
        if first_at > event.arrived_at + TARGET_S:
            worth *= LATE_WORTH
        earned += worth
    return earned / owed


def _arrivals(rng: random.Random) -> list[_Event]:
    events = []
    for kind in KINDS:
        for number in range(int(kind.per_s * SECONDS)):
            at = rng.uniform(0, SECONDS)
            events.append(_Event(at, number, kind, at, None))
    return events


def _read(free_at: list[float], now: float, read_s: float) -> float:
    """Prefill at the first free runner; returns when it is complete."""
    best = min(range(RUNNERS), key=free_at.__getitem__)
    free_at[best] = max(free_at[best], now) + read_s
    return free_at[best]


def _outlook(event: _Event, free_at: float) -> escalation.ExpectedTiming:
    wait_s = max(free_at - event.at, 0)
    due_at = event.arrived_at + TARGET_S
    read_s = event.kind.large_s
    return escalation.ExpectedTiming(
        wait_s, read_s, TARGET_S, due_at - event.at - wait_s - read_s
    )


if __name__ == '__main__':
    unittest.main()
