"""Detection of requests that crash every backend server that runs them.

Retried by any process, such a poison request takes down one server of a service
after the other. A broken connection alone is weak evidence: servers reset
connections and keep running. A server loss is therefore attributed to a request
only if its run there ended without an answer and the server was lost within
seconds: it refuses connections then, its entry is dropped, or a peer says so.

What follows from losses is decided by `core.suspects`, as at the product's own
entry point, but among peers: a request under which two servers were lost is
sent on as a trial only, and each process tells all others of its losses and
trials. The order of these notes does not matter.

Where requests share prompt segments, all of this is recorded for each segment
as well, see `suspect_keys`. What was answered a short time ago, by any process,
is no cause of a loss.
"""

from collections.abc import Iterable
from typing import Any

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import (
    answered_keys,
    crash_checks,
    loss_attribution,
    poison_data,
    segment_losses,
    suspect_keys,
)

MAX_TRACKED = 500
NEVER = poison_data.NEVER
DETECTED_WITHIN_S = poison_data.DETECTED_WITHIN_S
SUSPECT_AFTER = poison_data.SUSPECT_AFTER
SOUND_S = answered_keys.SOUND_S
Crashers = poison_data.Crashers
Loss = poison_data.Loss
EndedRun = poison_data.EndedRun
AttributedLoss = poison_data.AttributedLoss
answered = answered_keys.answered
pop_vouched = answered_keys.pop_vouched
pop_vouched_segments = answered_keys.pop_vouched_segments
merge_answered = answered_keys.merge_answered


def run_ended(state: Crashers, loss: Loss, run: EndedRun) -> None:
    """Record that a server has run a request to no answer.

    Its connection broke, or its answer was discarded: a server may crash under
    what it has begun to run, after its answer is no longer wanted.
    """
    at_server = state.ended.pop(loss.instance, {})
    at_server.pop(loss.fingerprint, None)
    at_server[loss.fingerprint] = run
    state.ended[loss.instance] = at_server
    _forget_ended(at_server, run.at)
    while _is_outdated(next(iter(state.ended.values())), run.at):
        state.ended.pop(next(iter(state.ended)))


def is_lost(state: Crashers, instance: str, now: float) -> bool:
    """Return whether a server was lost a short time ago.

    After that its entry is dropped, or it was not lost.
    """
    return now - state.lost.get(instance, NEVER) <= DETECTED_WITHIN_S


def record_server_lost(
    state: Crashers, instance: str, now: float
) -> poison_data.Attribution:
    """Record that a server is gone; returns the attributed losses."""
    _set_lost(state, instance, now)
    at_server = state.ended.pop(instance, {})
    recent = {
        fingerprint: run
        for fingerprint, run in at_server.items()
        if now - run.at <= DETECTED_WITHIN_S
    }
    attributed = loss_attribution.attribute(state, instance, recent)
    found = attributed.found
    notes = [loss_attribution.note_of(state, loss, now) for loss in found]
    suspects.merge(state.table, notes, now)
    state.untold.update(dict.fromkeys(loss.fingerprint for loss in found))
    if attributed.segments.keys:
        _record_segments(state, attributed.segments, now)
    return attributed


def merge_segments(
    state: Crashers, lost: segment_losses.LostServer, now: float
) -> None:
    """Merge what a peer knows of a server that was lost under segments."""
    _set_lost(state, lost.instance, lost.at)
    segment_losses.expire(state.table.segment_losses, now)
    answered_keys.merge_segments(state, lost)


def unanswered(
    state: Crashers, keys: suspect_keys.Keys, now: float
) -> suspect_keys.Keys:
    """Return the keys that were not answered a short time ago."""
    return tuple(
        key for key in keys if not answered_keys.is_answered(state, key, now)
    )


def merge(
    state: Crashers, notes: Iterable[suspects_data.SuspectNote], now: float
) -> None:
    """Merge what a peer knows of requests.

    What this process saw answered since, or shortly before, is cleared.
    """
    received = tuple(notes)
    suspects.merge(state.table, received, now)
    for note in received:
        for loss in note.losses:
            _set_lost(state, loss.server_id, loss.at)
        answered_keys.vouch(state, note, now)


