"""How a roll-out goes on with time, and which requests try its version.

In the first half a small share of new sessions tries the new version: a
session that runs on one version stays there. Once its answers speak for it,
all requests go to it, and when the old servers have had time to end what they
run, the roll-out is complete: the platform stops them at once then.
"""

import zlib

from beryllug.core.canary import canary_data, verdict

# Share of new sessions that try a version, as a part of the share that a bad
# one may get: the rest is kept for the time between its first failure and the
# last process's knowing.
TRIAL_PART = 0.6
# Parts of the ordered time after which all requests go to a version that has
# proved itself, and after which the old servers have surely ended their work.
FULL_AT = 0.55
COMPLETE_AT = 0.8
# Answers without which nothing is known of a version. A version that fails
# three in ten gives twelve good ones once in seventy times.
LEAST_ANSWERS = 12
HASH_RANGE = 0x100000000


def next_phase(
    order: canary_data.Order,
    phase: canary_data.Phase,
    tally: canary_data.Tally,
    age_s: float,
) -> canary_data.Phase:
    """Return how far a roll-out has come.

    Args:
        order: The order.
        phase: How far it had come.
        tally: What the fleet has seen.
        age_s: Seconds since it was ordered.
    """
    if is_over(phase):
        return phase
    if verdict.is_bad(tally):
        return canary_data.Phase.ROLLED_BACK
    part = age_s / max(order.duration_s, 1)
    if phase is canary_data.Phase.TRIAL:
        proved = verdict.judged(tally) >= LEAST_ANSWERS
        if part >= FULL_AT and proved:
            return canary_data.Phase.FULL
        return phase
    if part >= COMPLETE_AT:
        return canary_data.Phase.COMPLETE
    return phase


def is_over(phase: canary_data.Phase) -> bool:
    """Tell whether a roll-out has ended."""
    return phase in {
        canary_data.Phase.COMPLETE,
        canary_data.Phase.ROLLED_BACK,
    }


def may_try(
    tally: canary_data.Tally, bounds: canary_data.Bounds, processes: int
) -> bool:
    """Tell whether this process may send one more request on trial.

    Each process keeps to the share of what it sees itself, so the fleet does
    without a message.
    """
    slack = bounds.slack * TRIAL_PART / max(processes, 1)
    allowed = bounds.share * TRIAL_PART * tally.requests + slack
    return tally.tried + 1 <= allowed


def is_drawn(subject: str, bounds: canary_data.Bounds) -> bool:
    """Tell whether a session, or a request without one, is to try it.

    All processes draw the same sessions, so one that comes by another
    process stays on its version.
    """
    drawn = zlib.crc32(subject.encode()) / HASH_RANGE
    return drawn < bounds.share * TRIAL_PART
