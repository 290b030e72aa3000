"""Table tests of the classification of crashes."""

import unittest
from typing import NamedTuple

from beryllug.core import (
    crash_causes,
    suspects,
    suspects_data,
    suspects_test,
)

Cause = suspects_data.Cause
Crash = suspects_data.Crash
AT = suspects_test.AT


class Case(NamedTuple):
    """Crashes and their cause."""

    title: str
    crashes: tuple[tuple[str, str, str], ...]
    cause: Cause


CASES = (
    Case('none', (), Cause.UNCLEAR),
    Case('one', (('s1', 'v1', 'ab'),), Cause.UNCLEAR),
    Case(
        'one request, two servers',
        (('s1', 'v1', 'ab'), ('s2', 'v1', 'a')),
        Cause.POISON,
    ),
    Case(
        'one request, two versions',
        (('s1', 'v1', 'ab'), ('s2', 'v2', 'ac')),
        Cause.POISON,
    ),
    Case(
        'many requests, one version',
        (('s1', 'v1', 'ab'), ('s2', 'v1', 'cd')),
        Cause.BAD_VERSION,
    ),
    Case(
        'a version whose requests are all cleared',
        (('s1', 'v1', ''), ('s2', 'v1', '')),
        Cause.BAD_VERSION,
    ),
    Case(
        'one server, many requests',
        (('s1', 'v1', 'ab'), ('s1', 'v2', 'cd')),
        Cause.DYING_HOST,
    ),
    Case(
        'one server, one request',
        (('s1', 'v1', 'ab'), ('s1', 'v1', 'a')),
        Cause.UNCLEAR,
    ),
    Case(
        'nothing in common',
        (('s1', 'v1', 'ab'), ('s2', 'v2', 'cd')),
        Cause.UNCLEAR,
    ),
    Case(
        'plain services have no version',
        (('s1', '', 'ab'), ('s2', '', 'cd')),
        Cause.UNCLEAR,
    ),
)


class ClassifyTest(unittest.TestCase):
    """Tells a poison request, a bad version and a dying host apart."""

    def test_table(self) -> None:
        """Each case of the table has the expected cause."""
        for case in CASES:
            with self.subTest(case.title):
                crashes = [
                    Crash(server, version, AT, frozenset(names))
                    for server, version, names in case.crashes
                ]
                self.assertEqual(crash_causes.classify(crashes), case.cause)

    def test_of_reports(self) -> None:
        """Reports of two entries are one crash, without cleared requests."""
        table = suspects_data.Table()
        suspects.record_report(
            table, suspects_test.report('s1', ('a', 'b')), AT
        )
        suspects.record_report(
            table, suspects_test.report('s1', ('c',), AT + 1), AT + 1
        )
        suspects.record_trial_end(
            table, suspects_data.TrialEnd('b', '', answered=True)
        )
        crashes = crash_causes.crashes_of(table)
        self.assertEqual(len(crashes), 1)
        self.assertEqual(crashes[0].fingerprints, {'a', 'c'})


if __name__ == '__main__':
    unittest.main()
