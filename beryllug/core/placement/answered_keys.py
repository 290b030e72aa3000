"""Keys of requests that were answered, which clears what they are suspected of.

A key that one process suspects may have been answered at another one a short
time before. That process says so, or all requests with the key would be tried
one at a time.
"""

import math
from collections.abc import Iterable

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import (
    crash_checks,
    poison_data,
    segment_losses,
    suspect_keys,
)

# Seconds after an answer in which a lost server is not attributed to a request.
# What many callers send alike runs on each server that is lost.
SOUND_S = 10.0
MAX_ANSWERED = 32768


def answered(
    state: poison_data.Crashers,
    fingerprint: str,
    trial_id: str,
    now: float,
    segments: suspect_keys.Keys = (),
) -> dict[str, int]:
    """Record a successful answer: the request does not crash servers.

    Returns:
        Counts of the losses that are cleared by it, by key.
    """
    for at_server in state.ended.values():
        at_server.pop(fingerprint, None)
    keys = (fingerprint, *segments)
    for key in keys:
        state.answered.pop(key, None)
        state.answered[key] = now
    _trim_answered(state.answered, now)
    if not (state.table.notes or state.table.segment_losses):
        return {}
    counts = {
        each: _clear(state, each, trial_id) + _clear_segment(state, each)
        for each in keys
    }
    return {each: cleared for each, cleared in counts.items() if cleared}


def pop_vouched(state: poison_data.Crashers) -> suspect_keys.Keys:
    """Return the keys that no other process has cleared meanwhile."""
    found = tuple(state.vouched)
    state.vouched.clear()
    return found


def pop_vouched_segments(
    state: poison_data.Crashers, now: float
) -> dict[int, list[str]]:
    """Return the segments that no other process has cleared meanwhile.

    They are grouped by the full seconds since their answers.
    """
    found: dict[int, list[str]] = {}
    for key in state.vouched_segments:
        ago_s = now - state.answered.get(key, poison_data.NEVER)
        if ago_s <= SOUND_S:
            found.setdefault(math.ceil(ago_s), []).append(key)
    state.vouched_segments.clear()
    return found


def merge_segments(
    state: poison_data.Crashers, lost: segment_losses.LostServer
) -> None:
    """Merge what a peer knows of a server that was lost under segments.

    Those that were answered here are not, and peers are to be told so.
    """
    unanswered = []
    for key in lost.keys:
        if is_answered(state, key, lost.at):
            state.vouched_segments[key] = None
        else:
            unanswered.append(key)
    segment_losses.record(
        state.table.segment_losses, lost._replace(keys=tuple(unanswered))
    )


def merge_answered(
    state: poison_data.Crashers, keys: Iterable[str], at: float
) -> None:
    """Merge which segments were answered at a peer."""
    for key in keys:
        state.vouched_segments.pop(key, None)
        if state.answered.get(key, poison_data.NEVER) < at:
            state.answered.pop(key, None)
            state.answered[key] = at
        segment_losses.clear_before(
            state.table.segment_losses, key, at + SOUND_S
        )


def is_answered(state: poison_data.Crashers, key: str, at: float) -> bool:
    """Return whether a key was answered since, or shortly before."""
    answered_at = state.answered.get(key, poison_data.NEVER)
    return at - answered_at <= SOUND_S


def _clear(state: poison_data.Crashers, key: str, trial_id: str) -> int:
    """Clear the losses of a key; returns their count."""
    known = state.table.notes.get(key)
    if known is None:
        return 0
    cleared = [loss for loss in known.losses if not loss.cleared]
    is_tried = any(trial.trial_id == trial_id for trial in known.trials)
    if cleared or is_tried:
        end = suspects_data.TrialEnd(key, trial_id, answered=True)
        suspects.record_trial_end(state.table, end)
    if is_tried or _binds(cleared):
        state.untold[key] = None
    return len(cleared)


def _clear_segment(state: poison_data.Crashers, key: str) -> int:
    """Clear the losses of a segment; returns their count."""
    lost = segment_losses.clear(state.table.segment_losses, key)
    if lost >= poison_data.SUSPECT_AFTER:
        state.untold_answered[key] = None
    return lost


def _binds(losses: Iterable[suspects_data.Loss]) -> bool:
    """Return whether uncleared losses keep a key from running freely."""
    counted = tuple(losses)
    servers = {loss.server_id for loss in counted}
    is_tried = any(loss.trial_id for loss in counted)
    return is_tried or len(servers) >= poison_data.SUSPECT_AFTER


def vouch(
    state: poison_data.Crashers,
    received: suspects_data.SuspectNote,
    now: float,
) -> None:
    """Clear received losses and checks of a key that was answered here.

    If they keep it from running freely elsewhere, peers are to be told.
    """
    key = received.fingerprint
    uncleared = [loss for loss in received.losses if not loss.cleared]
    if uncleared:
        _clear_received(state, key, uncleared)
    else:
        state.vouched.pop(key, None)
    if is_answered(state, key, now):
        _end_checks(state, key, now)


def _clear_received(
    state: poison_data.Crashers,
    key: str,
    uncleared: Iterable[suspects_data.Loss],
) -> None:
    """Clear losses of a key that was answered here since, or shortly before."""
    known = state.table.notes.get(key)
    if known and all(is_answered(state, key, loss.at) for loss in uncleared):
        end = suspects_data.TrialEnd(key, '', answered=True)
        suspects.record_trial_end(state.table, end)
        # Others may know of losses that are cleared here already.
        if _binds(known.losses):
            state.vouched[key] = None


def _end_checks(state: poison_data.Crashers, key: str, now: float) -> None:
    """End the checks that keep a key from running freely."""
    if not suspect_keys.suspected(state.table, (key,), now):
        return
    for trial in state.table.notes[key].trials:
        if crash_checks.is_check(trial) and not trial.ended:
            end = suspects_data.TrialEnd(key, trial.trial_id, answered=False)
            suspects.record_trial_end(state.table, end)
            state.vouched[key] = None


def _trim_answered(answered_at: dict[str, float], now: float) -> None:
    """Forget answers that no loss is compared with any more."""
    oldest_at = now - SOUND_S - poison_data.DETECTED_WITHIN_S
    while next(iter(answered_at.values())) < oldest_at:
        answered_at.pop(next(iter(answered_at)))
    while len(answered_at) > MAX_ANSWERED:
        answered_at.pop(next(iter(answered_at)))
