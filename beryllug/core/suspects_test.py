"""Tests of the decisions on suspected requests."""

import itertools
import random
import unittest

from beryllug.core import config_data, rpc_data, suspects, suspects_data

V1 = config_data.VersionRef('small', 'v1')
Verdict = suspects_data.Verdict
AT = 1000.0
LATER = suspects.WINDOW_S


def report(
    server: str,
    fingerprints: tuple[str, ...],
    at: float = AT,
    trial: tuple[str, str] = ('', ''),
) -> rpc_data.CrashReport:
    """Return a report; `trial` is a fingerprint and the id of its trial."""
    return rpc_data.CrashReport('e', server, V1, fingerprints, at, *trial)


def get_verdict(
    table: suspects_data.Table,
    name: str,
    server: str,
    trial_id: str = 't',
    now: float = AT,
) -> Verdict:
    """Return the verdict on a request that is to run on a server."""
    request = suspects_data.TrialRequest(name, server, trial_id, 20)
    return suspects.judge(table, request, now).verdict


class JudgeTest(unittest.TestCase):
    """Verdicts on a suspected request and its trial."""

    def setUp(self) -> None:
        """Two requests ran on a server that was lost."""
        self.table = suspects_data.Table()
        suspects.record_report(self.table, report('s1', ('a', 'b')), AT)

    def test_convicted(self) -> None:
        """A request whose trial loses its server is refused for REFUSED_S."""
        self.assertEqual(get_verdict(self.table, 'a', 's2'), Verdict.TRY)
        lost = report('s2', ('a',), AT, ('a', 't'))
        suspects.record_report(self.table, lost, AT)
        last = AT + suspects.REFUSED_S
        for now, verdict in (
            (AT, Verdict.REFUSE),
            (last - 1, Verdict.REFUSE),
            (last, Verdict.RUN),
        ):
            suspects.expire(self.table, now)
            self.assertEqual(
                get_verdict(self.table, 'a', 's3', 'u', now), verdict
            )
        self.assertEqual(suspects.suspects_for_entries(self.table, last), ())

    def test_restarted_server(self) -> None:
        """The only server restarts and is lost again under the trial."""
        get_verdict(self.table, 'a', 's1')
        lost = report('s1', ('a',), AT + 1, ('a', 't'))
        suspects.record_report(self.table, lost, AT + 1)
        verdict = get_verdict(self.table, 'a', 's1', 'u', AT + 1)
        self.assertEqual(verdict, Verdict.REFUSE)

    def test_cleared(self) -> None:
        """A request whose trial is answered needs no further trial.

        A late report of the same loss does not make it a suspect again; a
        new loss does.
        """
        get_verdict(self.table, 'b', 's2')
        suspects.record_trial_end(
            self.table, suspects_data.TrialEnd('b', 't', True)
        )
        suspects.record_report(self.table, report('s1', ('b',), AT + 1), AT + 1)
        self.assertEqual(get_verdict(self.table, 'b', 's2', 'u'), Verdict.RUN)
        again = AT + LATER
        suspects.record_report(self.table, report('s1', ('b',), again), again)
        self.assertEqual(
            get_verdict(self.table, 'b', 's2', 'u', again), Verdict.TRY
        )

    def test_trials(self) -> None:
        """A request and a server each have at most one trial at a time."""
        self.assertEqual(get_verdict(self.table, 'a', 's2', 't'), Verdict.TRY)
        for title, name, server, trial_id, verdict in (
            ('repeated', 'a', 's2', 't', Verdict.TRY),
            ('a copy elsewhere', 'a', 's3', 'u', Verdict.WAIT),
            ('another on the same server', 'b', 's2', 'u', Verdict.WAIT),
            ('another elsewhere', 'b', 's3', 'u', Verdict.TRY),
            ('not suspected', 'c', 's2', 'w', Verdict.RUN),
        ):
            with self.subTest(title):
                found = get_verdict(self.table, name, server, trial_id)
                self.assertEqual(found, verdict)
        end = suspects_data.TrialEnd('a', 't', answered=False)
        suspects.record_trial_end(self.table, end)
        self.assertEqual(get_verdict(self.table, 'a', 's4', 'x'), Verdict.TRY)

    def test_bounded(self) -> None:
        """Refused requests are kept when a lost rack fills the table."""
        get_verdict(self.table, 'a', 's2')
        lost = report('s2', ('a',), AT, ('a', 't'))
        suspects.record_report(self.table, lost, AT)
        many = tuple(map(str, range(2 * suspects.MAX_NOTES)))
        suspects.record_report(self.table, report('s3', many, AT + 1), AT + 1)
        self.assertEqual(len(self.table.notes), suspects.MAX_NOTES)
        self.assertEqual(
            get_verdict(self.table, 'a', 's4', 'u'), Verdict.REFUSE
        )


class MergeTest(unittest.TestCase):
    """Tables with the same notes, merged in any order, are equal."""

    def test_orders(self) -> None:
        """Each order of four notes, some merged twice, gives one table."""
        loss = suspects_data.Loss('s1', 'v1', AT)
        tried = suspects_data.Trial('t', 's2', AT + 20)
        notes = (
            suspects_data.SuspectNote('a', (loss,)),
            suspects_data.SuspectNote('a', (loss._replace(cleared=True),)),
            suspects_data.SuspectNote('a', (), (tried,)),
            suspects_data.SuspectNote(
                'a',
                (loss._replace(at=AT - 1), loss._replace(trial_id='t')),
                (tried._replace(ended=True),),
            ),
        )
        rng = random.Random(1)
        tables = []
        for order in itertools.permutations(notes):
            table = suspects_data.Table()
            suspects.merge(table, (*order, *rng.choices(notes, k=2)), AT)
            tables.append(table.notes)
        for notes_found in tables:
            self.assertEqual(notes_found, tables[0])
        self.assertTrue(suspects.is_refused(tables[0]['a'], AT))


if __name__ == '__main__':
    unittest.main()
