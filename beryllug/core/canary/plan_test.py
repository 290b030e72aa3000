"""Tests of roll-outs: verdicts, phases and trial shares."""

import random
import unittest
from types import MappingProxyType
from typing import NamedTuple

from beryllug.core.canary import canary_data, plan, sessions, verdict

Answers = canary_data.Answers
Phase = canary_data.Phase
ORDER = canary_data.Order('pool', 'v2', 20, 7)
BOUNDS = canary_data.Bounds(share=0.15, slack=30, session_s=5)
# Evaluations of a roll-out per second.
STEPS_PER_SECOND = 4
# Histogram buckets, two a doubling; the others' median is -8, 1/16 s.
OLD_TIMES = MappingProxyType({-9: 20, -8: 60, -7: 20})
MANY_OLD = Answers(200, 2)


def _evidence(
    answers: dict[str, Answers],
    old: Answers = MANY_OLD,
    new_times: dict[str, dict[int, int]] | None = None,
) -> canary_data.Evidence:
    return canary_data.Evidence(
        answers=answers,
        old=old,
        new_times={
            instance: {'next/0': times}
            for instance, times in (new_times or {}).items()
        },
        old_times={'next/0': dict(OLD_TIMES)},
    )


def _tally(
    answers: dict[str, Answers],
    old: Answers = MANY_OLD,
    new_times: dict[str, dict[int, int]] | None = None,
) -> canary_data.Tally:
    """Return what is observed if there is one route."""
    seen = _evidence(answers, old, new_times)
    return canary_data.Tally(requests=200, tried=20, by_route={'chat': seen})


GOOD = _tally({'n1': Answers(10), 'n2': Answers(10)})
BAD = _tally({'n1': Answers(2, 2), 'n2': Answers(2, 1)})
VERDICTS: tuple[tuple[str, canary_data.Tally, bool], ...] = (
    ('nothing seen', _tally({}), False),
    ('all good', GOOD, False),
    ('one failure', _tally({'n1': Answers(3, 1)}), False),
    ('two of one server', _tally({'n1': Answers(0, 2)}), False),
    ('three of one server', _tally({'n1': Answers(0, 3)}), True),
    (
        'one of each of two',
        _tally({'n1': Answers(0, 1), 'n2': Answers(0, 1)}),
        True,
    ),
    ('a third fails', BAD, True),
    (
        'one server fails, the others of the version do not',
        _tally({'n1': Answers(1, 4), 'n2': Answers(6), 'n3': Answers(6)}),
        False,
    ),
    (
        'the old version fails as often',
        _tally({'n1': Answers(4, 4)}, old=Answers(10, 10)),
        False,
    ),
    (
        'half of the answers eight times as slow',
        _tally(
            {'n1': Answers(4), 'n2': Answers(4)},
            new_times={'n1': {-8: 3, -2: 3}, 'n2': {-8: 2, -2: 4}},
        ),
        True,
    ),
    (
        'all twice as slow',
        _tally({'n1': Answers(9)}, new_times={'n1': {-6: 9}}),
        False,
    ),
    (
        'one server slow, another not',
        _tally(
            {'n1': Answers(6), 'n2': Answers(6)},
            new_times={'n1': {-2: 6}, 'n2': {-8: 6}},
        ),
        False,
    ),
    (
        'slow in the first two answers, on cold servers',
        _tally(
            {'n1': Answers(1), 'n2': Answers(1)},
            new_times={'n1': {-2: 1}, 'n2': {-2: 1}},
        ),
        False,
    ),
)
# Fewer requests on trial, which leaves room for two seconds of all requests.
FEW_TRIED = canary_data.Tally(requests=200, tried=12, by_route=GOOD.by_route)
# So few requests that all of them may go to the version at any time.
FEW_REQUESTS = canary_data.Tally(requests=8, tried=2, by_route=GOOD.by_route)
# So many requests in most of the ordered time that more than a second and a
# half of all requests would exceed the bound.
MANY_REQUESTS = canary_data.Tally(
    requests=4000, tried=200, by_route=GOOD.by_route
)
PHASES: tuple[tuple[str, Phase, canary_data.Tally, plan.Ages, Phase], ...] = (
    ('too early', Phase.TRIAL, GOOD, plan.Ages(5, 5), Phase.TRIAL),
    ('not yet needed', Phase.TRIAL, GOOD, plan.Ages(14.9, 14.9), Phase.TRIAL),
    ('over its share', Phase.TRIAL, GOOD, plan.Ages(17.9, 17.9), Phase.TRIAL),
    ('proved', Phase.TRIAL, FEW_TRIED, plan.Ages(17.9, 17.9), Phase.FULL),
    ('busy', Phase.TRIAL, MANY_REQUESTS, plan.Ages(17.9, 17.9), Phase.TRIAL),
    (
        'busy, no time left',
        Phase.TRIAL,
        MANY_REQUESTS,
        plan.Ages(18.5, 9),
        Phase.FULL,
    ),
    ('no evidence', Phase.TRIAL, _tally({}), plan.Ages(19, 19), Phase.TRIAL),
    (
        'no evidence, its time is over',
        Phase.TRIAL,
        _tally({}),
        plan.Ages(19.5, 19.5),
        Phase.ROLLED_BACK,
    ),
    ('bad', Phase.TRIAL, BAD, plan.Ages(1, 1), Phase.ROLLED_BACK),
    ('bad in full', Phase.FULL, BAD, plan.Ages(18, 1), Phase.ROLLED_BACK),
    ('full, too soon', Phase.FULL, GOOD, plan.Ages(18.5, 3), Phase.FULL),
    ('full, just begun', Phase.FULL, GOOD, plan.Ages(18.9, 0.2), Phase.FULL),
    ('full', Phase.FULL, GOOD, plan.Ages(18.9, 3), Phase.COMPLETE),
    ('ended', Phase.COMPLETE, BAD, plan.Ages(30, 5), Phase.COMPLETE),
)

