"""Collects measurements as lines of text, in the order of arrival."""

import os
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field

from beryllug.bench.slopes import fit

SIGNIFICANT_DIGITS = 4


@dataclass(slots=True)
class Recorder:
    """Lines of text in the order in which they were added."""

    _lines: list[str] = field(default_factory=list)

    def section(self, title: str) -> None:
        """Begin a section; its title shows the current load average."""
        load = os.getloadavg()[0]
        self._append(f'\n{title} [load average {load:.1f}]')

    def sweep(
        self, name: str, unit: str, per: str, points: Sequence[fit.Point]
    ) -> fit.Line:
        """Add a figure that was measured at several sizes.

        Args:
            name: What was measured.
            unit: Its unit.
            per: Unit of the size, such as ``a process``.
            points: The measurements.

        Returns:
            The fitted line.
        """
        fitted = fit.fit_line(points)
        sizes = '  '.join(
            f'{point.size:g}: {_format_range(point.repeat_values)}'
            for point in points
        )
        slope_range = f'{_format(fitted.low)}..{_format(fitted.high)}'
        self._append(f'  {name}, {unit}')
        self._append(f'    {sizes}')
        self._append(
            f'    slope {_format(fitted.slope)} ({slope_range}) {unit} {per}; '
            f'{_format(fitted.y_intercept)} at none'
        )
        return fitted

    def figure(self, name: str, unit: str, measured: Sequence[float]) -> None:
        """Add a figure that was measured at one size, once or several times."""
        self._append(f'  {name}, {unit}\n    {_format_range(measured)}')

    def note(self, text: str) -> None:
        """Add a remark, such as that a section was not run."""
        self._append(f'  {text}')

    def lines(self) -> list[str]:
        """Return all lines."""
        return list(self._lines)

    def _append(self, text: str) -> None:
        self._lines.append(text)


def _format_range(measured: Sequence[float]) -> str:
    median_text = _format(statistics.median(measured))
    if len(measured) == 1:
        return median_text
    return f'{median_text} ({_format(min(measured))}..{_format(max(measured))})'


def _format(number: float) -> str:
    return f'{number:.{SIGNIFICANT_DIGITS}g}'
