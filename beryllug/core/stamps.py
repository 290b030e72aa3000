"""Stamps: revisions of a store that may be restored from an older copy.

A stamp combines the era of the store (high bits) with a revision in one number.
All stamps of an era are higher than those of the previous era, although the
revisions restart at a lower value. If the store reports no era, the stamp
equals the revision.
"""

REVISION_BITS = 40
_REVISION_COUNT = 1 << REVISION_BITS
# Seconds after a store was restored for which the state it had acknowledged
# before takes precedence over what it reports: by then the other processes
# have written their entries again.
RESTORE_HOLD_S = 10.0


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision in an era."""
    return era * _REVISION_COUNT + revision


def era(stamped: int) -> int:
    """Return the era of a stamp."""
    return stamped // _REVISION_COUNT


def revision(stamped: int) -> int:
    """Return the revision of a stamp, as the store reports it."""
    return stamped % _REVISION_COUNT


def is_restored(stamped: int, before: int) -> bool:
    """Return whether a store was restored after a known stamp."""
    return before > 0 and era(stamped) > era(before)


def format_stamp(stamped: int) -> str:
    """Format a stamp for people as ``ERA/REVISION``."""
    return f'{era(stamped)}/{revision(stamped)}'