# Seven answers, of which five can be compared and two of these are slow.
UNDECIDED = _tally(
    {'n1': Answers(4), 'n2': Answers(2, 1)},
    new_times={'n1': {-8: 2, -2: 1}, 'n2': {-8: 1, -2: 1}},
)
# A proven version whose roll-out was not evaluated in the last moments.
LATE_PHASES = (
    ('on trial', Phase.TRIAL, plan.Ages(20.1, 20.1), Phase.FULL),
    ('just full', Phase.FULL, plan.Ages(20.2, 0.1), Phase.FULL),
    ('full', Phase.FULL, plan.Ages(20.5, 0.4), Phase.COMPLETE),
)
UNDECIDED_PHASES = (
    ('in its time', Phase.TRIAL, plan.Ages(17.9, 17.9), Phase.TRIAL),
    ('no time left', Phase.TRIAL, plan.Ages(18.5, 18.5), Phase.TRIAL),
    ('its time is over', Phase.TRIAL, plan.Ages(19.5, 19.5), Phase.ROLLED_BACK),
    ('full', Phase.FULL, plan.Ages(18.9, 3), Phase.FULL),
    (
        'full, its time is over',
        Phase.FULL,
        plan.Ages(19.5, 3),
        Phase.ROLLED_BACK,
    ),
)


class Load(NamedTuple):
    """Requests for a service during a roll-out.

    Attributes:
        title: Title of the test case.
        rate: Requests a second.
        duration_s: Seconds of the order.
        bounds: The limits of the roll-out.
        processes: Number of processes in the fleet.
        burst: Factor of the rate during the burst.
        burst_at: Start and end of the burst, as parts of the duration.
    """

    title: str
    rate: int
    duration_s: int
    bounds: canary_data.Bounds = BOUNDS
    processes: int = 8
    burst: float = 1
    burst_at: tuple[float, float] = (0, 0)


LARGE_BOUNDS = canary_data.Bounds(share=0.0975, slack=30, session_s=8.5)
LOADS = (
    Load('eight processes', 35, 24),
    Load('eight processes, a short order', 35, 12),
    Load('few requests', 4, 20),
    Load('a burst at first', 35, 22, burst=2, burst_at=(0.1, 0.3)),
    Load('a burst in the middle', 35, 22, burst=1.8, burst_at=(0.4, 0.65)),
    Load('a burst that stays', 35, 24, burst=1.8, burst_at=(0.5, 1)),
    Load('72 processes', 200, 24, LARGE_BOUNDS, 72),
    Load('72 processes, a short order', 200, 16, LARGE_BOUNDS, 72),
)


