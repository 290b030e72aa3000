"""Tests of fitted lines and of their printed form."""

import unittest

from beryllug.bench.slopes import fit, ledger

Points = tuple[tuple[float, tuple[float, ...]], ...]

Fitted = tuple[float, float, float, float]

SAME = (1, 1, 1)
DIFFERENT = (2, 3, 4)
MORE = (3, 5, 7)
THREE: Points = ((0, SAME), (1, DIFFERENT), (2, MORE))
# Title, points, slope, low, high, base.
LINES: tuple[tuple[str, Points, Fitted], ...] = (
    (
        'one repeat',
        ((1, (5,)), (2, (7,)), (4, (11,))),
        (2, 2, 2, 3),
    ),
    (
        'three repeats that differ',
        THREE,
        (2, 1, 3, 1),
    ),
    (
        'not on a line',
        ((0, (0,)), (1, (3,)), (2, (0,))),
        (0, 0, 0, 1),
    ),
)

INVALID: tuple[tuple[str, Points], ...] = (
    ('two sizes', ((1, (5,)), (2, (7,)))),
    ('one size three times', ((1, (5,)), (1, (7,)), (1, (7,)))),
    ('a repeat is missing', ((1, (5, 6)), (2, (7, 8)), (3, (9,)))),
)


def _points(rows: Points) -> list[fit.Point]:
    return [fit.Point(*point) for point in rows]


class LineTest(unittest.TestCase):
    """Least-squares fit of each repeat."""

    def test_line(self) -> None:
        """The result has median, lowest and highest slope, and median base."""
        for title, rows, expected in LINES:
            with self.subTest(title):
                fitted = fit.fit_line(_points(rows))
                for got, wanted in zip(fitted, expected, strict=True):
                    self.assertAlmostEqual(got, wanted)

    def test_wrong(self) -> None:
        """Fewer than three sizes, or a missing repeat, raise an error."""
        for title, rows in INVALID:
            with self.subTest(title), self.assertRaises(ValueError):
                fit.fit_line(_points(rows))

    def test_at(self) -> None:
        """A line can be evaluated at a size that was not measured."""
        fitted = fit.fit_line(_points(LINES[0][1]))
        self.assertAlmostEqual(fit.evaluate(fitted, 890), 1783)


class LedgerTest(unittest.TestCase):
    """Printed form of measurements."""

    def test_lines(self) -> None:
        """A sweep prints each size with its range, and the slope."""
        recorder = ledger.Recorder()
        recorder.section('members')
        points = _points(LINES[1][1])
        recorder.sweep('processor time', 'ms/s', 'a member', points)
        recorder.figure('conflicts', 'calls', (3, 1, 2))
        text = '\n'.join(recorder.lines())
        for wanted in (
            'members',
            'processor time, ms/s',
            '2: 5 (3..7)',
            'slope 2 (1..3) ms/s a member; 1 at none',
            'conflicts, calls',
            '2 (1..3)',
        ):
            self.assertIn(wanted, text)


if __name__ == '__main__':
    unittest.main()
