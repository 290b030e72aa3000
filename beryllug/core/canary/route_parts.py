"""How the answers for a service are divided among its routes."""

from beryllug.core.canary import canary_data

# Part of all answers from which a new version needs evidence of its own on a
# route. The other routes are judged together, as one.
MIN_ROUTE_PART = 0.12
# Key of the routes with a smaller part.
RARE_ROUTES = ''


def frequent(tally: canary_data.Tally) -> frozenset[str]:
    """Return the routes that have a part of their own."""
    counts = _counts(tally)
    least = MIN_ROUTE_PART * sum(counts.values())
    return frozenset(
        route for route, count in counts.items() if count >= max(least, 1)
    )


def are_rare_frequent(tally: canary_data.Tally) -> bool:
    """Return whether all rare routes together have a part of their own."""
    counts = _counts(tally)
    total = sum(counts.values())
    rare = total - sum(counts[each] for each in frequent(tally))
    return rare >= max(MIN_ROUTE_PART * total, 1)


def part_of(tally: canary_data.Tally, route: str) -> float:
    """Return the part of the answers that a route has, or all rare ones.

    Without any answer it is 1.
    """
    counts = _counts(tally)
    total = sum(counts.values())
    if not total:
        return 1
    own = frequent(tally)
    if route in own:
        return counts[route] / total
    return 1 - sum(counts[each] for each in own) / total


def _counts(tally: canary_data.Tally) -> dict[str, int]:
    """Return the answers by route, of all versions."""
    return {
        route: sum(seen.old) + sum(map(sum, seen.answers.values()))
        for route, seen in tally.by_route.items()
    }
