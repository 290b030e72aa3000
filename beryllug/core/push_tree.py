"""Who pushes to whom: a forest over the members of a zone.

Were the few who watch the platform to push to all others, they would send a
change dozens of times. In the forest each member sends it a few times at
most. All build the same forest out of the same order of members; where they
differ for a while, a member gets a change twice or late, from a comparison.
"""

from collections.abc import Sequence

FAN_OUT = 3


def children(order: Sequence[str], roots: int, member: str) -> tuple[str, ...]:
    """Return the members to whom one pushes.

    Args:
        order: All members, in an order on which they agree; roots first.
        roots: How many of them get changes elsewhere.
        member: The one that pushes.
    """
    if member not in order:
        return ()
    first = roots + order.index(member) * FAN_OUT
    return tuple(order[first : first + FAN_OUT])
