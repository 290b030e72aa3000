"""Figures of a benchmark run, their regression bounds and their table.

Each row shows the figure with its bounds, so that a quoted row shows how the
figure was checked. Bounds are passed with the measured figure or declared in
``bounds.json``, by section and name of the figure.
"""

import functools
import pathlib
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

DIGITS = 4
NAME_WIDTH = 58
FIGURE_WIDTH = 12


BOUNDS_PATH = pathlib.Path(__file__).with_name('bounds.json')


class Bound(NamedTuple):
    """Inclusive lower and upper bound of a figure; None for no bound."""

    lower: float | None
    upper: float | None


Bounds = dict[str, dict[str, Bound]]


class Figure(NamedTuple):
    """One measured figure.

    Attributes:
        name: What was measured.
        measured: Its value.
        upper: Upper bound, or None.
        lower: Lower bound, or None.
    """

    name: str
    measured: float
    upper: float | None = None
    lower: float | None = None

    @property
    def broken(self) -> bool:
        """Tell whether the figure violates a bound; NaN violates any bound."""
        if self.upper is not None and not self.measured <= self.upper:
            return True
        return self.lower is not None and not self.measured >= self.lower


@dataclass(slots=True)
class Report:
    """Sections of figures, in the order of measurement."""

    sections: dict[str, list[Figure]] = field(default_factory=dict)
    current: str = ''

    def section(self, title: str) -> None:
        """Begin a section for the figures that follow."""
        self.current = title
        self.sections.setdefault(title, [])

    def figure(self, name: str, measured: float) -> None:
        """Add a figure without bounds."""
        self._append(Figure(name, measured))

    def bound(
        self,
        name: str,
        measured: float,
        upper: float | None = None,
        lower: float | None = None,
    ) -> None:
        """Add a figure with its bounds."""
        self._append(Figure(name, measured, upper, lower))

    def declared(self, name: str, measured: float) -> None:
        """Add a figure with the bounds of ``bounds.json``, if any."""
        bound = declared_bounds().get(self.current, {}).get(name)
        if bound is None:
            self.figure(name, measured)
        else:
            self.bound(name, measured, bound.upper, bound.lower)

    def broken(self) -> list[str]:
        """Return the rows of the figures that violate a bound."""
        return [
            f'{title}: {_line(figure)}'
            for title, figures in self.sections.items()
            for figure in figures
            if figure.broken
        ]

    def lines(self) -> list[str]:
        """Render the table."""
        lines = []
        for title, figures in self.sections.items():
            lines.append(f'\n{title}')
            lines.extend(_line(figure) for figure in figures)
        return lines

    def _append(self, figure: Figure) -> None:
        self.sections.setdefault(self.current, []).append(figure)


@functools.cache
def declared_bounds() -> Bounds:
    """Return the bounds of ``bounds.json``."""
    return msgspec.json.decode(BOUNDS_PATH.read_bytes(), type=Bounds)


def _line(figure: Figure) -> str:
    text = f'  {figure.name:<{NAME_WIDTH}}{_number(figure.measured)}'
    if figure.upper is not None:
        text = f'{text}  <= {figure.upper:g}'
    if figure.lower is not None:
        text = f'{text}  >= {figure.lower:g}'
    return f'{text}  BROKEN' if figure.broken else text


def _number(measured: float) -> str:
    return f'{round(measured, DIGITS):>{FIGURE_WIDTH}g}'
