"""Tests of bounds and their table."""

import unittest

from beryllug.bench import report


class ReportTest(unittest.TestCase):
    """A figure outside of its bounds is reported, and only that one."""

    def test_bounds(self) -> None:
        """Both bounds are inclusive, and no number breaks every bound."""
        cases = (
            (report.Figure('f', 1), False),
            (report.Figure('f', 1, most=1), False),
            (report.Figure('f', 1.1, most=1), True),
            (report.Figure('f', 1, least=1), False),
            (report.Figure('f', 0.9, least=1), True),
            (report.Figure('f', float('nan'), most=1), True),
            (report.Figure('f', float('nan'), least=1), True),
        )
        for figure, broken in cases:
            with self.subTest(figure=figure):
                self.assertEqual(figure.broken, broken)

    def test_broken(self) -> None:
        """The list of broken bounds names section and figure."""
        figures = report.Report()
        figures.section('Latency')
        figures.bound('p95', 2, most=1)
        figures.bound('p99', 1, most=1)
        self.assertEqual(len(figures.broken()), 1)
        self.assertIn('Latency', figures.broken()[0])
        self.assertIn('p95', figures.broken()[0])


if __name__ == '__main__':
    unittest.main()
