"""Relative value of the answers of one route, by their size.

Load handled: prefill of the largest model is scarce, and long prompts of a
route take many times the work of short ones. If all answers of a route counted
alike, the long ones would be the first to be kept from the larger model: of the
longest tenth half was answered below the required confidence, of the shortest
third one in seven. Callers value a long report more than a short one.

Each process learns the mean size of a route from its own requests, so that
nothing needs to be configured or exchanged.
"""

from dataclasses import dataclass, field

# Work of a generated token against one that is read, as in common price lists.
WRITTEN_TOKEN_SIZE = 10
# The part of a value that does not depend on the size: a short answer is worth
# something, too.
FIXED_PART = 0.3
# Upper bound on the relative value, so that a few very long prompts don't take
# all of the larger model.
MAX_VALUE = 4.0
# Weight of one request in the mean size of its route.
WEIGHT = 0.05
# Routes that are remembered; names of replaced tables accumulate.
MAX_ROUTES = 1000


@dataclass(slots=True)
class Sizes:
    """The mean size of the requests of each route, in tokens."""

    means: dict[str, float] = field(default_factory=dict)


def record(sizes: Sizes, route: str, size: float) -> float:
    """Learn from a request; return the value of its answer.

    Args:
        sizes: The known mean sizes.
        route: Name of the route.
        size: Size of the request, by `size_of`.

    Returns:
        The value relative to that of a request of mean size.
    """
    if route not in sizes.means and len(sizes.means) >= MAX_ROUTES:
        sizes.means.clear()
    mean = sizes.means.get(route, size)
    mean += WEIGHT * (size - mean)
    sizes.means[route] = mean
    if mean <= 0:
        return 1.0
    return min(FIXED_PART + (1 - FIXED_PART) * size / mean, MAX_VALUE)


def size_of(tokens_in: int, tokens_out: int) -> float:
    """Return the size of a request with its expected answer, in tokens."""
    return tokens_in + WRITTEN_TOKEN_SIZE * tokens_out
