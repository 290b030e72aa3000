"""How many processes the fleet has, as far as one process knows.

What is divided by the size of the fleet waits until the size is known: a
process that has just started would take itself for the whole fleet, and where
all start together, each would.
"""

from dataclasses import dataclass

# Seconds for which the count of processes must not have grown by more than a
# tenth.
SETTLED_S = 2.0
GROWN = 1.1


@dataclass(slots=True)
class FleetSize:
    """What a process knows of the fleet's size.

    Attributes:
        present: Processes that are there, this one too.
        ever: Processes that are or were there, this one too.
        counted: The same, as the fleet last grew.
        grown_at: When that was; never where nothing was counted yet.
    """

    present: int = 1
    ever: int = 1
    counted: int = 0
    grown_at: float = float('inf')


def count(size: FleetSize, present: int, ever: int, now: float) -> None:
    """Take how many processes are there, and are or were there."""
    size.present = present
    size.ever = ever
    if ever > size.counted * GROWN:
        size.counted = ever
        size.grown_at = now


def unsettled_s(size: FleetSize, now: float) -> float:
    """Return the seconds until the size counts as known; 0 where it does."""
    return min(max(size.grown_at + SETTLED_S - now, 0), SETTLED_S)


def part(size: FleetSize) -> float:
    """Return the part of the fleet that is in reach, over 0 to 1.

    On both sides of a cut link together that is the whole fleet.
    """
    return size.present / max(size.ever, size.present)
