"""Decisions on requests that share what may crash backend servers.

Requests that are never alike may share a prompt segment, and that alone may
crash each server that answers it. A request is therefore known by several keys:
a digest of its own, and one for each segment that others may share. Losses,
trials and answers are recorded for each key.

A lost trial accuses the keys of its request that were suspects, together: one
of them at least is the cause. A request that bears all of an accused set is
refused; one that bears some of it is tried. An answer clears its keys, which
makes the accused sets smaller. A segment that all requests share is thus never
refused by itself as long as one of them is answered.
"""

import hashlib
import math
from collections.abc import Iterable

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import crash_checks, segment_losses

# Longest segment id, in characters, that is its key as it is: notes are small.
MAX_PLAIN_ID = 18
DIGEST_BYTES = 8
# Keys that one trial tries, or one check of a server counts for; those under
# which most servers were lost are chosen.
MAX_TRIED = 64
# Keys in one accused set; those under which most servers were lost are kept.
MAX_TOGETHER = 4
# Seconds for which an accused set of segments is refused. All that share them
# are refused with it, so it is tried again soon while few servers were lost
# under it, and then after twice as long each time.
FIRST_REFUSED_S = 30.0
FEW_SERVERS = 5
LONGEST_REFUSED_S = 2400.0
SEGMENT = 's/'
Keys = tuple[str, ...]


def segment_keys(segments: Iterable[str]) -> Keys:
    """Return the keys of prompt segments, in their order."""
    return tuple(
        dict.fromkeys(
            f'{SEGMENT}{_shortened(segment)}'
            if len(segment) > MAX_PLAIN_ID
            else f'{SEGMENT}{segment}'
            for segment in segments
        )
    )


def suspected(table: suspects_data.Table, keys: Keys, now: float) -> Keys:
    """Return the keys that are suspects: their request may run as a trial."""
    return tuple(key for key in keys if _is_suspect(table, key, now))


def binding(
    table: suspects_data.Table, keys: Iterable[str], now: float
) -> Keys:
    """Return the keys that are suspects, or in a set that was accused."""
    return tuple(
        key
        for key in keys
        if _is_suspect(table, key, now) or _was_accused(table, key)
    )


def refused_s(table: suspects_data.Table, keys: Keys, now: float) -> float:
    """Return the seconds for which a request is refused; 0 if it is not.

    Args:
        table: The table.
        keys: All keys of the request.
        now: The current second.
    """
    notes = [table.notes[key] for key in keys if key in table.notes]
    until = [
        _refused_until(loss)
        for note in notes
        for loss in suspects.lost_trials(note, now)
        if remaining(table, note.fingerprint, loss).issubset(keys)
    ]
    return max(max(until, default=now) - now, 0)


def is_tried(table: suspects_data.Table, keys: Keys, now: float) -> bool:
    """Return whether a trial of one of the keys may be running."""
    notes = (table.notes[key] for key in keys if key in table.notes)
    return any(suspects.open_trial(note, now) for note in notes)


def judge(
    table: suspects_data.Table, request: suspects_data.TrialRequest, now: float
) -> suspects_data.Verdict:
    """Decide whether a request may run, and record its trial if there is one.

    Args:
        table: The table.
        request: The request and the server it would run on.
        now: The current second.
    """
    keys = (request.fingerprint, *request.segments)
    if refused_s(table, keys, now):
        return suspects_data.Verdict.REFUSE
    suspect = suspected(table, keys, now)
    if not suspect:
        return suspects_data.Verdict.RUN
    tried = most_lost(table, suspect, MAX_TRIED)
    running = {
        key: suspects.open_trial(table.notes[key], now)
        for key in suspect
        if key in table.notes
    }
    if any(
        each and each.trial_id != request.trial_id for each in running.values()
    ):
        return suspects_data.Verdict.WAIT
    if all(running.get(key) for key in tried):
        return suspects_data.Verdict.TRY
    if request.server_id in suspects.trial_servers(table, now):
        return suspects_data.Verdict.WAIT
    _record_trial(table, tried, request, now)
    return suspects_data.Verdict.TRY


