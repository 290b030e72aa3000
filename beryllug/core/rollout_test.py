"""Tests of what becomes of a roll-out."""

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
    """Feeds a roll-out with reports of one entry."""

    def __init__(self, record: Record, declared: config_data.Rollout) -> None:
        """Begin with a record."""
        self.record = record
        self.declared = declared
        self.sequence = 0
        self.verdicts = [record.verdict]
        self.stages = [record.stage]

    def report(self, *counts: rpc_data.VersionEvidence) -> None:
        """Report, decide and deal."""
        self.sequence += 1
        report = rpc_data.EvidenceReport('entry/1', self.sequence, counts)
        self.record = rollout.absorb(
            self.record, self.declared, report, now=self.sequence
        )
        self.decide()

    def decide(self) -> None:
        """Decide and deal without a report."""
        decision = rollout.decide(self.record, self.declared)
        self.record = rollout.carry_out(self.record, self.declared, decision)
        self.record = rollout.deal(self.record, self.declared, self.sequence)
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
        """Report answers of which all of the candidate's fail."""
        for _ in range(reports):
            self.report(
                *(_counts(NEW, name, 1, 1) for name in ACCOUNTS),
                *(_counts(OLD, name, 1, 0) for name in ACCOUNTS),
            )


def _fleet(declared: config_data.Rollout = UNRATED) -> Fleet:
    return Fleet(rollout.begin(declared, len(ACCOUNTS), None), declared)


class RolloutTest(unittest.TestCase):
    """Evidence, and nothing else, moves a roll-out."""

    def test_good(self) -> None:
        """A good candidate goes through every stage and is promoted."""
        fleet = _fleet()
        fleet.good(60)
        self.assertIs(fleet.record.verdict, Verdict.PROMOTED)
        self.assertEqual(sorted(set(fleet.stages)), [0, 1, 2, 3])
        self.assertEqual(fleet.stages, sorted(fleet.stages))

    def test_silence(self) -> None:
        """Nothing fails, but the ratings the roll-out waits for don't come.

        No evidence is not good evidence: the stage is held, and what may be
        given out stays within the budget however long it takes.
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
        """A version fails for one client account and suits forty others.

        Over all accounts its rate is passable; this account's callers fail.
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
        """A stopped version answers well again, and is declared again.

        Its verdict stays, under its name, also after another roll-out.
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
        """A report comes again because its acknowledgement was lost."""
        fleet = _fleet()
        fleet.report(_counts(NEW, 'kutch', 3, 1))
        report = rpc_data.EvidenceReport(
            'entry/1', 1, (_counts(NEW, 'kutch', 3, 1),)
        )
        again = rollout.absorb(fleet.record, UNRATED, report, now=9)
        self.assertEqual(again, fleet.record)

    def test_interrupted(self) -> None:
        """The holder dies at some stage and the next one takes over.

        It goes on from the record at that stage. With other stages declared
        meanwhile it goes on at the greatest share already reached.
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
        """The candidate has all sessions when its answers begin to fail.

        There is no incumbent left to compare with. It answers again beside
        the candidate; if only the candidate fails, that is stopped.
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
        """As before, but the incumbent fails as well: a common outage."""
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
        """At the first stage one account has only the candidate, which fails.

        Comparing again must not mean a greater share than was reached.
        """
        fleet = _fleet()
        fleet.good(1)
        for _ in range(10):
            fleet.report(_counts(NEW, 'kutch', 16, 8))
        self.assertEqual(fleet.record.percent, 5)

    def test_judged_once(self) -> None:
        """A roll-out without a least rating is rated all the same.

        Its answers are judged when they end. Counted again when they turn
        out unrated, they would be dealt twice.
        """
        fleet = _fleet()
        fleet.good(5, rated=5)
        state = fleet.record.exposure
        self.assertEqual(state.judged + state.released, 100)

    def test_many_accounts(self) -> None:
        """Evidence of very many accounts takes a bounded place."""
        fleet = _fleet()
        for place in range(2 * rollout.MAX_ACCOUNTS):
            fleet.report(_counts(NEW, f'account-{place}', 1, 0))
        self.assertLessEqual(len(fleet.record.scopes), rollout.MAX_ACCOUNTS + 2)


if __name__ == '__main__':
    unittest.main()
