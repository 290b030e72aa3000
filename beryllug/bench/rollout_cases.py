"""The cases of the roll-out benchmark, read from ``rollout_cases.json``."""

import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

import msgspec

from beryllug.bench import rollout_simulation

PATH = pathlib.Path(__file__).with_name('rollout_cases.json')


class Case(NamedTuple):
    """A fault scenario.

    Attributes:
        name: Its name in the table.
        upper: Upper bound on the callers reached relative to fixed steps; for
            outages of both versions, on the share of wrong stops.
        ticks: Length of a run in seconds of virtual time.
        fault: The fault of the candidate version.
    """

    name: str
    upper: float
    ticks: int
    fault: rollout_simulation.Fault


class Good(TypedDict):
    """Upper bounds for roll-outs of a good version."""

    wrongly_stopped: float
    mean_time: float
    p95_time: float


class Cases(NamedTuple):
    """All cases and the number of seeds for each group."""

    bad_seeds: int
    good_seeds: int
    shared_seeds: int
    good: Good
    bad: tuple[Case, ...]
    shared: tuple[Case, ...]


class _Document(TypedDict):
    bad_seeds: int
    good_seeds: int
    shared_seeds: int
    good: Good
    bad: list[dict[str, Any]]
    shared: list[dict[str, Any]]


def read() -> Cases:
    """Read the cases from the file."""
    document = msgspec.json.decode(PATH.read_bytes(), type=_Document)
    return Cases(
        document['bad_seeds'],
        document['good_seeds'],
        document['shared_seeds'],
        document['good'],
        tuple(_cases(document['bad'])),
        tuple(_cases(document['shared'])),
    )


def _cases(lines: Iterable[dict[str, Any]]) -> Iterable[Case]:
    for line in lines:
        fields = dict(line)
        name, upper, ticks = (
            fields.pop(key) for key in ('name', 'most', 'ticks')
        )
        quality = rollout_simulation.Quality(**fields.pop('quality'))
        fault = rollout_simulation.Fault(quality, **fields)
        yield Case(name, upper, ticks, fault)