def accused(table: suspects_data.Table, tried: Keys) -> Keys:
    """Return the keys that a lost trial accuses, out of those it tried."""
    return most_lost(table, tried, MAX_TOGETHER)


def most_lost(table: suspects_data.Table, keys: Keys, most: int) -> Keys:
    """Return the keys under which most servers were lost."""
    if len(keys) <= most:
        return keys
    by_count = sorted(
        keys, key=lambda key: lost_count(table, key), reverse=True
    )
    return tuple(by_count[:most])


def lost_count(table: suspects_data.Table, key: str) -> int:
    """Return how many servers were lost under a key since it was cleared."""
    note = table.notes.get(key)
    ordinary = table.segment_losses.get(key, ())
    if note is None:
        return len(ordinary)
    losses = [loss for loss in note.losses if not loss.cleared]
    known = max((loss.lost_servers for loss in losses), default=0)
    lost = {loss.server_id for loss in losses}
    lost.update(loss.server_id for loss in ordinary)
    return max(len(lost), known)


def next_count(table: suspects_data.Table, tried: Keys, instance: str) -> int:
    """Return the servers lost under accused keys, with one more.

    Args:
        table: The table.
        tried: The accused keys.
        instance: The server that was just lost.
    """
    return min(
        lost_count(table, key) + (not _is_lost(table, key, instance))
        for key in tried
    )


def remaining(
    table: suspects_data.Table, key: str, loss: suspects_data.Loss
) -> frozenset[str]:
    """Return the accused keys that were not cleared since."""
    return frozenset(
        each
        for each in loss.together or (key,)
        if not _is_cleared(table.notes.get(each), loss.trial_id)
    )


def is_segment(key: str) -> bool:
    """Return whether a key is that of a prompt segment."""
    return key.startswith(SEGMENT)


def _shortened(segment: str) -> str:
    digest = hashlib.blake2b(segment.encode(), digest_size=DIGEST_BYTES)
    return digest.hexdigest()


def _is_lost(table: suspects_data.Table, key: str, instance: str) -> bool:
    note = table.notes.get(key)
    losses = note.losses if note else ()
    ordinary = table.segment_losses.get(key, ())
    return any(
        loss.server_id == instance and not loss.cleared for loss in losses
    ) or any(loss.server_id == instance for loss in ordinary)


def _is_suspect(table: suspects_data.Table, key: str, now: float) -> bool:
    note = table.notes.get(key)
    ordinary = segment_losses.instances(table.segment_losses, key, now)
    if note is None:
        return len(ordinary) >= table.suspect_after
    if any(loss.together for loss in suspects.lost_trials(note, now)):
        return True
    lost = suspects.lost_servers(note, now) | ordinary
    if lost or not is_segment(key):
        lost |= crash_checks.servers(note, now)
    return len(lost) >= table.suspect_after


def _was_accused(table: suspects_data.Table, key: str) -> bool:
    note = table.notes.get(key)
    losses = note.losses if note else ()
    return any(loss.trial_id for loss in losses)


def _is_cleared(note: suspects_data.SuspectNote | None, trial_id: str) -> bool:
    losses = note.losses if note else ()
    return any(loss.trial_id == trial_id and loss.cleared for loss in losses)


def _refused_until(loss: suspects_data.Loss) -> float:
    if not loss.together or any(not is_segment(key) for key in loss.together):
        return loss.at + suspects.REFUSED_S
    if loss.lost_servers < FEW_SERVERS:
        return loss.at + FIRST_REFUSED_S
    doubled_s = math.ldexp(suspects.REFUSED_S, loss.lost_servers - FEW_SERVERS)
    return loss.at + min(doubled_s, LONGEST_REFUSED_S)


def _record_trial(
    table: suspects_data.Table,
    tried: Keys,
    request: suspects_data.TrialRequest,
    now: float,
) -> None:
    until = now + min(request.longest_s, suspects.MAX_TRIAL_S)
    trial = suspects_data.Trial(request.trial_id, request.server_id, until)
    for key in tried:
        note = table.notes.get(key, suspects_data.SuspectNote(key))
        trials = (*note.trials, trial)[-suspects.MAX_TRIALS :]
        table.notes[key] = note._replace(trials=trials)
