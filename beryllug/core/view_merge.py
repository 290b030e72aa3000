"""Merges updates into the view; the document never becomes older.

A control process that restarted during an outage or reads a stale replica may
send an older document. Accepting it would restore a withdrawn version, so a
document is accepted only with a higher revision.
"""

from typing import NamedTuple, TypeVar

from beryllug.core import rpc_data, view_data

Part = TypeVar('Part')


class EntryState(NamedTuple):
    """The state that an entry received from control processes.

    Attributes:
        view: The view for routing.
        suspects: Requests suspected of crashing servers, by fingerprint.
        token_keys: Keys for session tokens.
        budgets: Exposure shares.
        accept: Whether new work may be accepted, by the control process.
    """

    view: view_data.View = view_data.EMPTY_VIEW
    suspects: tuple[rpc_data.Suspect, ...] = ()
    token_keys: tuple[rpc_data.TokenKey, ...] = ()
    budgets: tuple[rpc_data.ExposureShare, ...] = ()
    accept: bool = True


def merge(known: EntryState, update: rpc_data.ViewUpdate) -> EntryState:
    """Return the state after an update."""
    view = known.view
    if update.document is not None and update.revision > view.revision:
        view = view._replace(revision=update.revision, document=update.document)
    view = view._replace(
        rollouts=_newer_rollouts(view.rollouts, update.rollouts),
        servers=_new_or_old(view.servers, update.servers),
        loads=_new_or_old(view.loads, update.loads),
    )
    return EntryState(
        view=view,
        suspects=_new_or_old(known.suspects, update.suspects),
        token_keys=_new_or_old(known.token_keys, update.token_keys),
        budgets=_new_or_old(known.budgets, update.budgets),
        accept=update.accept,
    )


def _new_or_old(old: Part, new: Part | None) -> Part:
    return old if new is None else new


Rollouts = tuple[view_data.RolloutStatus, ...]


def _newer_rollouts(old: Rollouts, new: Rollouts | None) -> Rollouts:
    """Accept each roll-out's state unless the known one is newer.

    After the loss of a control process the next one may be behind it.
    Accepting its older state would restore a stopped candidate.
    """
    if new is None:
        return old
    known = {status.model: status for status in old}
    return tuple(
        known[status.model]
        if _is_older(status, known.get(status.model))
        else status
        for status in new
    )


def _is_older(
    offered: view_data.RolloutStatus, known: view_data.RolloutStatus | None
) -> bool:
    if known is None or offered.version > known.version:
        return False
    is_stopped = known.verdict is view_data.Verdict.STOPPED
    return offered.version < known.version or is_stopped
