"""Metrics that services provide, independent of the rendering library.

The library is loaded at the first scrape, as it would add a third to the memory
of a process that is not scraped.
"""

import bisect
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, Protocol, runtime_checkable

NO_LABELS: Mapping[str, str] = MappingProxyType({})
# Seconds; from a tenth of a short call to the total time of a long answer.
BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)

BUCKET_LIMITS = (*BOUNDS, math.inf)


class Kind(StrEnum):
    """The type of a metric."""

    GAUGE = 'gauge'
    COUNTER = 'counter'


class Sample(NamedTuple):
    """The value of a metric at one moment.

    Attributes:
        name: Its name without prefix, as ``config_revision``.
        number: Its value, in the unit that the name states.
        about: Its description.
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
    """A histogram of durations.

    Attributes:
        counts: Counts per bucket: up to each of `BOUNDS`, and beyond the last.
        total_s: Sum of all durations.
    """

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in BUCKET_LIMITS]
    )
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.total_s += seconds


class LabeledHistogram(NamedTuple):
    """A histogram with its name, description and labels."""

    name: str
    about: str
    histogram: Histogram
    labels: Mapping[str, str] = NO_LABELS


@runtime_checkable
class Measured(Protocol):
    """A service that provides samples."""

    def measure(self) -> Iterable[Sample]:
        """Return the current samples."""


@runtime_checkable
class Timed(Protocol):
    """A service that provides histograms."""

    def times(self) -> Iterable[LabeledHistogram]:
        """Return the histograms."""
