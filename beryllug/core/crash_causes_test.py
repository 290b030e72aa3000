"""What lost servers are put down to, in a table."""

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


class Cell(NamedTuple):
    """Crashes and what they are put down to."""

    title: str
    crashes: tuple[tuple[str, str, str], ...]
    cause: Cause


CELLS = (
    Cell('none', (), Cause.UNCLEAR),
    Cell('one', (('s1', 'v1', 'ab'),), Cause.UNCLEAR),
    Cell(
        'one request, two servers',
        (('s1', 'v1', 'ab'), ('s2', 'v1', 'a')),
        Cause.POISON,
    ),
    Cell(
        'one request, two versions',
        (('s1', 'v1', 'ab'), ('s2', 'v2', 'ac')),
        Cause.POISON,
    ),
    Cell(
        'many requests, one version',
        (('s1', 'v1', 'ab'), ('s2', 'v1', 'cd')),
        Cause.BAD_VERSION,
    ),
    Cell(
        'a version whose requests are all cleared',
        (('s1', 'v1', ''), ('s2', 'v1', '')),
        Cause.BAD_VERSION,
    ),
    Cell(
        'one server, many requests',
        (('s1', 'v1', 'ab'), ('s1', 'v2', 'cd')),
        Cause.DYING_HOST,
    ),
    Cell(
        'one server, one request',
        (('s1', 'v1', 'ab'), ('s1', 'v1', 'a')),
        Cause.UNCLEAR,
    ),
    Cell(
        'nothing in common',
        (('s1', 'v1', 'ab'), ('s2', 'v2', 'cd')),
        Cause.UNCLEAR,
    ),
    Cell(
        'plain services have no version',
        (('s1', '', 'ab'), ('s2', '', 'cd')),
        Cause.UNCLEAR,
    ),
)


class ClassifyTest(unittest.TestCase):
    """A poison request, a bad version and a dying host are told apart."""

    def test_table(self) -> None:
        """Each cell by hand."""
        for cell in CELLS:
            with self.subTest(cell.title):
                crashes = [
                    Crash(server, version, AT, frozenset(names))
                    for server, version, names in cell.crashes
                ]
                self.assertEqual(crash_causes.classify(crashes), cell.cause)

    def test_of_reports(self) -> None:
        """Reports of two entries are one crash; what is cleared is not in."""
        table = suspects_data.Table()
        suspects.reported(table, suspects_test.report('s1', ('a', 'b')), AT)
        suspects.reported(
            table, suspects_test.report('s1', ('c',), AT + 1), AT + 1
        )
        suspects.ended(table, suspects_data.TrialEnd('b', '', answered=True))
        crashes = crash_causes.crashes_of(table)
        self.assertEqual(len(crashes), 1)
        self.assertEqual(crashes[0].fingerprints, {'a', 'c'})


if __name__ == '__main__':
    unittest.main()
