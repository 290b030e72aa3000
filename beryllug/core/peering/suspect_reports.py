"""Notes on suspected requests as processes send them to one another.

The clocks of two processes differ, so a report states ages and remaining times.
"""

from collections.abc import Iterable, Iterator

from beryllug.core import suspects, suspects_data
from beryllug.core.peering import peering_data
from beryllug.core.placement import poison_requests, suspect_keys

# Losses and trials in one datagram, at some 40 bytes each, twice for a loss.
MAX_ITEMS_PER_NOTE = 10
# Losses of one key that are told at once: those without a trial, and those with
# one, which name up to four keys each.
MAX_ORDINARY = 4
MAX_TRIED = 2


def report_of(
    note: suspects_data.SuspectNote, now: float
) -> peering_data.SuspectReport:
    """Return the report of a note."""
    return peering_data.SuspectReport(
        note.fingerprint,
        tuple(
            peering_data.LossReport(
                loss.server_id,
                now - loss.at,
                loss.trial_id,
                loss.cleared,
                loss.together,
                loss.lost_servers,
            )
            for loss in note.losses
        ),
        tuple(
            peering_data.TrialReport(
                trial.trial_id, trial.server_id, trial.until - now, trial.ended
            )
            for trial in note.trials
        ),
    )


def told_parts(
    note: suspects_data.SuspectNote,
) -> Iterator[suspects_data.SuspectNote]:
    """Yield what of a changed note is told, in parts that fit a datagram each.

    The last losses come first. Earlier ones were told before, and are told
    again only if the key has been answered since. The losses of a note without
    segments are all told at once, which takes less.
    """
    if not any(loss.together for loss in note.losses):
        yield note
        return
    ordinary = [loss for loss in note.losses if not loss.trial_id]
    tried = [loss for loss in note.losses if loss.trial_id]
    is_first = True
    while ordinary or tried:
        losses = (*ordinary[-MAX_ORDINARY:], *tried[-MAX_TRIED:])
        if is_first or any(loss.cleared for loss in losses):
            yield note._replace(losses=losses)
        is_first = False
        ordinary = ordinary[:-MAX_ORDINARY]
        tried = tried[:-MAX_TRIED]


def binding_part(
    note: suspects_data.SuspectNote, now: float
) -> suspects_data.SuspectNote | None:
    """Return what of a note keeps its request from running freely, if any.

    Of several lost trials, that of the fewest keys binds most.
    """
    lost = sorted(suspects.lost_trials(note, now), key=_binding_order)
    if lost:
        return note._replace(losses=tuple(lost[-1:]), trials=())
    if not suspects.is_suspect(note, now, poison_requests.SUSPECT_AFTER):
        return None
    by_server = {
        loss.server_id: loss for loss in note.losses if not loss.cleared
    }
    running = suspects.open_trial(note, now)
    return note._replace(
        losses=tuple(by_server.values())[-poison_requests.SUSPECT_AFTER :],
        trials=(running,) if running else (),
    )


def is_shared(report: peering_data.SuspectReport) -> bool:
    """Return whether what a report binds is shared by many requests."""
    return suspect_keys.is_segment(report.fingerprint)


def note_of(
    report: peering_data.SuspectReport, now: float
) -> suspects_data.SuspectNote:
    """Return the note that a report was made of, in the receiver's time."""
    return suspects_data.SuspectNote(
        report.fingerprint,
        tuple(
            suspects_data.Loss(
                loss.instance,
                '',
                now - loss.ago_s,
                loss.trial_id,
                loss.is_cleared,
                loss.together,
                loss.lost_servers,
            )
            for loss in report.losses
        ),
        tuple(
            suspects_data.Trial(
                trial.trial_id,
                trial.instance,
                now + trial.left_s,
                trial.is_ended,
            )
            for trial in report.trials
        ),
    )


def losses_of(
    reports: Iterable[peering_data.SuspectReport],
) -> tuple[poison_requests.Loss, ...]:
    """Return the losses in reports as older releases read them.

    They know of no segments.
    """
    return tuple(
        poison_requests.Loss(report.fingerprint, loss.instance)
        for report in reports
        if not suspect_keys.is_segment(report.fingerprint)
        for loss in report.losses
        if not loss.is_cleared
    )


def split(
    reports: Iterable[peering_data.SuspectReport],
) -> Iterator[tuple[peering_data.SuspectReport, ...]]:
    """Yield reports in groups that each fit into one datagram."""
    group: list[peering_data.SuspectReport] = []
    items = 0
    for report in reports:
        size = _items(report)
        if group and items + size > MAX_ITEMS_PER_NOTE:
            yield tuple(group)
            group = []
            items = 0
        group.append(report)
        items += size
    if group:
        yield tuple(group)


def _binding_order(loss: suspects_data.Loss) -> tuple[int, float]:
    return -len(loss.together), loss.at


def _items(report: peering_data.SuspectReport) -> int:
    """Return the size of a report, in items of one loss or trial."""
    accused = sum(len(loss.together) for loss in report.losses)
    return len(report.losses) + len(report.trials) + accused
