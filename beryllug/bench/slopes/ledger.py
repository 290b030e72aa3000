"""What was measured, in the order in which it was measured."""

import os
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field

from beryllug.bench.slopes import fit

DIGITS = 4


@dataclass(slots=True)
class Ledger:
    """Lines of text in the order in which they came."""

    _lines: list[str] = field(default_factory=list)

    def section(self, title: str) -> None:
        """Begin a section; says how busy the machine was at its start."""
        load = os.getloadavg()[0]
        self._put(f'\n{title} [load average {load:.1f}]')

    def sweep(
        self, name: str, unit: str, per: str, points: Sequence[fit.Point]
    ) -> fit.Line:
        """Take a figure that was measured at several sizes.

        Args:
            name: What was measured.
            unit: Its unit.
            per: What was varied, as ``a process``.
            points: The figures.

        Returns:
            How it grows.
        """
        found = fit.line(points)
        sizes = '  '.join(
            f'{point.size:g}: {_spread(point.measured)}' for point in points
        )
        span = f'{_short(found.low)}..{_short(found.high)}'
        self._put(f'  {name}, {unit}')
        self._put(f'    {sizes}')
        self._put(
            f'    slope {_short(found.slope)} ({span}) {unit} {per}; '
            f'{_short(found.base)} at none'
        )
        return found

    def figure(self, name: str, unit: str, measured: Sequence[float]) -> None:
        """Take a figure that was measured at one size, several times."""
        self._put(f'  {name}, {unit}\n    {_spread(measured)}')

    def note(self, text: str) -> None:
        """Take a remark, as that a part was not run."""
        self._put(f'  {text}')

    def lines(self) -> list[str]:
        """Return all that was taken."""
        return list(self._lines)

    def _put(self, text: str) -> None:
        self._lines.append(text)


def _spread(measured: Sequence[float]) -> str:
    middle = _short(statistics.median(measured))
    if len(measured) == 1:
        return middle
    return f'{middle} ({_short(min(measured))}..{_short(max(measured))})'


def _short(number: float) -> str:
    return f'{number:.{DIGITS}g}'
