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
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from beryllug.core import suspects, suspects_data

# Seconds between the end of a run and the latest detection that its server is
# gone: the platform drops an entry after three missed heartbeats of 1.2 s.
DETECTED_WITHIN_S = 6.0
# Server losses after which a request is a suspect. Most requests that share a
# server with one that crashes it are not on the next one, too.
SUSPECT_AFTER = 2
# Seconds after an answer in which a lost server is not attributed to a request.
# What many callers send alike runs on each server that is lost.
SOUND_S = 10.0
MAX_TRACKED = 500
NEVER = float('-inf')


class Loss(NamedTuple):
    """A server that was lost while a request ran on it."""

    fingerprint: str
    instance: str


class EndedRun(NamedTuple):
    """A run of a request on a server that ended without an answer.

    Attributes:
        at: Second at which it ended.
        trial_id: The trial that it was; empty for an ordinary run.
    """

    at: float
    trial_id: str = ''


class AttributedLoss(NamedTuple):
    """A lost server, and a request that ran there shortly before."""

    fingerprint: str
    instance: str
    run: EndedRun


def _new_table() -> suspects_data.Table:
    return suspects_data.Table(suspect_after=SUSPECT_AFTER)


@dataclass(slots=True)
class Crashers:
    """Server losses that are attributed to requests, in this process's time.

    Attributes:
        ended: Runs without an answer, by instance and fingerprint.
        answered: Seconds of the last answers to requests, oldest first.
        lost: Servers that were lost, with the second.
        table: Losses and trials of requests.
        untold: Requests whose note has changed and is not reported to peers.
    """

    ended: dict[str, dict[str, EndedRun]] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    lost: dict[str, float] = field(default_factory=dict)
    table: suspects_data.Table = field(default_factory=_new_table)
    untold: dict[str, None] = field(default_factory=dict)


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
) -> list[AttributedLoss]:
    """Record that a server is gone; returns the attributed losses."""
    _set_lost(state, instance, now)
    at_server = state.ended.pop(instance, {})
    found = [
        AttributedLoss(fingerprint, instance, run)
        for fingerprint, run in at_server.items()
        if now - run.at <= DETECTED_WITHIN_S
        and now - state.answered.get(fingerprint, NEVER) > SOUND_S
    ]
    notes = [_note_of(state, loss, now) for loss in found]
    suspects.merge(state.table, notes, now)
    state.untold.update(dict.fromkeys(loss.fingerprint for loss in found))
    return found


def merge(
    state: Crashers, notes: Iterable[suspects_data.SuspectNote], now: float
) -> None:
    """Merge what a peer knows of requests."""
    received = tuple(notes)
    suspects.merge(state.table, received, now)
    for note in received:
        for loss in note.losses:
            _set_lost(state, loss.server_id, loss.at)


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


def answered(
    state: Crashers, fingerprint: str, trial_id: str, now: float
) -> int:
    """Record a successful answer: the request does not crash servers.

    Returns:
        Count of the losses that are cleared by it.
    """
    state.answered.pop(fingerprint, None)
    state.answered[fingerprint] = now
    _trim(state.answered)
    for at_server in state.ended.values():
        at_server.pop(fingerprint, None)
    known = state.table.notes.get(fingerprint)
    if known is None:
        return 0
    cleared = [loss for loss in known.losses if not loss.cleared]
    if cleared or trial_id:
        end = suspects_data.TrialEnd(fingerprint, trial_id, answered=True)
        suspects.record_trial_end(state.table, end)
    if trial_id or len(cleared) >= SUSPECT_AFTER:
        state.untold[fingerprint] = None
    return len(cleared)


def trial_ended(state: Crashers, fingerprint: str, trial_id: str) -> None:
    """Record that a trial ended, or has begun to answer, without a loss."""
    before = state.table.notes.get(fingerprint)
    end = suspects_data.TrialEnd(fingerprint, trial_id, answered=False)
    if suspects.record_trial_end(state.table, end) != before:
        state.untold[fingerprint] = None


def may_begin(
    state: Crashers, request: suspects_data.TrialRequest, now: float
) -> suspects_data.Verdict:
    """Decide whether a request may run on a server, and record a trial."""
    verdict = suspects.judge(state.table, request, now).verdict
    if verdict is suspects_data.Verdict.TRY:
        state.untold[request.fingerprint] = None
    return verdict


def is_suspect(state: Crashers, fingerprint: str, now: float) -> bool:
    """Return whether a request may only run as a trial."""
    note = state.table.notes.get(fingerprint)
    return note is not None and suspects.is_suspect(note, now, SUSPECT_AFTER)


def is_tried(state: Crashers, fingerprint: str, now: float) -> bool:
    """Return whether a trial of a request may be running."""
    note = state.table.notes.get(fingerprint)
    return note is not None and suspects.open_trial(note, now) is not None


def refused_s(state: Crashers, fingerprint: str, now: float) -> float:
    """Return the seconds for which a request is refused; 0 if it is not."""
    note = state.table.notes.get(fingerprint)
    if note is None or not suspects.is_refused(note, now):
        return 0
    return suspects.kept_until(note) - now


def lost_count(state: Crashers, fingerprint: str) -> int:
    """Return how many servers were lost under a request, until an answer."""
    note = state.table.notes.get(fingerprint)
    if note is None:
        return 0
    return len({loss.server_id for loss in note.losses if not loss.cleared})


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


def _note_of(
    state: Crashers, found: AttributedLoss, now: float
) -> suspects_data.SuspectNote:
    """Return the note of a loss.

    If several trials ran on the server, it is not known which one crashed it.
    """
    trial_id = found.run.trial_id
    others = (
        suspects.open_trial(note, now)
        for name, note in state.table.notes.items()
        if name != found.fingerprint
    )
    if any(each and each.server_id == found.instance for each in others):
        trial_id = ''
    loss = suspects_data.Loss(found.instance, '', found.run.at, trial_id)
    return suspects_data.SuspectNote(found.fingerprint, (loss,))


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
