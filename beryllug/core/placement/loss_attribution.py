"""Attribution of a lost server to the keys of the requests that ran there."""

from collections.abc import Mapping

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import (
    answered_keys,
    crash_checks,
    poison_data,
    segment_losses,
    suspect_keys,
)


def attribute(
    state: poison_data.Crashers,
    instance: str,
    runs: Mapping[str, poison_data.EndedRun],
) -> poison_data.Attribution:
    """Return the losses that a lost server means.

    Args:
        state: What is known of requests.
        instance: The server.
        runs: The runs that ended there a short time ago, by fingerprint.
    """
    found: dict[str, poison_data.AttributedLoss] = {}
    segments: dict[str, None] = {}
    for fingerprint, run_there in runs.items():
        by_key = _runs_by_key(state, fingerprint, run_there)
        for key, of_key in by_key.items():
            if not of_key.trial_id and suspect_keys.is_segment(key):
                segments[key] = None
            elif of_key.trial_id or key not in found:
                found[key] = poison_data.AttributedLoss(key, instance, of_key)
    return poison_data.Attribution(
        list(found.values()),
        segment_losses.LostServer(
            instance,
            max((each.at for each in runs.values()), default=0),
            tuple(each for each in segments if each not in found),
        ),
    )


def note_of(
    state: poison_data.Crashers, found: poison_data.AttributedLoss, now: float
) -> suspects_data.SuspectNote:
    """Return the note of a loss.

    If several trials ran on the server, it is not known which one crashed it.
    """
    run = found.run
    loss = suspects_data.Loss(found.instance, '', run.at)
    if run.trial_id and not _has_other_trial(state, found, now):
        loss = loss._replace(
            trial_id=run.trial_id,
            lost_servers=suspect_keys.next_count(
                state.table, run.tried, found.instance
            ),
        )
        if run.tried != (found.fingerprint,) or suspect_keys.is_segment(
            found.fingerprint
        ):
            loss = loss._replace(together=run.tried)
    return suspects_data.SuspectNote(found.fingerprint, (loss,))


def _runs_by_key(
    state: poison_data.Crashers, fingerprint: str, run: poison_data.EndedRun
) -> dict[str, poison_data.EndedRun]:
    """Return a run for each key, as a trial for those that it accuses."""
    keys = (fingerprint, *run.segments)
    unanswered = [
        key for key in keys if not answered_keys.is_answered(state, key, run.at)
    ]
    tried = run.tried or (fingerprint,)
    accused = suspect_keys.accused(
        state.table, tuple(key for key in tried if key in unanswered)
    )
    ordinary = poison_data.EndedRun(run.at)
    trial = poison_data.EndedRun(run.at, run.trial_id, tried=accused)
    return {key: trial if key in accused else ordinary for key in unanswered}


def _has_other_trial(
    state: poison_data.Crashers, found: poison_data.AttributedLoss, now: float
) -> bool:
    """Return whether the trial of another request may run on the server."""
    running = (
        suspects.open_trial(note, now) for note in state.table.notes.values()
    )
    return any(
        trial is not None
        and not crash_checks.is_check(trial)
        and trial.server_id == found.instance
        and trial.trial_id != found.run.trial_id
        for trial in running
    )
