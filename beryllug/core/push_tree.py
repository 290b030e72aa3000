"""Forest over the members of a zone along which changes are pushed.

If the few members that watch the platform pushed to all others, each would
send a change dozens of times. In the forest each member sends it at most
`FAN_OUT` times. All members build the same forest from the same order of
members; while their orders differ, a member gets a change twice, or late,
when it next compares its state with a peer.
"""

from collections.abc import Sequence

FAN_OUT = 3


def children(order: Sequence[str], roots: int, member: str) -> tuple[str, ...]:
    """Return the members that a member pushes to.

    Args:
        order: All members, in an order that all agree on; roots first.
        roots: Number of members that get changes from another source.
        member: The member that pushes.
    """
    if member not in order:
        return ()
    first = roots + order.index(member) * FAN_OUT
    return tuple(order[first : first + FAN_OUT])
