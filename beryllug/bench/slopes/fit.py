"""Lines through figures that were measured at several sizes.

A page about sizes that no test machine has must say how a figure grows. Each
size is measured several times, one line is laid through each repeat, and the
spread of these lines says how far the slope can be trusted.
"""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

LEAST_SIZES = 3


class Point(NamedTuple):
    """One size.

    Attributes:
        size: What was varied.
        measured: The figure of each repeat, as many at each size.
    """

    size: float
    measured: tuple[float, ...]


class Line(NamedTuple):
    """How a figure grows.

    Attributes:
        slope: Median over the repeats of the growth with each one more.
        low: Least slope of a repeat.
        high: Greatest slope of a repeat.
        base: Median over the repeats of the figure at size 0.
    """

    slope: float
    low: float
    high: float
    base: float


def line(points: Sequence[Point]) -> Line:
    """Lay a least-squares line through each repeat.

    Raises:
        ValueError: There are too few sizes, or repeats are missing.
    """
    if len({point.size for point in points}) < LEAST_SIZES:
        raise ValueError(f'a slope needs {LEAST_SIZES} sizes')
    sizes = [point.size for point in points]
    repeats = zip(*(point.measured for point in points), strict=True)
    fits = [statistics.linear_regression(sizes, ys) for ys in repeats]
    slopes = [found.slope for found in fits]
    return Line(
        statistics.median(slopes),
        min(slopes),
        max(slopes),
        statistics.median(found.intercept for found in fits),
    )


def at(found: Line, size: float) -> float:
    """Return the figure that a line gives at a size."""
    return found.base + found.slope * size
