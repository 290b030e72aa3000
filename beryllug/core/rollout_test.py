"""Tests of the decisions about a roll-out."""

import random
import unittest

from beryllug.core import (
    config_data,
    rollout,
    rollout_data,
    rpc_data,
    view_data,
)

DECLARED = config_data.Rollout(
    'desk', 'v1', 'v2', (5, 25, 50, 100), 150, 0.05, min_rating=0.7
)
UNRATED = DECLARED._replace(min_rating=0)
NEW = config_data.VersionRef('desk', 'v2')
OLD = config_data.VersionRef('desk', 'v1')
ACCOUNTS = ('kutch', 'saputara')
Verdict = view_data.Verdict
Record = rollout_data.Record


def _counts(
    ref: config_data.VersionRef, account: str, answers: int, errors: int
) -> rpc_data.VersionEvidence:
    return rpc_data.VersionEvidence(ref, account, answers, errors, late=0)


def _rate(
    counts: rpc_data.VersionEvidence, rated: int
) -> rpc_data.VersionEvidence:
    return counts._replace(
        rated=rated, rating_sum=0.9 * rated, unrated=9 - rated
    )


class Fleet:
    """Feeds a roll-out with the reports of one entry host."""

    def __init__(self, record: Record, declared: config_data.Rollout) -> None:
        """Start with a record."""
        self.record = record
        self.declared = declared
        self.sequence = 0
        self.verdicts = [record.verdict]
        self.stages = [record.stage]

    def report(self, *counts: rpc_data.VersionEvidence) -> None:
        """Add a report, then decide and allocate."""
        self.sequence += 1
        report = rpc_data.EvidenceReport('entry/1', self.sequence, counts)
        self.record = rollout.include_report(
            self.record, self.declared, report, now=self.sequence
        )
        self.decide()

    def decide(self) -> None:
        """Decide and allocate without a report."""
        decision = rollout.decide(self.record, self.declared)
        self.record = rollout.apply_decision(
            self.record, self.declared, decision
        )
        self.record = rollout.allocate(
            self.record, self.declared, self.sequence
        )
        self.verdicts.append(self.record.verdict)
        self.stages.append(self.record.stage)

    def good(self, reports: int, rated: int = 0) -> None:
        """Report good answers of both versions, with one failure in 200."""
        for _ in range(reports):
            failed = self.sequence % 20 == 10
            counts = [
                _counts(ref, account, 10, failed)
                for ref in (NEW, OLD)
                for account in ACCOUNTS
            ]
            self.report(*(_rate(part, rated) for part in counts))

    def bad(self, reports: int) -> None:
        """Report good answers of the incumbent and bad of the candidate."""
        for _ in range(reports):
            self.report(
                *(_counts(NEW, name, 1, 1) for name in ACCOUNTS),
                *(_counts(OLD, name, 1, 0) for name in ACCOUNTS),
            )


def _fleet(declared: config_data.Rollout = UNRATED) -> Fleet:
    return Fleet(rollout.begin(declared, len(ACCOUNTS), None), declared)


