"""The parts of the view that a control process sends to its entries.

Each part is replaced as a whole and never changed in place, so an identity
comparison shows, at no cost, whether a stream has already sent it.
"""

from collections.abc import Mapping
from typing import NamedTuple, TypeVar

from beryllug.core import config_data, rpc_data, view_data

Part = TypeVar('Part')
Shares = tuple[rpc_data.ExposureShare, ...]


class ViewParts(NamedTuple):
    """All current parts.

    Attributes:
        revision: Revision of the document.
        document: The accepted document; None before the first.
        rollouts: State of every roll-out.
        servers: Backend servers in the host list.
        loads: Loads that engines reported.
        suspects: Requests suspected of crashing servers.
        token_keys: Keys for session tokens, the signing one first.
        budgets: Exposure shares by the name of the entry process.
    """

    revision: int = 0
    document: config_data.Document | None = None
    rollouts: tuple[view_data.RolloutStatus, ...] = ()
    servers: tuple[view_data.BackendServer, ...] = ()
    loads: tuple[view_data.ServerLoad, ...] = ()
    suspects: tuple[rpc_data.Suspect, ...] = ()
    token_keys: tuple[rpc_data.TokenKey, ...] = ()
    budgets: Mapping[str, Shares] = {}


NO_PARTS = ViewParts()


def changes(
    sent: ViewParts, present: ViewParts, entry: str
) -> dict[str, object]:
    """Return the fields of an update for one entry.

    Args:
        sent: The parts that its stream has sent; `NO_PARTS` at its start.
        present: The current parts.
        entry: Name of the entry process.

    Returns:
        Fields of `rpc_data.ViewUpdate`, without the parts already sent.
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
