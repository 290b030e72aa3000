"""Tests of the notes on prompt segments."""

import unittest

from beryllug.core.peering import segment_reports
from beryllug.core.placement import segment_losses, suspect_keys

PROMPTS = (
    ('most that a header holds', [f'a{each:03x}' for each in range(1700)]),
    ('one', ['bad0']),
    ('long ids', [f'{each:0400x}' for each in range(40)]),
)


class SegmentReportsTest(unittest.TestCase):
    """Prompts of which a process tells others."""

    def test_lost(self) -> None:
        """Segments of a long prompt are lost between two reports."""
        for title, segments in PROMPTS:
            with self.subTest(title):
                keys = suspect_keys.segment_keys(segments)
                lost = segment_losses.LostServer('f' * 40, 5, keys)
                reports = list(segment_reports.of_lost(lost, 6))
                told = [segment_reports.lost_of(each, 7) for each in reports]
                self.assertEqual({each.instance for each in told}, {lost[0]})
                self.assertEqual({each.at for each in told}, {6})
                self.assertEqual(
                    tuple(key for each in told for key in each.keys), keys
                )

    def test_answered(self) -> None:
        """An answer is told without its age."""
        keys = suspect_keys.segment_keys(('a1', 'b2'))
        reports = list(segment_reports.of_answered(keys, 3))
        self.assertEqual(len(reports), 1)
        report = reports[0]
        self.assertEqual(report.ago_s, 3)
        self.assertEqual(report.instance, '')
        self.assertEqual(segment_reports.keys_of(report), keys)

    def test_none(self) -> None:
        """A report of no segments is sent, and read as an empty one."""
        self.assertEqual(list(segment_reports.of_answered((), 0)), [])


if __name__ == '__main__':
    unittest.main()
