"""The parts of the view that a control process sends to its entries.

Each part is replaced as a whole and never changed in place, so whether a
stream has already sent it is a question of identity and costs nothing.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from beryllug.core import config_data, rpc_data, view_data

Part = TypeVar('Part')
Shares = tuple[rpc_data.ExposureShare, ...]


class ViewParts(NamedTuple):
    """All parts as they are now.

    Attributes:
        revision: Revision of the document.
        document: The accepted document; None before the first.
        rollouts: State of every roll-out.
        servers: Backend servers by the host list.
        loads: Loads that engines reported.
        suspects: Requests under suspicion.
        token_keys: Keys for session tokens, the signing one first.
        budgets: Exposure shares by name of the entry process.
    """

    revision: int = 0
    document: config_data.Document | None = None
    rollouts: tuple[view_data.RolloutStatus, ...] = ()
    servers: tuple[view_data.BackendServer, ...] = ()
    loads: tuple[view_data.ServerLoad, ...] = ()
    suspects: tuple[rpc_data.Suspect, ...] = ()
    token_keys: tuple[rpc_data.TokenKey, ...] = ()
    budgets: Mapping[str, Shares] = {}


NOTHING = ViewParts()


def changes(
    sent: ViewParts, present: ViewParts, entry: str
) -> dict[str, object]:
    """Return the fields of an update for one entry.

    Args:
        sent: What its stream has sent so far; `NOTHING` at its start.
        present: The parts as they are now.
        entry: Name of the entry process.

    Returns:
        Fields of `rpc_data.ViewUpdate`; a part that was sent is left out.
    """
    names = ('document', 'rollouts', 'servers', 'loads', 'suspects')
    fields: dict[str, object] = {'revision': present.revision}
    for name in (*names, 'token_keys'):
        part = getattr(present, name)
        if part is not getattr(sent, name):
            fields[name] = part
    shares = present.budgets.get(entry, ())
    if shares != sent.budgets.get(entry, ()):
        fields['budgets'] = shares
    return fields
