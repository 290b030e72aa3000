"""Numbers that services show, without the library that renders them.

The library is loaded when somebody first reads: it would add a third to the
memory of a process that nobody asks.
"""

import bisect
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, Protocol, runtime_checkable

NO_LABELS: Mapping[str, str] = MappingProxyType({})
# Seconds; from a tenth of a short call to a long answer's whole time.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)

UP_TO = (*BOUNDS, math.inf)


class Kind(StrEnum):
    """How a number moves."""

    GAUGE = 'gauge'
    COUNTER = 'counter'


class Sample(NamedTuple):
    """One number at the moment it was read.

    Attributes:
        name: Its name without prefix, as ``config_revision``.
        number: Its value, in the unit that the name states.
        about: What it means.
        kind: A gauge moves both ways, a counter only up.
        labels: What tells it from others of its name; few and bounded.
    """

    name: str
    number: float
    about: str
    kind: Kind = Kind.GAUGE
    labels: Mapping[str, str] = NO_LABELS


@dataclass(slots=True)
class Histogram:
    """Counts of times by how long they were.

    Attributes:
        counts: Times up to each of `BOUNDS`, and those beyond the last.
        total_s: Sum of all times.
    """

    counts: list[int] = field(default_factory=lambda: [0 for _ in UP_TO])
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.total_s += seconds


class Times(NamedTuple):
    """A histogram with its name, meaning and labels."""

    name: str
    about: str
    histogram: Histogram
    labels: Mapping[str, str] = NO_LABELS


@runtime_checkable
class Measured(Protocol):
    """A service that has numbers to show."""

    def measure(self) -> Iterable[Sample]:
        """Return the present numbers."""


@runtime_checkable
class Timed(Protocol):
    """A service that has histograms to show."""

    def times(self) -> Iterable[Times]:
        """Return the histograms."""
