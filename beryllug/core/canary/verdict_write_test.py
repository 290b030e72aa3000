"""Tests of the order in which processes write a verdict."""

import unittest
from typing import NamedTuple

from beryllug.core.canary import verdict_write

Step = verdict_write.Step
DELAY = verdict_write.TAKEOVER_CHECKS
LAST = verdict_write.MAX_CHECKS + 1


class Case(NamedTuple):
    """A process that waits for others.

    Attributes:
        title: What happens.
        rank: The rank of the process.
        writers: The checks by which another process has announced a write.
        expected: Number of checks after which it writes.
    """

    title: str
    rank: int
    writers: tuple[int, ...]
    expected: int


CASES = (
    Case('the first', 0, (), 0),
    Case('the first, and the standby has begun', 0, (0,), DELAY),
    Case('the standby', 1, (), DELAY + 1),
    Case('the standby, and the first has begun', 1, (0,), DELAY + 1),
    Case('the standby, and the first has begun late', 1, (3,), DELAY + 4),
    Case('the standby and the first at once', 1, (5,), 2 * DELAY + 1),
    Case('another, and both judges are gone', 2, (), 2 * DELAY + 1),
    Case('another, and both judges are refused', 2, (0, 4), 2 * DELAY + 1),
    Case('another, and the standby is refused late', 2, (0, 6), DELAY + 7),
    Case('the next one', 3, (), 2 * DELAY + 2),
    Case('the next one, and all before it are refused', 3, (0, 4, 8), LAST),
    Case('a late one', verdict_write.RANKS, (), LAST),
    Case('many are refused', 4, (0, 4, 8, 9, 10, 11), LAST),
)


class VerdictWriteTest(unittest.TestCase):
    """One process, until it writes."""

    def test_order(self) -> None:
        """Processes write one after the other, and none waits for ever."""
        for case in CASES:
            with self.subTest(case.title):
                self.assertEqual(_checks(case), case.expected)

    def test_again(self) -> None:
        """A process that was refused may write at each check."""
        write = verdict_write.PendingWrite(1, 0, 0, has_written=True)
        verdict_write.count_check(write, 1)
        self.assertIs(verdict_write.next_step(write, 0), Step.WRITE)


def _checks(case: Case) -> int:
    """Return the number of checks after which the process writes."""
    write = verdict_write.PendingWrite(1, 0, case.writers.count(0))
    while True:
        match verdict_write.next_step(write, case.rank):
            case Step.WRITE:
                return write.checks
            case Step.ANNOUNCE:
                write.is_announced = True
        announced = sum(check <= write.checks + 1 for check in case.writers)
        verdict_write.count_check(write, announced)


if __name__ == '__main__':
    unittest.main()
