"""Tests of decisions on requests that share what crashes servers."""

import unittest

from beryllug.core import suspects_data
from beryllug.core.placement import (
    poison_requests,
    segment_losses,
    suspect_keys,
)

BAD, COMMON, RARE = suspect_keys.segment_keys(('bad0', 'a1', 'd2'))
LONG_S = 20.0
Keys = suspect_keys.Keys
Verdict = suspects_data.Verdict


def _long(turn: int, place: int | None) -> Keys:
    """Return the keys of a conversation, the bad one at a place if any."""
    keys = [f's/{turn}x{number}' for number in range(1700)]
    if place is not None:
        keys[place] = BAD
    return tuple(keys)


class SuspectKeysTest(unittest.TestCase):
    """Requests that are never alike; `self.number` numbers them."""

    def setUp(self) -> None:
        """Start without any known losses."""
        self.state = poison_requests.Crashers()
        self.number = 0

    def begin(self, segments: Keys, now: float) -> Verdict:
        """Ask to run a new request on a server of its own."""
        self.number += 1
        return poison_requests.may_begin(
            self.state, self.request(segments), now
        )

    def request(self, segments: Keys) -> suspects_data.TrialRequest:
        """Return the latest request."""
        return suspects_data.TrialRequest(
            f'request-{self.number}',
            f'i-{self.number}',
            f'trial-{self.number}',
            LONG_S,
            segments=segments,
        )

    def crash(self, segments: Keys, now: float) -> Verdict:
        """Run a new request whose server is lost."""
        verdict = self.begin(segments, now)
        request = self.request(segments)
        is_trial = verdict is Verdict.TRY
        tried = poison_requests.tried_keys(self.state, request, now)
        poison_requests.run_ended(
            self.state,
            poison_requests.Loss(request.fingerprint, request.server_id),
            poison_requests.EndedRun(
                now,
                request.trial_id if is_trial else '',
                segments,
                tried if is_trial else (),
            ),
        )
        poison_requests.record_server_lost(self.state, request.server_id, now)
        return verdict

    def answer(self, segments: Keys, now: float) -> None:
        """Answer a request."""
        poison_requests.answered(self.state, 'sound', '', now, segments)

    def refused_s(self, segments: Keys, now: float) -> float:
        """Return the seconds for which a new request is refused."""
        return suspect_keys.refused_s(self.state.table, ('new', *segments), now)

    def test_new_requests(self) -> None:
        """Each new request with a segment costs two servers and a trial."""
        verdicts = [self.crash((BAD,), now) for now in range(3)]
        self.assertEqual(verdicts, [Verdict.RUN, Verdict.RUN, Verdict.TRY])
        self.assertEqual(self.begin((BAD, RARE), 3), Verdict.REFUSE)
        self.assertEqual(self.begin((RARE,), 3), Verdict.RUN)

    def test_accused_together(self) -> None:
        """A sound segment is refused with the bad one, and can't be cleared."""
        for now in range(3):
            self.crash((BAD, COMMON), now)
        self.assertGreater(self.refused_s((BAD, COMMON), 3), 0)
        for segments in ((COMMON,), (BAD,)):
            self.assertEqual(self.refused_s(segments, 3), 0)
            self.assertTrue(
                suspect_keys.suspected(self.state.table, segments, 3)
            )
        self.assertEqual(self.begin((COMMON,), 3), Verdict.TRY)
        self.answer((COMMON,), 4)
        self.assertEqual(self.begin((COMMON,), 4), Verdict.RUN)
        self.assertEqual(self.begin((BAD,), 4), Verdict.REFUSE)

    def test_accused_twice(self) -> None:
        """Each rare segment beside the bad one costs a server of its own."""
        for now in range(3):
            self.crash((BAD, COMMON, RARE), now)
        self.assertEqual(self.crash((BAD, COMMON), 3), Verdict.TRY)
        self.assertEqual(self.begin((BAD, COMMON, 's/d3'), 4), Verdict.REFUSE)

    def test_one_trial(self) -> None:
        """Requests that share a suspect segment are tried at the same time."""
        for now in range(2):
            self.crash((BAD,), now)
        self.assertEqual(self.begin((BAD,), 3), Verdict.TRY)
        self.assertEqual(self.begin((BAD, RARE), 3), Verdict.WAIT)
        self.assertTrue(suspect_keys.is_tried(self.state.table, (BAD,), 3))

    def test_popular(self) -> None:
        """A segment that is answered all the time is tried for lost servers."""
        for now in range(4):
            self.answer((COMMON,), now)
            self.crash((BAD, COMMON), now)
        self.assertEqual(self.refused_s((COMMON,), 4), 0)
        self.assertEqual(self.begin((COMMON,), 4), Verdict.RUN)
        self.assertEqual(self.begin((BAD,), 4), Verdict.REFUSE)

    def test_longer(self) -> None:
        """A segment is tried as often after its tenth server as after three."""
        now = 0.0
        waits = []
        for _ in range(2):
            self.crash((BAD,), now)
        for _ in range(4):
            self.assertIs(self.crash((BAD,), now), Verdict.TRY)
            waits.append(self.refused_s((BAD,), now))
            now += waits[-1] + 1
        self.assertEqual(waits, [30, 30, 300, 600])

    def test_vouched(self) -> None:
        """What one process answers is a suspect at those that do not."""
        self.answer((COMMON,), 5)
        losses = tuple(
            suspects_data.Loss(f'i-{number}', '', 6) for number in range(2)
        )
        note = suspects_data.SuspectNote(COMMON, losses)
        poison_requests.merge(self.state, (note,), 6)
        self.assertEqual(self.begin((COMMON,), 6), Verdict.RUN)
        self.assertEqual(poison_requests.pop_vouched(self.state), (COMMON,))
        other = poison_requests.Crashers()
        poison_requests.merge(other, (note,), 6)
        poison_requests.merge(other, self.state.table.notes.values(), 6)
        self.assertFalse(suspect_keys.suspected(other.table, (COMMON,), 6))

    def test_vouched_once(self) -> None:
        """Each process that answered a segment tells all others."""
        self.answer((COMMON,), 5)
        losses = tuple(
            suspects_data.Loss(f'i-{number}', '', 6) for number in range(2)
        )
        cleared = tuple(loss._replace(cleared=True) for loss in losses)
        for told in (losses, cleared):
            note = suspects_data.SuspectNote(COMMON, told)
            poison_requests.merge(self.state, (note,), 6)
        self.assertEqual(poison_requests.pop_vouched(self.state), ())

    def test_answered_long_ago(self) -> None:
        """An answer of long ago clears what crashes servers now."""
        self.answer((COMMON,), 0)
        at = poison_requests.SOUND_S + 1
        losses = tuple(
            suspects_data.Loss(f'i-{number}', '', at) for number in range(2)
        )
        note = suspects_data.SuspectNote(COMMON, losses)
        poison_requests.merge(self.state, (note,), at)
        self.assertEqual(self.begin((COMMON,), at), Verdict.TRY)

    def test_many_segments(self) -> None:
        """A note of many accused segments is too large to be told."""
        segments = suspect_keys.segment_keys(
            f'{number:x}' for number in range(40)
        )
        for now in range(3):
            self.crash(segments, now)
        note = self.state.table.notes[segments[0]]
        self.assertEqual(
            {len(loss.together) for loss in note.losses},
            {suspect_keys.MAX_TOGETHER},
        )
        self.assertGreater(self.refused_s(segments, 3), 0)

    def test_long_prompts(self) -> None:
        """A segment anywhere in a long prompt is not found."""
        for place in (0, 64, 850, 1699):
            with self.subTest(place):
                self.setUp()
                verdicts = [
                    self.crash(_long(turn, place), turn)
                    for turn in (0, 0, 0, 1)
                ]
                self.assertEqual(
                    verdicts,
                    [Verdict.RUN, Verdict.RUN, Verdict.TRY, Verdict.TRY],
                )
                self.assertEqual(self.begin(_long(2, place), 2), Verdict.REFUSE)
                self.assertEqual(self.begin(_long(2, None), 2), Verdict.RUN)
                self.assertLessEqual(
                    len(self.state.untold), 2 * suspect_keys.MAX_TRIED
                )

    def test_told_segments(self) -> None:
        """What two processes lost under a segment does not add up."""
        others = [poison_requests.Crashers() for _ in range(2)]
        for number, other in enumerate(others):
            loss = poison_requests.Loss(f'request-{number}', f'i-{number}')
            run = poison_requests.EndedRun(1, '', (COMMON, BAD))
            poison_requests.run_ended(other, loss, run)
            poison_requests.record_server_lost(other, loss.instance, 1)
            for lost in other.untold_lost:
                poison_requests.merge_segments(self.state, lost, 1)
        self.assertEqual(self.begin((BAD,), 2), Verdict.TRY)
        poison_requests.merge_answered(self.state, (COMMON,), 0)
        self.assertEqual(self.begin((COMMON,), 2), Verdict.RUN)

    def test_vouched_segments(self) -> None:
        """A segment is tried everywhere that one process answers."""
        self.answer((COMMON,), 5)
        lost = segment_losses.LostServer('i-1', 6, (COMMON, BAD))
        poison_requests.merge_segments(self.state, lost, 6)
        self.assertEqual(
            poison_requests.pop_vouched_segments(self.state, 6.5), {2: [COMMON]}
        )
        poison_requests.merge_segments(self.state, lost, 6)
        poison_requests.merge_answered(self.state, (COMMON,), 5)
        self.assertEqual(
            poison_requests.pop_vouched_segments(self.state, 6.5), {}
        )

    def test_cleared_segments(self) -> None:
        """A segment is tried on after its trial was answered."""
        for now in range(2):
            self.crash((BAD, COMMON), now)
        self.state.untold_lost.clear()
        self.answer((COMMON,), 2)
        self.assertEqual(list(self.state.untold_answered), [COMMON])
        self.assertEqual(self.begin((COMMON,), 2), Verdict.RUN)
        self.assertEqual(self.begin((BAD,), 2), Verdict.TRY)

    def test_long_ids(self) -> None:
        """A long id makes a note too large to be told."""
        key, other = suspect_keys.segment_keys(('a' * 500, 'a' * 501))
        self.assertLess(len(key), 2 * suspect_keys.MAX_PLAIN_ID)
        self.assertNotEqual(key, other)


if __name__ == '__main__':
    unittest.main()