class RolloutTest(unittest.TestCase):
    """A roll-out changes only on evidence."""

    def test_good(self) -> None:
        """A good candidate passes every stage and is promoted."""
        fleet = _fleet()
        fleet.good(60)
        self.assertIs(fleet.record.verdict, Verdict.PROMOTED)
        self.assertEqual(sorted(set(fleet.stages)), [0, 1, 2, 3])
        self.assertEqual(fleet.stages, sorted(fleet.stages))

    def test_silence(self) -> None:
        """A stage without failures is held while required ratings are missing.

        Missing evidence must not count as good evidence. The number of
        answers allowed stays within the budget however long it takes.
        """
        fleet = _fleet(DECLARED)
        fleet.good(60)
        self.assertEqual(set(fleet.stages), {0})
        dealt = fleet.record.exposure.shares
        for _ in range(100):
            fleet.decide()
        self.assertEqual(fleet.record.exposure.shares, dealt)
        self.assertEqual(fleet.record.exposure.released, 0)
        fleet.good(60, rated=9)
        self.assertIs(fleet.record.verdict, Verdict.PROMOTED)

    def test_bad_for_one_account(self) -> None:
        """A version that fails for one of 41 client accounts is stopped.

        Over all accounts its error rate is acceptable, but all requests of
        this account fail.
        """
        fleet = _fleet()
        for _ in range(20):
            others = [f'account-{place}' for place in range(40)]
            fleet.report(
                *(_counts(NEW, name, 1, 0) for name in others),
                *(_counts(OLD, name, 1, 0) for name in others),
                _counts(NEW, 'kutch', 1, 1),
                _counts(OLD, 'kutch', 1, 0),
            )
        self.assertIs(fleet.record.verdict, Verdict.STOPPED)
        self.assertEqual(fleet.record.reason, 'error for kutch')

    def test_stop_is_final(self) -> None:
        """A stopped version stays stopped under its name.

        It does so after later good answers, when it is declared again, and
        after a roll-out of another candidate.
        """
        fleet = _fleet()
        while fleet.record.verdict is Verdict.RUNNING:
            fleet.bad(1)
        fleet.good(200)
        self.assertIs(fleet.record.verdict, Verdict.STOPPED)
        record = rollout.resume(fleet.record, UNRATED, 2)
        self.assertIs(record.verdict, Verdict.STOPPED)
        other = UNRATED._replace(candidate='v3')
        record = rollout.resume(record, other, 2)
        self.assertIs(record.verdict, Verdict.RUNNING)
        record = rollout.resume(record, UNRATED, 2)
        self.assertIs(record.verdict, Verdict.STOPPED)

    def test_reported_twice(self) -> None:
        """A report that is sent again after a lost reply is ignored."""
        fleet = _fleet()
        fleet.report(_counts(NEW, 'kutch', 3, 1))
        report = rpc_data.EvidenceReport(
            'entry/1', 1, (_counts(NEW, 'kutch', 3, 1),)
        )
        again = rollout.include_report(fleet.record, UNRATED, report, now=9)
        self.assertEqual(again, fleet.record)

    def test_interrupted(self) -> None:
        """A new lease holder resumes the roll-out of one that died.

        It continues at the recorded stage. If the stages were changed, it
        continues at the greatest one within the share already reached.
        """
        cases = (
            ((5, 25, 50, 100), 1, 25),
            ((1, 5, 25, 50, 100), 2, 25),
            ((10, 30, 100), 0, 10),
            ((50, 100), 0, 50),
            ((5, 100), 0, 5),
        )
        record = _fleet().record._replace(stage=1, percent=25)
        for stages, stage, percent in cases:
            with self.subTest(stages=stages):
                declared = UNRATED._replace(stages=stages)
                resumed = rollout.resume(record, declared, 2)
                self.assertEqual(
                    (resumed.stage, resumed.percent), (stage, percent)
                )

    def test_worse_once_promoted(self) -> None:
        """A promoted candidate whose answers begin to fail is stopped.

        It has all sessions, so there is no incumbent to compare with. The
        comparison is reopened, and the candidate is stopped because only its
        answers fail.
        """
        fleet = _fleet()
        fleet.good(60)
        for _ in range(10):
            fleet.report(_counts(NEW, 'kutch', 16, 8))
        self.assertIs(fleet.record.verdict, Verdict.RUNNING)
        self.assertEqual(fleet.record.percent, 50)
        fleet.bad(40)
        self.assertIs(fleet.record.verdict, Verdict.STOPPED)

    def test_common_outage_once_promoted(self) -> None:
        """A promoted candidate survives an outage of both versions."""
        fleet = _fleet()
        fleet.good(60)
        rng = random.Random(1)
        for step in range(300):
            counts = [_counts(NEW, 'kutch', 16, rng.randint(6, 10))]
            if step > 10:
                counts.append(_counts(OLD, 'kutch', 16, rng.randint(6, 10)))
            fleet.report(*counts)
        fleet.good(100)
        self.assertIs(fleet.record.verdict, Verdict.PROMOTED)
        self.assertNotIn(Verdict.STOPPED, fleet.verdicts)

    def test_alarm_skips_no_stage(self) -> None:
        """An alarm at the first stage must not raise the candidate's share.

        One account has answers of only the candidate, which fails. Reopening
        the comparison must not go to a greater share than was reached.
        """
        fleet = _fleet()
        fleet.good(1)
        for _ in range(10):
            fleet.report(_counts(NEW, 'kutch', 16, 8))
        self.assertEqual(fleet.record.percent, 5)

    def test_judged_once(self) -> None:
        """Answers of a roll-out without a minimum rating are judged once.

        They are judged when they end, though they may be rated as well. If
        they were released again as unrated, their budget would be allocated
        twice.
        """
        fleet = _fleet()
        fleet.good(5, rated=5)
        state = fleet.record.exposure
        self.assertEqual(state.judged + state.released, 100)

    def test_many_accounts(self) -> None:
        """The number of accounts with evidence of their own is bounded."""
        fleet = _fleet()
        for place in range(2 * rollout.MAX_ACCOUNTS):
            fleet.report(_counts(NEW, f'account-{place}', 1, 0))
        self.assertLessEqual(len(fleet.record.scopes), rollout.MAX_ACCOUNTS + 2)


if __name__ == '__main__':
    unittest.main()
