"""Least-squares lines through figures measured at several sizes.

Capacity figures beyond the size of a test machine are extrapolated. Each size
is measured several times and one line is fitted to each repeat; the range of
the slopes shows how uncertain the slope is.
"""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

MIN_SIZES = 3


class Point(NamedTuple):
    """The measurements at one size.

    Attributes:
        size: The independent variable.
        repeat_values: The figure of each repeat; every size has as many
            repeats.
    """

    size: float
    repeat_values: tuple[float, ...]


class Line(NamedTuple):
    """A fitted line.

    Attributes:
        slope: Median slope of the repeats, per unit of size.
        low: Smallest slope of a repeat.
        high: Largest slope of a repeat.
        y_intercept: Median intercept of the repeats, the figure at size 0.
    """

    slope: float
    low: float
    high: float
    y_intercept: float


def fit_line(points: Sequence[Point]) -> Line:
    """Fit a least-squares line to each repeat.

    Raises:
        ValueError: There are too few distinct sizes, or repeats are missing.
    """
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f'a slope needs {MIN_SIZES} distinct sizes')
    sizes = [point.size for point in points]
    repeats = zip(*(point.repeat_values for point in points), strict=True)
    fits = [statistics.linear_regression(sizes, ys) for ys in repeats]
    slopes = [fitted.slope for fitted in fits]
    return Line(
        statistics.median(slopes),
        min(slopes),
        max(slopes),
        statistics.median(fitted.intercept for fitted in fits),
    )


def evaluate(fitted: Line, size: float) -> float:
    """Return the value of a line at a size."""
    return fitted.y_intercept + fitted.slope * size