def take(state: Crashers, reported: Iterable[Loss], now: float) -> None:
    """Record losses that a peer of an older release has reported.

    Such a peer repeats a loss that is known already, when the server's entry is
    dropped.
    """
    for fingerprint, instance in reported:
        _set_lost(state, instance, now)
        known = state.table.notes.get(fingerprint)
        if known and any(each.server_id == instance for each in known.losses):
            continue
        loss = suspects_data.Loss(instance, '', now)
        note = suspects_data.SuspectNote(fingerprint, (loss,))
        suspects.merge(state.table, (note,), now)


def begin_check(
    state: Crashers,
    keys: suspect_keys.Keys,
    check: suspects_data.Trial,
    now: float,
    *,
    runs_once: bool,
) -> suspect_keys.Keys:
    """Record the check of a server on which the run of a request broke off.

    Args:
        state: What is known of requests.
        keys: All keys of the request, its own first.
        check: The check.
        now: The current second.
        runs_once: Whether the request is sent to one server only, so that its
            caller may send it again during the check.

    Returns:
        The keys for which it counts, but for those under which the server is
        being checked already; `trial_ended` ends it.
    """
    own = keys[0]
    counted = tuple(
        key
        for key in unanswered(state, keys, now)
        if lost_count(state, key) or runs_once and key == own
    )
    added = crash_checks.begin(
        state.table,
        suspect_keys.most_lost(state.table, counted, suspect_keys.MAX_TRIED),
        check,
        now,
    )
    state.untold.update(dict.fromkeys(added))
    return added


def trial_ended(
    state: Crashers,
    fingerprint: str,
    trial_id: str,
    tried: suspect_keys.Keys = (),
) -> None:
    """Record that a trial ended, or has begun to answer, without a loss."""
    for key in tried or (fingerprint,):
        before = state.table.notes.get(key)
        end = suspects_data.TrialEnd(key, trial_id, answered=False)
        if suspects.record_trial_end(state.table, end) != before:
            state.untold[key] = None


def may_begin(
    state: Crashers, request: suspects_data.TrialRequest, now: float
) -> suspects_data.Verdict:
    """Decide whether a request may run on a server, and record a trial."""
    verdict = suspect_keys.judge(state.table, request, now)
    if verdict is suspects_data.Verdict.TRY:
        state.untold.update(dict.fromkeys(tried_keys(state, request, now)))
    return verdict


def tried_keys(
    state: Crashers, request: suspects_data.TrialRequest, now: float
) -> suspect_keys.Keys:
    """Return the keys that the trial of a request tries."""
    keys = (request.fingerprint, *request.segments)
    return suspect_keys.most_lost(
        state.table,
        suspect_keys.suspected(state.table, keys, now),
        suspect_keys.MAX_TRIED,
    )


def lost_count(state: Crashers, fingerprint: str) -> int:
    """Return how many servers were lost under a key, until an answer."""
    return suspect_keys.lost_count(state.table, fingerprint)


def avoided(state: Crashers, now: float) -> frozenset[str]:
    """Return the servers that a trial must not run on."""
    lost = (each for each in state.lost if is_lost(state, each, now))
    return suspects.trial_servers(state.table, now).union(lost)


def pop_untold(state: Crashers) -> list[suspects_data.SuspectNote]:
    """Return the notes that were not reported to peers yet."""
    notes = state.table.notes
    changed = [notes[name] for name in state.untold if name in notes]
    state.untold.clear()
    return changed


def _record_segments(
    state: Crashers, lost: segment_losses.LostServer, now: float
) -> None:
    table = state.table
    segment_losses.expire(table.segment_losses, now)
    worst = suspect_keys.most_lost(
        table, lost.keys, segment_losses.MAX_OF_SERVER
    )
    recorded = lost._replace(keys=worst)
    segment_losses.record(table.segment_losses, recorded)
    state.untold_lost.append(recorded)


def _set_lost(state: Crashers, instance: str, at: float) -> None:
    """Record when a server was lost: the latest time that is known."""
    latest = max(state.lost.pop(instance, NEVER), at)
    state.lost[instance] = latest
    _trim(state.lost)


def _forget_ended(at_server: dict[str, EndedRun], now: float) -> None:
    """Forget the first runs of a server while they ended too long ago."""
    while now - next(iter(at_server.values())).at > DETECTED_WITHIN_S:
        at_server.pop(next(iter(at_server)))


def _is_outdated(at_server: dict[str, EndedRun], now: float) -> bool:
    """Return whether all runs of a server ended too long ago."""
    return all(now - run.at > DETECTED_WITHIN_S for run in at_server.values())


def _trim(known: dict[str, Any]) -> None:
    while len(known) > MAX_TRACKED:
        known.pop(next(iter(known)))