class PlanTest(unittest.TestCase):
    """Verdicts and phases of a roll-out."""

    def test_verdicts(self) -> None:
        """Each case of the table."""
        for title, tally, expected in VERDICTS:
            with self.subTest(title):
                self.assertEqual(verdict.is_bad(tally), expected)

    def test_one_route(self) -> None:
        """A version fails half of the requests of one route in four.

        Seven of its sixty answers are failures, on both of its servers,
        against one in a hundred of the others'. Judged over all routes it
        passed, all requests went to it, and it received more than its share.
        """
        sound = {'n1': Answers(7), 'n2': Answers(8)}
        routes = {
            'draft': _evidence({'n1': Answers(5, 4), 'n2': Answers(3, 3)}),
            'chat': _evidence(sound),
            'note': _evidence(sound),
            'tag': _evidence(sound),
        }
        self.assertTrue(verdict.is_bad(canary_data.Tally(by_route=routes)))

    def test_routes_together(self) -> None:
        """A version fails one request in five, on each of its routes.

        No single route provides enough evidence during the trial.
        """
        few = _evidence({'n1': Answers(2, 1), 'n2': Answers(2)})
        routes = {name: few for name in ('a', 'b', 'c', 'd', 'e', 'f')}
        routes['a'] = _evidence({'n1': Answers(2), 'n2': Answers(2, 1)})
        self.assertFalse(verdict.is_bad(canary_data.Tally(by_route={'b': few})))
        self.assertTrue(verdict.is_bad(canary_data.Tally(by_route=routes)))

    def test_phases(self) -> None:
        """Each case of the table."""
        for title, phase, tally, ages, expected in PHASES:
            with self.subTest(title):
                found = plan.next_phase(ORDER, phase, tally, ages, BOUNDS)
                self.assertIs(found, expected)

    def test_undecided(self) -> None:
        """A version is completed though two of five answers are slow."""
        for title, phase, ages, expected in UNDECIDED_PHASES:
            with self.subTest(title):
                found = plan.next_phase(ORDER, phase, UNDECIDED, ages, BOUNDS)
                self.assertIs(found, expected)

    def test_idle_route(self) -> None:
        """A good version is rolled back, as a route has hardly a request."""
        idle = _evidence({}, old=Answers(2))
        tally = canary_data.Tally(
            requests=200, tried=20, by_route=GOOD.by_route | {'idle': idle}
        )
        ages = plan.Ages(18.9, 3)
        found = plan.next_phase(ORDER, Phase.FULL, tally, ages, BOUNDS)
        self.assertIs(found, Phase.COMPLETE)

    def test_late(self) -> None:
        """A good version is rolled back as its last evaluations came late."""
        for title, phase, ages, expected in LATE_PHASES:
            with self.subTest(title):
                found = plan.next_phase(ORDER, phase, GOOD, ages, BOUNDS)
                self.assertIs(found, expected)

    def test_unseen(self) -> None:
        """A version turns bad too late to be noticed.

        It is good during the trial, all requests go to it, and it fails in the
        last moment of the ordered time, or under a load that only then comes.
        All requests it received in this time count as served by a bad version.
        """
        for load in LOADS:
            with self.subTest(load.title):
                tally, phase = _simulate(load)
                allowed = load.bounds.share * tally.requests
                self.assertLess(tally.tried, allowed + load.bounds.slack)
                self.assertIs(phase, Phase.COMPLETE)

    def test_short_order(self) -> None:
        """In an order of six seconds sessions stay for the first half, too.

        The version has proved itself within a second. If all requests went to
        it then, sessions would change version in the first half.
        """
        order = canary_data.Order('pool', 'v2', 6, 7)
        for age_s, expected in ((2.9, Phase.TRIAL), (3.1, Phase.FULL)):
            with self.subTest(age_s):
                ages = plan.Ages(age_s, age_s)
                found = plan.next_phase(
                    order, Phase.TRIAL, FEW_REQUESTS, ages, BOUNDS
                )
                self.assertIs(found, expected)

    def test_large_fleet(self) -> None:
        """72 processes together send enough trial requests in a short order.

        The budget of each is a third of a request in eight seconds. Rounded
        down, none was sent, the version had no answers, and its order failed.
        """
        load = LOADS[-1]
        seconds = load.duration_s // 2
        early = load._replace(duration_s=seconds, title='the first half')
        own = [canary_data.Tally() for _ in range(load.processes)]
        total = canary_data.Tally()
        for number in range(early.rate * seconds):
            index = number % load.processes
            dither = index / load.processes
            _count_request(total, own[index], load, Phase.TRIAL, dither)
        self.assertGreater(total.tried, 2 * plan.MIN_ANSWERS)

    def test_share(self) -> None:
        """All processes together keep to the share allowed for a bad version.

        Eight processes observe unequal parts of the requests, and each sends as
        many trial requests as it may.
        """
        processes = 8
        total = 0
        for process in range(processes):
            requests = 40 * process
            tally = canary_data.Tally(requests=requests)
            while plan.may_try(tally, BOUNDS, processes):
                tally.tried += 1
            total += tally.tried
        everything = sum(40 * number for number in range(processes))
        self.assertLess(total, BOUNDS.share * everything + BOUNDS.slack)

    def test_drawn_part(self) -> None:
        """Few sessions are sampled, unless a version lacks answers."""
        few = _tally({'n1': Answers(5)})
        table: tuple[
            tuple[str, canary_data.Tally, plan.Requests, float], ...
        ] = (
            ('too few answers', few, plan.Requests(300, 600), 1),
            (
                'answers that do not show that it is good',
                UNDECIDED,
                plan.Requests(300, 600),
                1,
            ),
            ('enough answers', GOOD, plan.Requests(300, 600), plan.DRAWN_PART),
            (
                'enough answers elsewhere',
                few,
                plan.Requests(400, 600),
                plan.DRAWN_PART,
            ),
            ('few requests', few, plan.Requests(20, 100), 2),
        )
        for title, tally, requests, expected in table:
            with self.subTest(title):
                found = plan.sampled_part(tally, requests, BOUNDS, 'chat')
                self.assertEqual(found, expected)

    def test_stays(self) -> None:
        """A session arrives at a process that was not told of its version.

        It was sampled elsewhere and runs on the new version. When it is sampled
        again, it must be admitted: processes that had used up their budget of
        trial requests moved two in three such sessions off their version.
        """
        rng = random.Random(9)
        processes = 72
        own = [canary_data.Tally() for _ in range(processes)]
        refused = 0
        drawn = 0
        for number in range(4800):
            tally = own[rng.randrange(processes)]
            tally.requests += 1
            session = f'session-{number % 1600}'
            if not plan.is_sampled(session, LARGE_BOUNDS, plan.DRAWN_PART):
                continue
            drawn += 1
            if plan.may_try(tally, LARGE_BOUNDS, processes, rng.random()):
                tally.tried += 1
            else:
                refused += 1
        self.assertGreater(drawn, 50)
        self.assertLess(refused / drawn, 0.4)

    def test_drawn(self) -> None:
        """All processes sample the same sessions, as many as the share."""
        drawn = [
            plan.is_sampled(f'session-{number}', BOUNDS)
            for number in range(2000)
        ]
        self.assertAlmostEqual(sum(drawn) / 2000, BOUNDS.share, delta=0.03)

    def test_sessions(self) -> None:
        """A session keeps its version during its lifetime."""
        known = sessions.Sessions()
        sessions.record_session_run(known, 'pool', 'guest', 'v1', 10)
        for now, expected in ((14, 'v1'), (15.9, 'v1'), (16.1, None)):
            with self.subTest(now):
                found = sessions.pinned(known, 'pool', 'guest', 5, now)
                self.assertEqual(found, expected)

    def test_merge(self) -> None:
        """The observations of several processes add up."""
        total = verdict.merge((GOOD, BAD))
        self.assertEqual(total.by_route['chat'].answers['n1'], Answers(12, 2))
        self.assertEqual(total.requests, 400)
        self.assertEqual(verdict.count_new_answers(total), 27)


