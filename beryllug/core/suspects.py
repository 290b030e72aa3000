"""Decide on requests that may have crashed a backend server.

When a server is lost, all requests that ran on it become suspects, or do so
with the second one (`Table.suspect_after`). Each may be tried again once, on a
server where no other trial runs. An answer to the trial clears the request, so
requests that did not cause the crash are still answered. If the trial's server
is lost too, the request is refused from then on. A poison request therefore
costs two or three servers however often it is sent again, plus one for each
further copy that already ran when it became a suspect; these cannot be known
before.

A table is a set of notes whose merge is commutative and idempotent, so
control processes simply send each other the notes they have.
"""

from collections.abc import Iterable

from beryllug.core import rpc_data, suspects_data

# Reports of one loss arrive within the time of a probe and a report. A server
# that restarts is rarely lost for another reason within that time; if it is,
# the count is too low, which costs a trial and refuses no request.
WINDOW_S = 5.0
# How long a request is a suspect after a loss, and how long it is refused
# after the loss of its trial's server.
SUSPICION_S = 60.0
REFUSED_S = 300.0
# How long what requests share stays a suspect after a lost trial: it is refused
# for longer each time, and must not count as unknown after that.
SHARED_SUSPICION_S = 7200.0
MAX_TRIAL_S = 120.0
MAX_NOTES = 512
MAX_LOSSES = 8
MAX_TRIALS = 4
TRIAL_RETRY_S = 1.0

TrialReply = suspects_data.TrialReply
Verdict = suspects_data.Verdict


def record_report(
    table: suspects_data.Table, report: rpc_data.CrashReport, now: float
) -> tuple[suspects_data.SuspectNote, ...]:
    """Record the report of a lost server.

    Args:
        table: The table.
        report: Report of an entry process.
        now: The current wall-clock second.

    Returns:
        The updated notes of all requests of the report.
    """
    ref = report.version
    loss = suspects_data.Loss(
        server_id=report.server_id,
        version=f'{ref.model}@{ref.version}' if ref else '',
        at=min(report.at, now),
    )
    new_notes = [
        suspects_data.SuspectNote(
            fingerprint,
            (loss._replace(trial_id=_trial_id_of(report, fingerprint)),),
        )
        for fingerprint in dict.fromkeys(report.fingerprints)
    ]
    merge(table, new_notes, now)
    return tuple(
        table.notes[note.fingerprint]
        for note in new_notes
        if note.fingerprint in table.notes
    )


def merge(
    table: suspects_data.Table,
    notes: Iterable[suspects_data.SuspectNote],
    now: float,
) -> bool:
    """Merge notes; order and repetition do not change the result.

    Returns:
        Whether the table has changed.
    """
    before = dict(table.notes)
    for note in notes:
        existing = table.notes.get(note.fingerprint)
        table.notes[note.fingerprint] = _merge_note(existing, note)
    expire(table, now)
    return table.notes != before


def expire(table: suspects_data.Table, now: float) -> None:
    """Remove expired notes, and the least important ones beyond the bound.

    The loss of a rack makes thousands of requests suspects at once. Refused
    requests are kept before suspects, and later losses before earlier ones.
    """
    table.notes = {
        name: note
        for name, note in table.notes.items()
        if now < kept_until(note)
    }
    if len(table.notes) > MAX_NOTES:
        ranked = sorted(table.notes.values(), key=kept_until, reverse=True)
        table.notes = {note.fingerprint: note for note in ranked[:MAX_NOTES]}


def kept_until(note: suspects_data.SuspectNote) -> float:
    """Return the second until which a note is valid.

    A cleared note is kept too: a late report of the same loss must find that
    the request was answered since.
    """
    until = [_loss_valid_until(loss) for loss in note.losses]
    return max((*until, *(trial.until for trial in note.trials)), default=0)


def is_refused(note: suspects_data.SuspectNote, now: float) -> bool:
    """Tell whether a server was lost under a trial of the request."""
    return any(
        loss.trial_id and now < loss.at + REFUSED_S for loss in note.losses
    )


def is_suspect(
    note: suspects_data.SuspectNote, now: float, suspect_after: int = 1
) -> bool:
    """Tell whether the request needs a trial before it may run.

    Args:
        note: Its note.
        now: The current second.
        suspect_after: Lost servers after which it does.
    """
    return len(lost_servers(note, now)) >= suspect_after


def lost_servers(note: suspects_data.SuspectNote, now: float) -> frozenset[str]:
    """Return the servers that were lost a short time ago, until an answer."""
    return frozenset(
        loss.server_id
        for loss in note.losses
        if not loss.cleared and now < loss.at + SUSPICION_S
    )


def lost_trials(
    note: suspects_data.SuspectNote, now: float
) -> tuple[suspects_data.Loss, ...]:
    """Return the losses under trials that still count."""
    return tuple(
        loss
        for loss in note.losses
        if loss.trial_id and not loss.cleared and now < _loss_valid_until(loss)
    )


