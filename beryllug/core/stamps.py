"""Stamps: revisions of a store that may return from an older copy.

A stamp is a revision with the era of the store before it, in one number: all
of an era are higher than all of the era before, though its revisions begin
again at a lower one. Where the store tells no era, a stamp is its revision.
"""

REVISION_BITS = 40
_REVISIONS = 1 << REVISION_BITS
# Seconds from the return of a store for which what it had acknowledged before
# holds against its word: what others wrote there is written again by then.
HELD_S = 10.0


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision."""
    return era * _REVISIONS + revision


def era(stamped: int) -> int:
    """Return the era of a stamp."""
    return stamped // _REVISIONS


def revision(stamped: int) -> int:
    """Return the revision of a stamp, as the store has it."""
    return stamped % _REVISIONS


def is_return(stamped: int, before: int) -> bool:
    """Tell whether a store has returned from a copy since a known stamp."""
    return before > 0 and era(stamped) > era(before)


def shown(stamped: int) -> str:
    """Return a stamp for people: ``ERA/REVISION``."""
    return f'{era(stamped)}/{revision(stamped)}'
