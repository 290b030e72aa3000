"""Max-min fair division of a capacity.

Whoever demands less than the common level gets its demand; the others share
what is left equally, in proportion to their weights.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple


class Demand(NamedTuple):
    """The demand of one party.

    Attributes:
        amount: What it demands, in the unit of the capacity.
        weight: Its weight.
    """

    amount: float
    weight: int = 1


def level(demands: Iterable[Demand], capacity: float) -> float:
    """Return the share per unit of weight at which the capacity is used up.

    Infinite when every demand is met.
    """
    ranked = sorted((each.amount / each.weight, each) for each in demands)
    remaining = capacity
    weight = sum(each.weight for _, each in ranked)
    for per_weight, each in ranked:
        if per_weight * weight >= remaining:
            return remaining / weight
        remaining -= each.amount
        weight -= each.weight
    return math.inf
