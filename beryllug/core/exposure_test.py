"""Tests of the exposure budget and its shares."""

import random
import unittest

from beryllug.core import config_data, exposure, rollout_data, rpc_data

REF = config_data.VersionRef('desk', 'v2')
DECLARED = config_data.Rollout(
    'desk', 'v1', 'v2', (5, 100), 160, max_error_rate=0.05, min_rating=0.7
)
ENTRIES = tuple(f'entry-{place}' for place in range(6))


def _report(entry: str, sequence: int) -> rpc_data.EvidenceReport:
    return rpc_data.EvidenceReport(entry, sequence, ())


def _counts(
    answers: int, errors: int = 0, rated: int = 0, unrated: int = 0
) -> rpc_data.VersionEvidence:
    return rpc_data.VersionEvidence(
        REF, 'kutch', answers, errors, 0, rated=rated, unrated=unrated
    )


def _reported(now: float = 0.0, sequence: int = 1) -> rollout_data.Exposure:
    state = rollout_data.Exposure({})
    for entry in ENTRIES:
        reported = exposure.record_report(
            state, _report(entry, sequence), now, braked=entry == ENTRIES[0]
        )
        assert reported is not None
        state = reported
    return state


def _count(
    state: rollout_data.Exposure, entry: str, counts: rpc_data.VersionEvidence
) -> rollout_data.Exposure:
    return exposure.count(state, entry, counts, needs_rating=True)


class ExposureTest(unittest.TestCase):
    """The number of unjudged answers stays within the budget."""

    def test_bound(self) -> None:
        """Entry hosts use their shares while ratings arrive at random times.

        In any order, no more is allocated than the judged answers plus the
        limit, and no total ever decreases.
        """
        for seed in range(10):
            rng = random.Random(seed)
            state = _reported()
            for step in range(200):
                state = self._step(rng, state)
                unjudged = exposure.limit(DECLARED, rng.uniform(-2, 3))
                before = state
                state = exposure.allocate(before, unjudged, now=step / 100)
                dealt = exposure.possibly_served(
                    state
                ) - exposure.possibly_served(before)
                allowed = (
                    unjudged + state.judged - exposure.possibly_served(before)
                )
                self.assertLessEqual(dealt, max(0, allowed))
                for entry, share in state.shares.items():
                    self.assertGreaterEqual(
                        share.dealt, before.shares[entry].dealt
                    )

    def test_reported_twice(self) -> None:
        """A report that is sent again after a lost reply is ignored."""
        state = _reported(sequence=3)
        for sequence in (3, 2):
            again = exposure.record_report(
                state, _report(ENTRIES[1], sequence), 1.0, braked=False
            )
            self.assertIsNone(again)

    def test_eligible_entries(self) -> None:
        """An entry host that blocks the candidate or is silent gets none."""
        dealt = exposure.allocate(_reported(), 10, now=1.0).shares
        self.assertEqual(dealt[ENTRIES[0]].dealt, 0)
        self.assertEqual({dealt[entry].dealt for entry in ENTRIES[1:]}, {1})
        later = exposure.SILENT_S + 1
        silent = exposure.allocate(_reported(), 10, now=later).shares
        self.assertEqual({share.dealt for share in silent.values()}, {0})

    def test_dead_entries(self) -> None:
        """Shares of dead entry hosts, which may have used them, are kept.

        So nothing is allocated twice. Much later the shares are reclaimed, or
        repeated failures of entry hosts would use up the budget for ever.
        """
        state = exposure.allocate(_reported(), 10, now=0.0)
        state = _count(state, ENTRIES[1], _counts(1))
        out = exposure.possibly_served(state)
        soon = exposure.write_off(state, exposure.WRITE_OFF_S - 1)
        self.assertEqual(exposure.possibly_served(soon), out)
        late = exposure.write_off(state, exposure.WRITE_OFF_S)
        self.assertEqual(late.shares, {})
        self.assertEqual((exposure.possibly_served(late), late.lost), (1, 4))

    def test_silence(self) -> None:
        """During an outage of the rating service no answer is judged.

        The answers that it will never rate are released only when ratings
        arrive again; without a rating of the candidate only a part of the
        budget is released.
        """
        state = exposure.allocate(_reported(), 5, now=0.0)
        for entry in ENTRIES[1:]:
            state = _count(state, entry, _counts(1, unrated=1))
        self.assertEqual(exposure.allocate(state, 5, now=1.0), state)
        released = exposure.release(state, DECLARED)
        self.assertEqual(released.released, 5)
        self.assertNotEqual(exposure.allocate(released, 5, now=1.0), released)
        many = _count(released, ENTRIES[1], _counts(100, unrated=100))
        self.assertEqual(exposure.release(many, DECLARED).released, 40)

    def test_pinned_sessions(self) -> None:
        """Sessions on the candidate may exceed the entry host's share.

        They keep their version. New sessions get the candidate only after the
        excess is judged.
        """
        state = exposure.allocate(_reported(), 5, now=0.0)
        state = _count(state, ENTRIES[1], _counts(8))
        self.assertEqual(exposure.possibly_served(state), 12)
        self.assertEqual(exposure.allocate(state, 5, now=1.0), state)

    def _step(
        self, rng: random.Random, state: rollout_data.Exposure
    ) -> rollout_data.Exposure:
        entry = rng.choice(ENTRIES)
        share = state.shares[entry]
        used = rng.randint(0, max(0, share.dealt - share.given))
        waiting = sum(one.given for one in state.shares.values())
        rated = rng.randint(0, max(0, waiting - state.judged) // 2)
        return _count(state, entry, _counts(used, rated=rated))


if __name__ == '__main__':
    unittest.main()
