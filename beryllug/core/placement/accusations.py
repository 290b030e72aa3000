"""Lost trials, in the form that outlasts the processes."""

from collections.abc import Iterable, Iterator

from beryllug.core import suspects, suspects_data
from beryllug.core.placement import poison_data, suspect_keys


def accusations(
    state: poison_data.Crashers,
    found: Iterable[poison_data.AttributedLoss],
    now: float,
) -> tuple[poison_data.Accusation, ...]:
    """Return the accusations that losses just recorded mean.

    Args:
        state: What is known, the losses included.
        found: The losses.
        now: The current second.
    """
    by_trial = {}
    for lost in found:
        note = state.table.notes.get(lost.fingerprint)
        for loss in note.losses if note else ():
            if loss.trial_id and loss.trial_id == lost.run.trial_id:
                by_trial[loss.trial_id] = poison_data.Accusation(
                    loss.trial_id,
                    loss.together or (lost.fingerprint,),
                    loss.server_id,
                    loss.lost_servers,
                    now - loss.at,
                )
    return tuple(by_trial.values())


def notes_of(
    accusation: poison_data.Accusation, now: float
) -> Iterator[suspects_data.SuspectNote]:
    """Yield the notes of the keys of an accusation, in the reader's time."""
    loss = suspects_data.Loss(
        accusation.instance,
        '',
        now - accusation.ago_s,
        accusation.trial_id,
        together=accusation.keys if _is_shared(accusation.keys) else (),
        lost_servers=accusation.lost_servers,
    )
    for key in accusation.keys:
        yield suspects_data.SuspectNote(key, (loss,))


def is_expired(accusation: poison_data.Accusation) -> bool:
    """Return whether an accusation no longer matters."""
    if _is_shared(accusation.keys):
        return accusation.ago_s > suspects.SHARED_SUSPICION_S
    return accusation.ago_s > suspects.REFUSED_S


def cleared(state: poison_data.Crashers, keys: Iterable[str]) -> frozenset[str]:
    """Return the lost trials of keys that accuse nothing any more."""
    notes = (state.table.notes.get(key) for key in keys)
    return frozenset(
        loss.trial_id
        for note in notes
        if note is not None
        for loss in note.losses
        if loss.trial_id
        and not suspect_keys.remaining(state.table, note.fingerprint, loss)
    )


def _is_shared(keys: suspect_keys.Keys) -> bool:
    return len(keys) > 1 or suspect_keys.is_segment(keys[0])
