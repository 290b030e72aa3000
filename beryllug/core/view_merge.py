"""Merge updates of the view, never backwards.

A control process that restarted in an outage or reads a stale replica may
send an older document. Taking it would bring a withdrawn version back, so a
document is taken only with a higher revision.
"""

from typing import NamedTuple, TypeVar

from beryllug.core import rpc_data, view_data

Part = TypeVar('Part')


class Known(NamedTuple):
    """All that an entry holds of what control processes sent.

    Attributes:
        view: The view for routing.
        suspects: Requests under suspicion, by fingerprint.
        token_keys: Keys for session tokens.
        budgets: Exposure shares.
        accept: Whether control says that new work may be taken.
    """

    view: view_data.View = view_data.EMPTY_VIEW
    suspects: tuple[rpc_data.Suspect, ...] = ()
    token_keys: tuple[rpc_data.TokenKey, ...] = ()
    budgets: tuple[rpc_data.ExposureShare, ...] = ()
    accept: bool = True


def merge(known: Known, update: rpc_data.ViewUpdate) -> Known:
    """Return what is known after an update."""
    view = known.view
    if update.document is not None and update.revision > view.revision:
        view = view._replace(revision=update.revision, document=update.document)
    view = view._replace(
        rollouts=_newer_rollouts(view.rollouts, update.rollouts),
        servers=_newer(view.servers, update.servers),
        loads=_newer(view.loads, update.loads),
    )
    return Known(
        view=view,
        suspects=_newer(known.suspects, update.suspects),
        token_keys=_newer(known.token_keys, update.token_keys),
        budgets=_newer(known.budgets, update.budgets),
        accept=update.accept,
    )


def _newer(old: Part, new: Part | None) -> Part:
    return old if new is None else new


Rollouts = tuple[view_data.RolloutStatus, ...]


def _newer_rollouts(old: Rollouts, new: Rollouts | None) -> Rollouts:
    """Take each roll-out's state unless the one that is known is newer.

    The next control process may lag behind the one that was lost. Taking its
    older state would bring a candidate back that was stopped.
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
    stopped = known.verdict is view_data.Verdict.STOPPED
    return offered.version < known.version or stopped
