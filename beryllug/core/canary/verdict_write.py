"""When a process writes the verdict of a roll-out to the store.

All processes reach the verdict, and the store accepts one write of it. They
write in the order of their ranks for the roll-out: the first at once, each
other one if those before it have had time to. A process announces its write to
the others, and tells them when the store has accepted it. All but the first
leave one check between announcement and write, so of two that begin at the same
moment one hears of the other in time.

Waits are counted in checks, not in seconds. A process that stalls hears nothing
of the others meanwhile, and a stall of any length counts as one check.
"""

import enum
from dataclasses import dataclass

# Processes that get all evidence; the second is the standby of the first. Any
# other process writes a verdict only if both are gone, or the store refuses
# them.
JUDGES = 2
# Seconds between two checks of a verdict that this process may have to write.
CHECK_S = 0.05
# Checks for which a process leaves the write to the one before it.
TAKEOVER_CHECKS = 4
# Checks after which a process writes even if others have just begun to: they
# may all be refused, and a verdict has to be stored in its time.
MAX_CHECKS = (JUDGES + 1) * TAKEOVER_CHECKS
# Ranks that differ in their waits. In a large fleet all others would write in
# the same moment, so the first of them begin a check apart and are heard.
RANKS = JUDGES + TAKEOVER_CHECKS


class Step(enum.Enum):
    """What a process does at a check of a verdict that is due."""

    WAIT = 'wait'
    ANNOUNCE = 'announce'
    WRITE = 'write'


@dataclass(slots=True)
class PendingWrite:
    """How long this process has left the write of a verdict to others.

    Attributes:
        revision: Revision of the order that the verdict is written on.
        since: Monotonic second since which it is due here.
        writers: Number of other processes that have announced a write.
        checks: Checks since then.
        quiet_checks: Checks since the last of these announcements.
        is_announced: Whether this process has announced its write.
        has_written: Whether this process has begun to write.
    """

    revision: int
    since: float
    writers: int
    checks: int = 0
    quiet_checks: int = 0
    is_announced: bool = False
    has_written: bool = False


def count_check(write: PendingWrite, writers: int) -> None:
    """Count one more check, with the number of announcements known by then."""
    write.checks += 1
    write.quiet_checks += 1
    if writers > write.writers:
        write.writers = writers
        write.quiet_checks = 0


def next_step(write: PendingWrite, rank: int) -> Step:
    """Return what this process does at this check.

    Args:
        write: How long it has waited.
        rank: Its rank for the roll-out, from 0; `RANKS` for any later one.
    """
    if write.has_written:
        return Step.WRITE
    if not _is_due(write, rank):
        return Step.WAIT
    if rank and not write.is_announced:
        return Step.ANNOUNCE
    return Step.WRITE


def _is_due(write: PendingWrite, rank: int) -> bool:
    """Return whether the processes before this one have had time to write."""
    if write.checks >= MAX_CHECKS:
        return True
    is_quiet = not write.writers or write.quiet_checks >= TAKEOVER_CHECKS
    judges_before = min(rank, JUDGES)
    others_before = rank - judges_before
    min_checks = judges_before * TAKEOVER_CHECKS + others_before
    return is_quiet and write.checks >= min_checks
