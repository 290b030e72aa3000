"""Tests of lines and of how they are shown."""

import unittest

from beryllug.bench.slopes import fit, ledger

Points = tuple[tuple[float, tuple[float, ...]], ...]

Fitted = tuple[float, float, float, float]

SAME = (1, 1, 1)
UNLIKE = (2, 3, 4)
MORE = (3, 5, 7)
THREE: Points = ((0, SAME), (1, UNLIKE), (2, MORE))
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

WRONG: tuple[tuple[str, Points], ...] = (
    ('two sizes', ((1, (5,)), (2, (7,)))),
    ('one size three times', ((1, (5,)), (1, (7,)), (1, (7,)))),
    ('a repeat is missing', ((1, (5, 6)), (2, (7, 8)), (3, (9,)))),
)


def _points(given: Points) -> list[fit.Point]:
    return [fit.Point(*point) for point in given]


class LineTest(unittest.TestCase):
    """Least squares over each repeat."""

    def test_line(self) -> None:
        """Median, least and greatest slope, and median base."""
        for title, given, expected in LINES:
            with self.subTest(title):
                found = fit.line(_points(given))
                for got, wanted in zip(found, expected, strict=True):
                    self.assertAlmostEqual(got, wanted)

    def test_wrong(self) -> None:
        """A slope out of two sizes, or of unlike repeats, is refused."""
        for title, given in WRONG:
            with self.subTest(title), self.assertRaises(ValueError):
                fit.line(_points(given))

    def test_at(self) -> None:
        """A line tells the figure at a size that was not measured."""
        found = fit.line(_points(LINES[0][1]))
        self.assertAlmostEqual(fit.at(found, 890), 1783)


class LedgerTest(unittest.TestCase):
    """What is printed."""

    def test_lines(self) -> None:
        """A sweep shows each size with its spread, and the slope."""
        shown = ledger.Ledger()
        shown.section('members')
        points = _points(LINES[1][1])
        shown.sweep('processor time', 'ms/s', 'a member', points)
        shown.figure('conflicts', 'calls', (3, 1, 2))
        text = '\n'.join(shown.lines())
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
