"""Tests of figures and bounds."""

import unittest

from beryllug.bench import report


class ReportTest(unittest.TestCase):
    """Only figures that violate a bound are reported."""

    def test_bounds(self) -> None:
        """Both bounds are inclusive, and NaN violates either bound."""
        cases = (
            (report.Figure('f', 1), False),
            (report.Figure('f', 1, upper=1), False),
            (report.Figure('f', 1.1, upper=1), True),
            (report.Figure('f', 1, lower=1), False),
            (report.Figure('f', 0.9, lower=1), True),
            (report.Figure('f', float('nan'), upper=1), True),
            (report.Figure('f', float('nan'), lower=1), True),
        )
        for figure, broken in cases:
            with self.subTest(figure=figure):
                self.assertEqual(figure.broken, broken)

    def test_broken(self) -> None:
        """The list of violated bounds names the section and the figure."""
        figures = report.Report()
        figures.section('Latency')
        figures.bound('p95', 2, upper=1)
        figures.bound('p99', 1, upper=1)
        self.assertEqual(len(figures.broken()), 1)
        self.assertIn('Latency', figures.broken()[0])
        self.assertIn('p95', figures.broken()[0])


if __name__ == '__main__':
    unittest.main()
