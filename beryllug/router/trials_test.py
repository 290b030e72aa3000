"""Tests of the version that a request runs on during a rollout."""

import time
import unittest
from typing import Any
from unittest import mock  # noqa: WPS458

from beryllug.core.canary import canary_data, plan, sessions, verdict
from beryllug.core.peering import peering_data
from beryllug.core.routes import routes_data
from beryllug.drivers import http_data
from beryllug.kernel import log_lines
from beryllug.platform import requests
from beryllug.router import attempts, rollout_state, trials
from beryllug.router import call as call_data

Phase = canary_data.Phase
ORDER = canary_data.Order('pool', 'v2', 24, 7)
BOUNDS = canary_data.Bounds(share=0.15, slack=30, session_s=5)
OLD = frozenset(('v1',))
NEW = frozenset(('v2',))
SESSIONS = 2000
ROUTE = routes_data.Route(
    name='chat',
    host='a.example',
    prefix='/chat/',
    kind=routes_data.RequestKind.STREAMING,
    timeout_s=20,
    target_s=3,
    gap_s=1,
    priority=0,
    models=(),
    targets=(routes_data.Target('pool', 1),),
    max_attempts=2,
    is_anonymous=True,
    is_resumable=True,
)


class _Pool:
    """The part of the pool that trials use."""

    processes = 8

    def __init__(self) -> None:
        self.repeats = self
        self.listed = OLD | NEW

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of its servers."""
        return self.listed


def _call(session: str) -> call_data.Call:
    asked = requests.RequestHeaders(
        f'try of {session}', '', 20, 'm', False, '', 0, 100, 50, session, ''
    )
    req = http_data.Request('POST', '/chat/a', {}, b'', '')
    return call_data.Call(req, asked, ROUTE, None, 'pool', 0, 20)


class TrialsTest(unittest.TestCase):
    """One process, and an order that is some seconds old."""

    def setUp(self) -> None:
        self.pool = _Pool()
        pool: Any = self.pool
        self.trials = trials.Trials(pool, BOUNDS, log_lines.LineWriter(1))
        self.ordered_at = time.monotonic()
        self.trials.apply_order(ORDER, Phase.TRIAL, self.ordered_at)
        self.now = self.ordered_at + 2
        clock = mock.patch.object(time, 'monotonic', self._monotonic)
        clock.start()
        self.addCleanup(clock.stop)

    def test_told(self) -> None:
        """Counts reported by peers are added once, however often they arrive.

        Each report holds a peer's whole count. If answers were added twice, a
        sound version would be rolled back after half of the failures.
        """
        rollout = next(iter(self.trials.rollouts()))
        rollout.tally.requests = 5
        answers = {'i-2': canary_data.Answers(2, 1)}
        times = {'first/0': {1: 4}}
        evidence = canary_data.Evidence(
            answers, canary_data.Answers(7, 0), {'i-2': times}, dict(times)
        )
        for requests_told, expected in ((10, 15), (12, 17), (12, 17)):
            news = peering_data.RolloutTally(
                'pool', 'v2', requests_told, 3, {'chat': evidence}
            )
            rollout_state.merge_tally(rollout, 'peer', news)
            for _ in range(3):
                seen = rollout.seen()
                self.assertEqual(seen.requests, expected)
                self.assertEqual(verdict.count_new_answers(seen), 3)
                found = seen.by_route['chat']
                self.assertEqual(found.old_times, times)
                self.assertEqual(found.new_times, {'i-2': times})

    def test_restarted(self) -> None:
        """Failures that a peer saw before it restarted are forgotten."""
        bad = canary_data.Evidence(
            {'i-2': canary_data.Answers(1, 2)}, canary_data.Answers(), {}, {}
        )
        good = bad._replace(answers={'i-2': canary_data.Answers(3, 0)})
        before = peering_data.RolloutTally('pool', 'v2', 40, 3, {'a': bad}, 7)
        after = before._replace(requests=9, by_route={'a': good}, run=8)
        for news in (before, before, after, after):
            rollout_state.merge_tally(self.rollout, 'peer', news)
        seen = self.rollout.seen()
        self.assertEqual(seen.requests, 49)
        self.assertEqual(
            seen.by_route['a'].answers['i-2'], canary_data.Answers(4, 2)
        )

    def test_phases(self) -> None:
        """The phase decides the versions of all requests and of retries."""
        table: tuple[
            tuple[Phase, frozenset[str], frozenset[str] | None], ...
        ] = (
            (Phase.FULL, NEW, OLD),
            (Phase.COMPLETE, NEW, None),
            (Phase.ROLLED_BACK, OLD, OLD),
        )
        for phase, versions, others in table:
            with self.subTest(phase):
                self.setUp()
                self.trials.set_phase(self.rollout, phase, 'judged', self.now)
                version_choice = self.trials.choose_versions(_call('guest'))
                self.assertEqual(version_choice.versions, versions)
                self.assertEqual(version_choice.others, others)

    def test_full_share(self) -> None:
        """Faster requests take a version beyond its share in full phase."""
        self.trials.set_phase(self.rollout, Phase.FULL, 'judged', self.now)
        age_s = ORDER.duration_s - 2
        self.now += age_s
        chosen = [
            self.trials.choose_versions(_call(f'session-{number}')).versions
            for number in range(SESSIONS)
        ]
        tried = chosen.count(NEW)
        after_completion = SESSIONS / age_s * plan.COMPLETION_LEAD_S
        slack = BOUNDS.slack / _Pool.processes
        self.assertLessEqual(
            tried + after_completion, BOUNDS.share * SESSIONS + slack
        )
        self.assertGreater(tried, BOUNDS.share * SESSIONS / 3)

    def test_old_gone(self) -> None:
        """All old servers crash, and an unproven version gets all requests."""
        for phase in (Phase.TRIAL, Phase.ROLLED_BACK):
            with self.subTest(phase):
                self.setUp()
                self.trials.set_phase(self.rollout, phase, 'judged', self.now)
                self.trials.choose_versions(_call('guest'))
                self.pool.listed = NEW
                self.now += 3
                found = self.trials.choose_versions(_call('guest'))
                self.assertEqual(found.versions, OLD)
                self.assertTrue(found.is_bound)
                self.now += rollout_state.OLD_KEPT_S + 1
                found = self.trials.choose_versions(_call('guest'))
                self.assertEqual(found, trials.VersionChoice(NEW))

    def test_next_order(self) -> None:
        """A version that was rolled back runs requests with the next order."""
        for phase, expected in (
            (Phase.ROLLED_BACK, OLD),
            (Phase.COMPLETE, OLD | NEW),
        ):
            with self.subTest(phase):
                self.setUp()
                self.pool.listed = frozenset(('v1', 'v2', 'v3'))
                self.trials.settle(self.rollout, phase, 'store')
                later = ORDER._replace(target='v3', revision=9)
                self.trials.apply_order(later, Phase.TRIAL, self.now)
                found = self.trials.choose_versions(_call('guest'))
                self.assertEqual(found.versions, expected)

    def test_bound(self) -> None:
        """Only the first attempt of a trial may run on another version."""
        self._trial_sessions(range(SESSIONS))
        for number in range(SESSIONS):
            name = f'session-{number}'
            found = self.trials.choose_versions(_call(name))
            self.assertTrue(found.is_bound)
            for excluded in (set(), {'i-1'}):
                progress = attempts.Progress(found, excluded)
                wish = attempts.criteria(_call(name), progress)
                is_first_trial = found.is_trial and not excluded
                self.assertEqual(wish.is_bound, not is_first_trial)

    def test_share(self) -> None:
        """A part of the allowed share of new sessions tries the version.

        More would use up the share that is reserved for the time in which all
        requests go to the new version.
        """
        tried = self._trial_sessions(range(SESSIONS))
        most = BOUNDS.share * plan.DRAWN_PART * SESSIONS
        self.assertGreater(len(tried), 0.6 * most)
        self.assertLess(len(tried), 1.3 * most)

    def test_stays(self) -> None:
        """A session keeps its version, even if its share is used up.

        Its first request ran in this process, or a peer reported it. A user
        whose next message ran on another version would get another style of
        answer.
        """
        tried = self._trial_sessions(range(SESSIONS))
        for session in tried:
            self.trials.record_run(_call(session), 'v2')
        self.rollout.tally.tried += SESSIONS
        again = [
            self.trials.choose_versions(_call(each)).versions for each in tried
        ]
        self.assertEqual(set(again), {NEW})
        told = sessions.SessionVersion('pool', 'regular', 'v1')
        self.trials.pins.merge_sessions((told,))
        for _ in range(3):
            found = self.trials.choose_versions(_call('regular')).versions
            self.assertEqual(found, OLD)

    def test_late_sessions_are_told(self) -> None:
        """A session on the new version changes it at another process."""
        self.rollout.tally.requests = SESSIONS
        names = [f'session-{number}' for number in range(SESSIONS)]
        for name in names:
            self.trials.record_run(_call(name), 'v2')
        told = sessions.tell(self.trials.pins.sessions, 2 * SESSIONS)
        self.assertEqual([each.session for each in told], names)

    def test_first_second(self) -> None:
        """No session is selected until peers have reported running sessions."""
        self.now = self.ordered_at + 0.5
        self.assertEqual(self._trial_sessions(range(SESSIONS)), [])

    def test_bad(self) -> None:
        """A version that fails here gets no more requests at once."""
        for instance in ('n1', 'n2'):
            seen = canary_data.evidence(self.rollout.tally, 'chat')
            seen.answers[instance] = canary_data.Answers(0, 2)
        self.assertTrue(self.rollout.is_version_bad())
        self.assertEqual(self._trial_sessions(range(SESSIONS)), [])

    def test_completed_fails(self) -> None:
        """Failures of a complete version leave a bounded number of lines."""
        written: list[Any] = []
        lines: Any = mock.Mock()
        lines.write = lambda event, **fields: written.append((event, fields))
        self.trials._lines = lines
        self.trials.settle(self.rollout, Phase.COMPLETE, 'store')
        written.clear()
        choice: Any = mock.Mock(running=3)
        for number in range(20):
            self.trials.count_answer(
                _call('guest'), choice, is_good=number % 2 == 0
            )
        self.assertEqual(
            [fields['answers']['chat'] for _, fields in written],
            [[1, 1], [2, 2], [4, 4], [8, 8]],
        )

    @property
    def rollout(self) -> rollout_state.Rollout:
        """Return the only rollout."""
        return next(iter(self.trials.rollouts()))

    def _trial_sessions(self, numbers: range) -> list[str]:
        """Return the new sessions that try the version."""
        names = [f'session-{number}' for number in numbers]
        return [
            name
            for name in names
            if self.trials.choose_versions(_call(name)).versions == NEW
        ]

    def _monotonic(self) -> float:
        return self.now


if __name__ == '__main__':
    unittest.main()
