"""Tests of requests that crash servers, and of those that don't."""

import unittest

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import poison_requests, suspect_keys

BAD = 'bad'
GOOD = 'good'
SERVERS = ('i-1', 'i-2', 'i-3', 'i-4')
DEADLINE_S = 10.0
Verdict = suspects_data.Verdict


def begin(
    state: poison_requests.Crashers,
    fingerprint: str,
    instance: str,
    now: float,
) -> Verdict:
    """Ask to run a request on a server, in a trial named after both."""
    request = suspects_data.TrialRequest(
        fingerprint, instance, f'{fingerprint}-{instance}', DEADLINE_S
    )
    return poison_requests.may_begin(state, request, now)


def end_run(
    state: poison_requests.Crashers,
    fingerprint: str,
    instance: str,
    now: float,
    *,
    is_trial: bool = False,
) -> None:
    """End a run without an answer."""
    trial_id = f'{fingerprint}-{instance}' if is_trial else ''
    poison_requests.run_ended(
        state,
        poison_requests.Loss(fingerprint, instance),
        poison_requests.EndedRun(now, trial_id),
    )
    poison_requests.trial_ended(state, fingerprint, trial_id)


class CrashersTest(unittest.TestCase):
    """Attribution of server losses to requests."""

    def setUp(self) -> None:
        """Start without any known losses."""
        self.state = poison_requests.Crashers()

    def crash(self, fingerprint: str, instance: str, now: float) -> None:
        """Run a request whose server is lost four seconds later."""
        verdict = begin(self.state, fingerprint, instance, now)
        self.assertIn(verdict, {Verdict.RUN, Verdict.TRY})
        is_trial = verdict is Verdict.TRY
        end_run(self.state, fingerprint, instance, now, is_trial=is_trial)
        poison_requests.record_server_lost(self.state, instance, now + 4)

    def refused_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a request is refused."""
        return suspect_keys.refused_s(self.state.table, (fingerprint,), now)

    def test_third_server(self) -> None:
        """A caller retries a request that has crashed three servers."""
        for number, instance in enumerate(SERVERS[:3]):
            self.assertEqual(self.refused_s(BAD, number), 0)
            self.crash(BAD, instance, number)
        self.assertGreater(self.refused_s(BAD, 8), 50)
        self.assertEqual(self.refused_s(GOOD, 8), 0)
        self.assertEqual(begin(self.state, BAD, 'i-5', 8), Verdict.REFUSE)
        after_s = 8 + suspects.REFUSED_S
        self.assertEqual(self.refused_s(BAD, after_s), 0)

    def test_resets(self) -> None:
        """Servers that reset some of their connections are not lost."""
        for number in range(20):
            end_run(self.state, GOOD, SERVERS[number % 4], number)
        self.assertEqual(begin(self.state, GOOD, 'i-5', 20), Verdict.RUN)

    def test_gone_later(self) -> None:
        """A server that leaves long after a reset was not crashed by it."""
        for instance in SERVERS:
            end_run(self.state, GOOD, instance, 0)
            poison_requests.record_server_lost(self.state, instance, 30)
        self.assertEqual(begin(self.state, GOOD, 'i-5', 30), Verdict.RUN)

    def test_innocent(self) -> None:
        """A request with a successful answer has not crashed its servers."""
        for instance in SERVERS[:2]:
            self.crash(GOOD, instance, 0)
        poison_requests.answered(self.state, GOOD, '', 4)
        later_s = 4 + poison_requests.SOUND_S + 1
        self.assertEqual(
            begin(self.state, GOOD, SERVERS[2], later_s), Verdict.RUN
        )
        self.crash(GOOD, SERVERS[2], later_s)
        self.assertEqual(poison_requests.lost_count(self.state, GOOD), 1)
        self.assertEqual(self.refused_s(GOOD, later_s + 4), 0)
        self.assertEqual(
            begin(self.state, GOOD, 'i-5', later_s + 4), Verdict.RUN
        )

    def test_popular(self) -> None:
        """What a third server answers is refused as two servers crash."""
        poison_requests.answered(self.state, GOOD, '', 0)
        for instance in SERVERS[:2]:
            self.crash(GOOD, instance, 0)
        self.assertEqual(begin(self.state, GOOD, 'i-3', 4), Verdict.RUN)
        later_s = poison_requests.SOUND_S + 1
        for number in range(2):
            self.crash(GOOD, f'late-{number}', later_s)
        self.assertEqual(begin(self.state, GOOD, 'i-3', later_s), Verdict.TRY)

    def test_discarded(self) -> None:
        """An answer that is discarded does not clear the losses before it."""
        for instance in SERVERS[:2]:
            self.crash(BAD, instance, 0)
        self.assertEqual(begin(self.state, BAD, SERVERS[2], 5), Verdict.TRY)
        end_run(self.state, BAD, SERVERS[2], 5, is_trial=True)
        poison_requests.record_server_lost(self.state, SERVERS[2], 5.1)
        self.assertGreater(self.refused_s(BAD, 6), 0)

    def test_shared_servers(self) -> None:
        """A sound request is refused with one that crashes its servers."""
        for instance in SERVERS[:2]:
            end_run(self.state, BAD, instance, 0)
            end_run(self.state, GOOD, instance, 0)
            poison_requests.record_server_lost(self.state, instance, 0)
        self.assertEqual(begin(self.state, BAD, 'i-3', 1), Verdict.TRY)
        self.assertEqual(begin(self.state, GOOD, 'i-3', 1), Verdict.WAIT)
        self.assertIn('i-3', poison_requests.avoided(self.state, 1))
        self.assertEqual(begin(self.state, GOOD, 'i-4', 1), Verdict.TRY)
        end_run(self.state, BAD, 'i-3', 2, is_trial=True)
        poison_requests.record_server_lost(self.state, 'i-3', 2)
        poison_requests.answered(self.state, GOOD, f'{GOOD}-i-4', 2)
        self.assertGreater(self.refused_s(BAD, 3), 0)
        self.assertEqual(begin(self.state, GOOD, 'i-5', 3), Verdict.RUN)

    def test_two_trials(self) -> None:
        """A request is refused as another one's trial crashes their server."""
        for fingerprint in (BAD, GOOD):
            for instance in SERVERS[:2]:
                self.crash(fingerprint, instance, 0)
        other = poison_requests.Crashers()
        poison_requests.merge(other, self.state.table.notes.values(), 5)
        self.assertEqual(begin(self.state, BAD, 'i-3', 5), Verdict.TRY)
        self.assertEqual(begin(other, GOOD, 'i-3', 5), Verdict.TRY)
        poison_requests.merge(self.state, poison_requests.pop_untold(other), 5)
        poison_requests.run_ended(
            self.state,
            poison_requests.Loss(BAD, 'i-3'),
            poison_requests.EndedRun(6, f'{BAD}-i-3'),
        )
        poison_requests.record_server_lost(self.state, 'i-3', 6)
        self.assertEqual(self.refused_s(BAD, 6), 0)
        self.assertEqual(begin(self.state, BAD, 'i-4', 20), Verdict.TRY)

    def test_told(self) -> None:
        """Losses at two processes add up, reported once or repeatedly."""
        others = [poison_requests.Crashers() for _ in range(2)]
        for other, instance in zip(others, SERVERS):
            end_run(other, BAD, instance, 0)
            poison_requests.record_server_lost(other, instance, 1)
            told = poison_requests.pop_untold(other)
            poison_requests.merge(self.state, told, 1)
            poison_requests.merge(self.state, told, 2)
            self.assertEqual(poison_requests.pop_untold(other), [])
        self.assertEqual(begin(self.state, BAD, 'i-3', 2), Verdict.TRY)

    def test_older_release(self) -> None:
        """A loss that an older release repeats counts as a second one."""
        losses = [poison_requests.Loss(BAD, each) for each in SERVERS[:2]]
        poison_requests.take(self.state, losses[:1], 1)
        poison_requests.take(self.state, losses[:1], 9)
        self.assertEqual(begin(self.state, BAD, 'i-3', 9), Verdict.RUN)
        poison_requests.take(self.state, losses[1:], 9)
        self.assertEqual(begin(self.state, BAD, 'i-3', 9), Verdict.TRY)

    def test_lost_elsewhere(self) -> None:
        """A peer finds a server lost on which this process ran a request."""
        end_run(self.state, BAD, 'i-1', 0)
        loss = suspects_data.Loss('i-1', '', 0)
        note = suspects_data.SuspectNote(GOOD, (loss,))
        poison_requests.merge(self.state, (note,), 0.1)
        self.assertTrue(poison_requests.is_lost(self.state, 'i-1', 0.1))
        found = poison_requests.record_server_lost(self.state, 'i-1', 0.1).found
        self.assertEqual([each.fingerprint for each in found], [BAD])

    def test_alive_again(self) -> None:
        """A server wrongly taken for lost stays so, as peers repeat it."""
        end_run(self.state, BAD, 'i-1', 0)
        poison_requests.record_server_lost(self.state, 'i-1', 0)
        told = poison_requests.pop_untold(self.state)
        later_s = poison_requests.DETECTED_WITHIN_S + 1
        poison_requests.merge(self.state, told, later_s)
        self.assertFalse(poison_requests.is_lost(self.state, 'i-1', later_s))
        self.assertNotIn('i-1', poison_requests.avoided(self.state, later_s))

    def test_bounded(self) -> None:
        """The tracked losses are bounded; the oldest are removed first."""
        for number in range(2 * poison_requests.MAX_TRACKED):
            self.crash(f'request-{number}', f'i-{number}', number / 100)
        self.assertLessEqual(len(self.state.table.notes), suspects.MAX_NOTES)
        self.assertLessEqual(len(self.state.lost), poison_requests.MAX_TRACKED)
        last = f'request-{2 * poison_requests.MAX_TRACKED - 1}'
        self.assertIn(last, self.state.table.notes)

    def test_ended_bounded(self) -> None:
        """Runs that ended long ago are forgotten, whatever their servers."""
        for number in range(2 * poison_requests.MAX_TRACKED):
            for instance in ('i-1', f'i-{number}'):
                end_run(self.state, f'request-{number}', instance, number)
        kept = poison_requests.DETECTED_WITHIN_S + 1
        self.assertLessEqual(len(self.state.ended), kept + 1)
        self.assertLessEqual(len(self.state.ended['i-1']), kept)


if __name__ == '__main__':
    unittest.main()
