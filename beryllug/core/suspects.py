"""Decide on requests that may have crashed a backend server.

A server lost under n requests puts suspicion on all n. Each may be tried
again once, on one server where no other trial runs. The answer of a trial
clears the request, which is how the innocent ones get theirs; the loss of
its server convicts it, and it is refused at once from then on. So a request
that crashes every server costs two of them however often it is sent again,
plus one for each further copy that was already running when the first
server was lost: nobody can know of it before.

A table is the sum of notes that can be merged in any order and repeatedly,
so control processes just tell each other what they know.
"""

from collections.abc import Iterable

from beryllug.core import rpc_data, suspects_data

# Reports of one loss come within the time of a probe and a report; a server
# that starts again is rarely lost for another reason within that time, and
# then the count is too low, which costs a trial and refuses nobody.
WINDOW_S = 5.0
# How long a request is under suspicion after a loss, and refused after the
# loss of its trial's server.
SUSPICION_S = 60.0
REFUSED_S = 300.0
MAX_TRIAL_S = 120.0
MAX_NOTES = 512
MAX_LOSSES = 8
MAX_TRIALS = 4
WAIT_S = 1.0

TrialReply = suspects_data.TrialReply
Verdict = suspects_data.Verdict


def reported(
    table: suspects_data.Table, report: rpc_data.CrashReport, now: float
) -> tuple[suspects_data.Note, ...]:
    """Take in the report of a lost server.

    Args:
        table: The table.
        report: What an entry process saw.
        now: The present wall-clock second.

    Returns:
        The notes as they are now of all requests of the report.
    """
    ref = report.version
    loss = suspects_data.Loss(
        server_id=report.server_id,
        version=f'{ref.model}@{ref.version}' if ref else '',
        at=min(report.at, now),
    )
    news = [
        suspects_data.Note(
            fingerprint,
            (loss._replace(trial_id=_trial_of(report, fingerprint)),),
        )
        for fingerprint in dict.fromkeys(report.fingerprints)
    ]
    merge(table, news, now)
    return tuple(
        table.notes[note.fingerprint]
        for note in news
        if note.fingerprint in table.notes
    )


def merge(
    table: suspects_data.Table,
    notes: Iterable[suspects_data.Note],
    now: float,
) -> bool:
    """Take in notes; in any order and repeatedly, with the same result.

    Returns:
        Whether the table has changed.
    """
    before = dict(table.notes)
    for note in notes:
        own = table.notes.get(note.fingerprint)
        table.notes[note.fingerprint] = _merged(own, note)
    expire(table, now)
    return table.notes != before


def expire(table: suspects_data.Table, now: float) -> None:
    """Forget what is too old, and the least important beyond the bound.

    A rack that is lost puts thousands of requests under suspicion at once.
    What is refused now is kept before what is suspected, and the later loss
    before the earlier one.
    """
    table.notes = {
        name: note
        for name, note in table.notes.items()
        if now < kept_until(note)
    }
    if len(table.notes) > MAX_NOTES:
        ranked = sorted(table.notes.values(), key=kept_until, reverse=True)
        table.notes = {note.fingerprint: note for note in ranked[:MAX_NOTES]}


def kept_until(note: suspects_data.Note) -> float:
    """Return the second until which a note counts.

    A cleared one stays too: a late report of the same loss must find that it
    was answered since.
    """
    until = [_counts_until(loss) for loss in note.losses]
    return max((*until, *(trial.until for trial in note.trials)), default=0)


def is_refused(note: suspects_data.Note, now: float) -> bool:
    """Tell whether a trial of the request has cost its server."""
    return any(
        loss.trial_id and now < loss.at + REFUSED_S for loss in note.losses
    )


def is_suspect(note: suspects_data.Note, now: float) -> bool:
    """Tell whether the request needs a trial before it runs freely."""
    return any(
        not loss.cleared and now < loss.at + SUSPICION_S for loss in note.losses
    )


