"""Figures and regression bounds of a benchmark run, and their table.

A bound is checked where the figure is measured and printed beside it, so a
page can quote a row without saying how it was judged. Bounds stand with the
call that measures, or in ``bounds.json`` by section and name of the figure.
"""

import functools
import pathlib
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

DIGITS = 4
NAME_WIDTH = 58
FIGURE_WIDTH = 12


DECLARED = pathlib.Path(__file__).with_name('bounds.json')


class Bound(NamedTuple):
    """Bounds of a figure: at least, at most; None for no bound."""

    least: float | None
    most: float | None


Bounds = dict[str, dict[str, Bound]]


class Figure(NamedTuple):
    """One measured figure.

    Attributes:
        name: What was measured.
        measured: The figure.
        most: Upper bound, or None.
        least: Lower bound, or None.
    """

    name: str
    measured: float
    most: float | None = None
    least: float | None = None

    @property
    def broken(self) -> bool:
        """Tell whether the figure is outside of its bounds."""
        if self.most is not None and not self.measured <= self.most:
            return True
        return self.least is not None and not self.measured >= self.least


@dataclass(slots=True)
class Report:
    """Sections of figures in the order in which they were measured."""

    sections: dict[str, list[Figure]] = field(default_factory=dict)
    current: str = ''

    def section(self, title: str) -> None:
        """Begin a section; figures go to it from here on."""
        self.current = title
        self.sections.setdefault(title, [])

    def figure(self, name: str, measured: float) -> None:
        """Take a figure that has no bound."""
        self._take(Figure(name, measured))

    def bound(
        self,
        name: str,
        measured: float,
        most: float | None = None,
        least: float | None = None,
    ) -> None:
        """Take a figure and check it against its bounds."""
        self._take(Figure(name, measured, most, least))

    def declared(self, name: str, measured: float) -> None:
        """Take a figure and check it against the declared bounds, if any."""
        bound = declared_bounds().get(self.current, {}).get(name)
        if bound is None:
            self.figure(name, measured)
        else:
            self.bound(name, measured, bound.most, bound.least)

    def broken(self) -> list[str]:
        """Describe each broken bound."""
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

    def _take(self, figure: Figure) -> None:
        self.sections.setdefault(self.current, []).append(figure)


@functools.cache
def declared_bounds() -> Bounds:
    """Return the bounds of ``bounds.json``."""
    return msgspec.json.decode(DECLARED.read_bytes(), type=Bounds)


def _line(figure: Figure) -> str:
    text = f'  {figure.name:<{NAME_WIDTH}}{_number(figure.measured)}'
    if figure.most is not None:
        text = f'{text}  <= {figure.most:g}'
    if figure.least is not None:
        text = f'{text}  >= {figure.least:g}'
    return f'{text}  BROKEN' if figure.broken else text


def _number(measured: float) -> str:
    return f'{round(measured, DIGITS):>{FIGURE_WIDTH}g}'
