"""Matching of requests to routes, target services and priorities."""

from beryllug.core.routes import routes_data


def find_route(
    table: routes_data.RouteTable, host: str, target: str
) -> routes_data.Route | None:
    """Return the route with the longest matching path prefix.

    Args:
        table: The active route table.
        host: Host as sent by the caller, optionally with a port.
        target: Path and query.
    """
    name = host.partition(':')[0].lower()
    path = target.partition('?')[0]
    for route in table.routes.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route: routes_data.Route, share: float) -> str:
    """Return the service that handles a request.

    Args:
        route: Its route.
        share: A random number from 0 to 1, drawn for the request.
    """
    total = sum(target.weight for target in route.targets)
    remaining = share * total
    for target in route.targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return route.targets[-1].service


def urgency(
    route: routes_data.Route, account: routes_data.Account | None
) -> int:
    """Return the priority of a request, 0 being the most urgent."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


def regions(
    route: routes_data.Route, account: routes_data.Account | None
) -> frozenset[str] | None:
    """Return the regions that a request may run in; None for any.

    If both the route and the client account name regions, both restrictions
    apply. The result may be empty, in which case the request cannot run.
    """
    restrictions = [route.regions]
    if account is not None:
        restrictions.append(account.regions)
    effective = [each for each in restrictions if each]
    if not effective:
        return None
    return frozenset.intersection(*effective)