def judge(
    table: suspects_data.Table,
    ask: suspects_data.TrialAsk,
    now: float,
) -> suspects_data.TrialReply:
    """Decide whether a request may run, and note the trial if there is one.

    Two trials never share a server: were it lost, an innocent request that
    is being cleared would be convicted with the one that crashed it.

    Args:
        table: The table.
        ask: The question.
        now: The present wall-clock second.
    """
    note = table.notes.get(ask.fingerprint)
    if note is None:
        return TrialReply(Verdict.RUN)
    if is_refused(note, now):
        left_s = kept_until(note) - now
        return TrialReply(Verdict.REFUSE, retry_after_s=left_s)
    if not is_suspect(note, now):
        return TrialReply(Verdict.RUN)
    running = open_trial(note, now)
    if running is not None and running.trial_id == ask.trial_id:
        return TrialReply(Verdict.TRY)
    if running is not None or ask.server_id in trial_servers(table, now):
        return TrialReply(Verdict.WAIT, retry_after_s=WAIT_S)
    until = now + min(ask.longest_s, MAX_TRIAL_S)
    trial = suspects_data.Trial(ask.trial_id, ask.server_id, until)
    begun = note._replace(trials=(*note.trials, trial)[-MAX_TRIALS:])
    table.notes[ask.fingerprint] = begun
    return TrialReply(Verdict.TRY)


def ended(
    table: suspects_data.Table, end: suspects_data.TrialEnd
) -> suspects_data.Note | None:
    """Take in that a suspected request ended and its server lives.

    Returns:
        Its note as it is now, None where there is none.
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
        # By the losses that are known, not by time: hosts' clocks differ.
        losses = tuple(one._replace(cleared=True) for one in losses)
    after = note._replace(losses=losses, trials=trials)
    table.notes[end.fingerprint] = after
    return after


def open_trial(
    note: suspects_data.Note, now: float
) -> suspects_data.Trial | None:
    """Return the trial of a request that may be running now."""
    lost = {loss.trial_id for loss in note.losses}
    running = [
        trial
        for trial in note.trials
        if not trial.ended and trial.trial_id not in lost and now < trial.until
    ]
    return running[0] if running else None


def trial_servers(table: suspects_data.Table, now: float) -> frozenset[str]:
    """Return the servers on which trials may be running now."""
    running = (open_trial(note, now) for note in table.notes.values())
    return frozenset(trial.server_id for trial in running if trial is not None)


def shown(
    table: suspects_data.Table, now: float
) -> tuple[rpc_data.Suspect, ...]:
    """Return what entry processes have to know."""
    return tuple(
        _shown(note, now)
        for note in table.notes.values()
        if is_suspect(note, now) or is_refused(note, now)
    )


def _counts_until(loss: suspects_data.Loss) -> float:
    if loss.trial_id:
        return loss.at + REFUSED_S
    return loss.at + SUSPICION_S


def _weight(loss: suspects_data.Loss) -> tuple[bool, float]:
    return bool(loss.trial_id), loss.at


def _ends_at(trial: suspects_data.Trial) -> float:
    return trial.until


def _trial_of(report: rpc_data.CrashReport, fingerprint: str) -> str:
    return report.trial_id if fingerprint == report.tried else ''


def _shown(note: suspects_data.Note, now: float) -> rpc_data.Suspect:
    trial = open_trial(note, now)
    return rpc_data.Suspect(
        fingerprint=note.fingerprint,
        crashes=sum(not loss.cleared for loss in note.losses),
        until=kept_until(note),
        refused=is_refused(note, now),
        trial_server=trial.server_id if trial else '',
    )


def _merged(
    own: suspects_data.Note | None, told: suspects_data.Note
) -> suspects_data.Note:
    if own is None:
        return told
    losses = list(own.losses)
    for loss in told.losses:
        _merge_loss(losses, loss)
    trials = {trial.trial_id: trial for trial in own.trials}
    for trial in told.trials:
        known = trials.get(trial.trial_id, trial)
        ended_now = known.ended or trial.ended
        trials[trial.trial_id] = known._replace(ended=ended_now)
    latest = sorted(trials.values(), key=_ends_at)
    losses.sort(key=_weight)
    return suspects_data.Note(
        own.fingerprint,
        tuple(losses[-MAX_LOSSES:]),
        tuple(latest[-MAX_TRIALS:]),
    )


def _merge_loss(
    losses: list[suspects_data.Loss], told: suspects_data.Loss
) -> None:
    """Add a loss, or find it among those that are known.

    Several entries report one crash, each for its own requests; a request
    that two of them ran there would else count it twice. A trial's loss is
    told by the trial: a server that was restarted at once and is lost again
    under the trial must count again, or the request would be tried for ever.
    """
    for index, known in enumerate(losses):
        if _is_same(known, told):
            losses[index] = known._replace(
                at=min(known.at, told.at),
                cleared=known.cleared or told.cleared,
            )
            return
    losses.append(told)


def _is_same(known: suspects_data.Loss, told: suspects_data.Loss) -> bool:
    if known.trial_id or told.trial_id:
        return known.trial_id == told.trial_id
    near = abs(known.at - told.at) < WINDOW_S
    return known.server_id == told.server_id and near