def _simulate(load: Load) -> tuple[canary_data.Tally, Phase]:
    """Return the final tally and phase of a roll-out of a good version."""
    order = canary_data.Order('pool', 'v2', load.duration_s, 7)
    total = canary_data.Tally(by_route=GOOD.by_route)
    own = [canary_data.Tally() for _ in range(load.processes)]
    phase = Phase.TRIAL
    full_at = 0.0
    steps = load.duration_s * STEPS_PER_SECOND
    due = 0.0
    for step in range(steps):
        age_s = step / STEPS_PER_SECOND
        begin, end = (part * load.duration_s for part in load.burst_at)
        times = load.burst if begin <= age_s < end else 1
        due += load.rate * times / STEPS_PER_SECOND
        while due >= 1:
            due -= 1
            number = total.requests % load.processes
            _count_request(
                total, own[number], load, phase, number / load.processes
            )
        ages = plan.Ages(age_s, age_s - full_at)
        after = plan.next_phase(order, phase, total, ages, load.bounds)
        if after is not phase and after is Phase.FULL:
            full_at = age_s
        phase = after
    return total, phase


def _count_request(
    total: canary_data.Tally,
    own: canary_data.Tally,
    load: Load,
    phase: Phase,
    dither: float,
) -> None:
    """Count one request at a process of the fleet."""
    own.requests += 1
    total.requests += 1
    tries = phase is not Phase.TRIAL
    if tries or plan.may_try(own, load.bounds, load.processes, dither):
        own.tried += 1
        total.tried += 1


if __name__ == '__main__':
    unittest.main()
