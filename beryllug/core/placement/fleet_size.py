"""Number of processes in the fleet, as far as one process knows.

Quantities that are divided by the fleet size are not used until the size is
known: a process that has just started would count only itself, and where all
start together, each would.
"""

from dataclasses import dataclass

# Seconds for which the count of processes must not have grown by more than a
# tenth.
SETTLED_S = 2.0
GROWTH_FACTOR = 1.1


@dataclass(slots=True)
class FleetSize:
    """The fleet size as this process knows it.

    Attributes:
        present: Reachable processes, including this one.
        ever: Processes seen so far, reachable or not, including this one.
        counted: `ever` at the last growth.
        last_growth_at: When that was; infinite before the first count.
    """

    present: int = 1
    ever: int = 1
    counted: int = 0
    last_growth_at: float = float('inf')


def count(size: FleetSize, present: int, ever: int, now: float) -> None:
    """Update the numbers of reachable processes and of all seen so far."""
    size.present = present
    size.ever = ever
    if ever > size.counted * GROWTH_FACTOR:
        size.counted = ever
        size.last_growth_at = now


def until_settled_s(size: FleetSize, now: float) -> float:
    """Return the seconds until the size counts as known; 0 if it does."""
    return min(max(size.last_growth_at + SETTLED_S - now, 0), SETTLED_S)


def part(size: FleetSize) -> float:
    """Return the reachable fraction of the fleet, above 0 and up to 1.

    The fractions of both sides of a network partition add up to 1.
    """
    return size.present / max(size.ever, size.present)
