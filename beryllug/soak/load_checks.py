"""Guarantees while links are cut, servers brittle, or an account floods."""

from collections.abc import Iterator

from beryllug.platform import names
from beryllug.soak import components, observations, site

# Seconds from a cut of a router's links until its callers are served like the
# others', the least ratio of the two, and failures that are allowed.
STABLE_S = 3.0
MIN_SERVED_RATIO = 2 / 3
MAX_UNSERVED = 3
# Falls of brittle servers that are allowed, whatever their number.
MAX_FALLS = 2
NO_ROUTERS: frozenset[str] = frozenset()
PERMANENT_ERRORS = frozenset((400, 401, 403, 404, 413, 431))


def served_while_cut(observed: observations.Observations) -> Iterator[str]:
    """Callers of a router without links to servers are served like others."""
    for router in sorted({sent.router for sent in observed.sent}):
        for span in observed.fault_periods:
            is_cut = span.component == components.links_of(router)
            if is_cut and not _is_excused(observed, span):
                yield from _check_span(observed, frozenset((router,)), span)


def served_while_zone_cut(
    observed: observations.Observations,
) -> Iterator[str]:
    """Callers of a zone without links to servers are served like others."""
    for span in observed.fault_periods:
        if span.component != components.ZONE_LINKS:
            continue
        cut = _cut_with(observed, span)
        if not _is_excused(observed, span, cut):
            yield from _check_span(observed, cut, span)


def not_fallen(observed: observations.Observations) -> Iterator[str]:
    """Brittle servers don't fall over by what they turn away."""
    falls = sum(observed.falls.values())
    if falls > MAX_FALLS:
        yield f'{falls} falls'


def served_beside_flood(observed: observations.Observations) -> Iterator[str]:
    """While an account floods, the others are not served worse than it."""
    for span in observed.fault_periods:
        if span.component != components.FLOOD or _is_excused(observed, span):
            continue
        during = [
            sent
            for sent in observed.sent
            if span.began_at <= sent.began_at < span.ended_at
        ]
        flooding = [each for each in during if each.key == site.FLOOD_KEY]
        others = [each for each in during if each.key != site.FLOOD_KEY]
        yield from _compare(others, flooding, 'routers for other accounts')


def _cut_with(
    observed: observations.Observations, zone: observations.FaultPeriod
) -> frozenset[str]:
    """Return the routers that were cut off together with their zone."""
    spans = {
        each.component
        for each in observed.fault_periods
        if each.began_at == zone.began_at and each.ended_at == zone.ended_at
    }
    routers = {sent.router for sent in observed.sent}
    return frozenset(
        name for name in routers if components.links_of(name) in spans
    )


def _is_excused(
    observed: observations.Observations,
    span: observations.FaultPeriod,
    cut: frozenset[str] = NO_ROUTERS,
) -> bool:
    """Return whether something else failed beside a cut.

    Args:
        observed: What was observed.
        span: The cut.
        cut: Routers that were cut off together.
    """
    routers = {sent.router for sent in observed.sent}
    affected = {components.links_of(name) for name in routers - cut}
    for name in routers:
        affected.add(components.restart_of(name))
        affected.add(components.freeze_of(name))
    affected.discard(span.component)
    affected.update((components.SERVERS, components.STORE))
    return observed.had_fault(frozenset(affected), span.began_at, span.ended_at)


def _check_span(
    observed: observations.Observations,
    cut_off: frozenset[str],
    span: observations.FaultPeriod,
) -> Iterator[str]:
    since = span.began_at + STABLE_S
    watched = [
        sent for sent in observed.sent if since <= sent.began_at < span.ended_at
    ]
    cut = [sent for sent in watched if sent.router in cut_off]
    others = [sent for sent in watched if sent.router not in cut_off]
    yield from _compare(cut, others, ', '.join(sorted(cut_off)))


def _compare(
    cut: list[observations.Sent], others: list[observations.Sent], whose: str
) -> Iterator[str]:
    """Yield a violation if some requests are served far worse than others."""
    unserved = len(cut) - _count_served(cut)
    least = MIN_SERVED_RATIO * _count_served(others) * len(cut)
    is_far_worse = _count_served(cut) * len(others) < least
    if is_far_worse and unserved > MAX_UNSERVED:
        yield f'{unserved} of {len(cut)} not served by {whose}'


def _count_served(requests: list[observations.Sent]) -> int:
    """Count requests that a server answered, or that must be refused."""
    return sum(
        names.SEAL in sent.headers or sent.status in PERMANENT_ERRORS
        for sent in requests
    )
