"""Checks of servers that may have crashed under a request.

A check takes long where a process stalls or a server's host is gone, and copies
of the request may arrive elsewhere meanwhile. A check is therefore told as a
trial of the request on that server, and while it runs its server counts as lost
under the request. For a segment it does so only if another server was lost
under it: connections break for other reasons, and many requests share segments.
"""

from collections.abc import Iterable

from beryllug.core import suspects, suspects_data

CHECK = 'c/'


def is_check(trial: suspects_data.Trial) -> bool:
    """Return whether a trial is the check of a server."""
    return trial.trial_id.startswith(CHECK)


def begin(
    table: suspects_data.Table,
    keys: Iterable[str],
    check: suspects_data.Trial,
    now: float,
) -> tuple[str, ...]:
    """Record that a server is checked that may have crashed under keys.

    Returns:
        The keys under which it was not being checked yet.
    """
    known = {key: _note(table, key) for key in keys}
    added = tuple(
        key
        for key, note in known.items()
        if check.server_id not in servers(note, now)
    )
    for key in added:
        note = known[key]
        trials = (*note.trials, check)[-suspects.MAX_TRIALS :]
        table.notes[key] = note._replace(trials=trials)
    return added


def servers(note: suspects_data.SuspectNote, now: float) -> frozenset[str]:
    """Return the servers that are being checked."""
    return frozenset(
        trial.server_id
        for trial in note.trials
        if is_check(trial) and not trial.ended and now < trial.until
    )


def _note(table: suspects_data.Table, key: str) -> suspects_data.SuspectNote:
    return table.notes.get(key, suspects_data.SuspectNote(key))