def judge(
    table: suspects_data.Table,
    request: suspects_data.TrialRequest,
    now: float,
) -> suspects_data.TrialReply:
    """Decide whether a request may run, and record its trial if there is one.

    Two trials never share a server: if it were lost, a request that did not
    crash it would be refused together with the one that did.

    Args:
        table: The table.
        request: The suspected request and the server it would run on.
        now: The current wall-clock second.
    """
    note = table.notes.get(request.fingerprint)
    if note is None:
        return TrialReply(Verdict.RUN)
    if is_refused(note, now):
        remaining_s = kept_until(note) - now
        return TrialReply(Verdict.REFUSE, retry_after_s=remaining_s)
    if not is_suspect(note, now, table.suspect_after):
        return TrialReply(Verdict.RUN)
    running = open_trial(note, now)
    if running is not None and running.trial_id == request.trial_id:
        return TrialReply(Verdict.TRY)
    if running is not None or request.server_id in trial_servers(table, now):
        return TrialReply(Verdict.WAIT, retry_after_s=TRIAL_RETRY_S)
    until = now + min(request.longest_s, MAX_TRIAL_S)
    trial = suspects_data.Trial(request.trial_id, request.server_id, until)
    updated = note._replace(trials=(*note.trials, trial)[-MAX_TRIALS:])
    table.notes[request.fingerprint] = updated
    return TrialReply(Verdict.TRY)


def record_trial_end(
    table: suspects_data.Table, end: suspects_data.TrialEnd
) -> suspects_data.SuspectNote | None:
    """Record that a suspected request ended without loss of its server.

    Returns:
        Its updated note, None if there is none.
    """
    note = table.notes.get(end.fingerprint)
    if note is None:
        return None
    trials = tuple(
        trial._replace(ended=trial.ended or trial.trial_id == end.trial_id)
        for trial in note.trials
    )
    losses = note.losses
    if end.answered:
        # Clears the known losses, not those before a time: clocks differ.
        losses = tuple(one._replace(cleared=True) for one in losses)
    updated = note._replace(losses=losses, trials=trials)
    table.notes[end.fingerprint] = updated
    return updated


def open_trial(
    note: suspects_data.SuspectNote, now: float
) -> suspects_data.Trial | None:
    """Return the trial of a request that may still be running."""
    lost = {loss.trial_id for loss in note.losses}
    running = [
        trial
        for trial in note.trials
        if not trial.ended and trial.trial_id not in lost and now < trial.until
    ]
    return running[0] if running else None


def trial_servers(table: suspects_data.Table, now: float) -> frozenset[str]:
    """Return the servers on which trials may still be running."""
    running = (open_trial(note, now) for note in table.notes.values())
    return frozenset(trial.server_id for trial in running if trial is not None)


def suspects_for_entries(
    table: suspects_data.Table, now: float
) -> tuple[rpc_data.Suspect, ...]:
    """Return the suspects and refused requests for entry processes."""
    return tuple(
        _view_suspect(note, now)
        for note in table.notes.values()
        if is_refused(note, now) or is_suspect(note, now, table.suspect_after)
    )


def _loss_valid_until(loss: suspects_data.Loss) -> float:
    if loss.together:
        return loss.at + SHARED_SUSPICION_S
    if loss.trial_id:
        return loss.at + REFUSED_S
    return loss.at + SUSPICION_S


def _loss_order(loss: suspects_data.Loss) -> tuple[bool, float]:
    return bool(loss.trial_id), loss.at


def _trial_until(trial: suspects_data.Trial) -> float:
    return trial.until


def _trial_id_of(report: rpc_data.CrashReport, fingerprint: str) -> str:
    return report.trial_id if fingerprint == report.tried else ''


def _view_suspect(
    note: suspects_data.SuspectNote, now: float
) -> rpc_data.Suspect:
    trial = open_trial(note, now)
    return rpc_data.Suspect(
        fingerprint=note.fingerprint,
        crashes=sum(not loss.cleared for loss in note.losses),
        until=kept_until(note),
        refused=is_refused(note, now),
        trial_server=trial.server_id if trial else '',
    )


def _merge_note(
    existing: suspects_data.SuspectNote | None,
    received: suspects_data.SuspectNote,
) -> suspects_data.SuspectNote:
    if existing is None:
        return received
    losses = list(existing.losses)
    for loss in received.losses:
        _merge_loss(losses, loss)
    trials = {trial.trial_id: trial for trial in existing.trials}
    for trial in received.trials:
        known = trials.get(trial.trial_id, trial)
        is_ended = known.ended or trial.ended
        trials[trial.trial_id] = known._replace(ended=is_ended)
    latest = sorted(trials.values(), key=_trial_until)
    losses.sort(key=_loss_order)
    return suspects_data.SuspectNote(
        existing.fingerprint,
        tuple(losses[-MAX_LOSSES:]),
        tuple(latest[-MAX_TRIALS:]),
    )


def _merge_loss(
    losses: list[suspects_data.Loss], received: suspects_data.Loss
) -> None:
    """Add a loss, or merge it into a known one.

    Several entries report one crash, each for its own requests; without the
    merge, a request that two of them ran there would count it twice. A loss
    under a trial is identified by the trial: a server that restarted at once
    and is lost again under the trial must count again, or the request would
    be tried for ever.
    """
    for index, known in enumerate(losses):
        if _is_same_loss(known, received):
            losses[index] = known._replace(
                at=min(known.at, received.at),
                cleared=known.cleared or received.cleared,
            )
            return
    losses.append(received)


def _is_same_loss(
    known: suspects_data.Loss, received: suspects_data.Loss
) -> bool:
    if known.trial_id or received.trial_id:
        return known.trial_id == received.trial_id
    in_window = abs(known.at - received.at) < WINDOW_S
    return known.server_id == received.server_id and in_window
