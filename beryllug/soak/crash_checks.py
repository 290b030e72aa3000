"""Guarantees while requests crash each server that runs them."""

from collections.abc import Iterator

from beryllug.soak import components, crash_request, load_checks, observations

# Arrivals later than the time in which all processes know of the crashes from
# which such requests are known.
MAX_LATE_ARRIVALS = 3
# Seconds before a crash within which a fault may still affect a router.
AFTERMATH_S = 3.0


def not_sent_on(observed: observations.Observations) -> Iterator[str]:
    """A request that is known to crash servers goes to no further one.

    Arrivals from routers that were stopped or cut off meanwhile do not count,
    nor those from routers that were restarted while the store had a fault.
    """
    crashes = sorted(observed.crashes)
    if len(crashes) < observed.known_after:
        return
    known_at = crashes[observed.known_after - 1]
    late = [
        attempt_id
        for (_, router), received in observed.arrivals.items()
        for attempt_id, at, _ in received
        if attempt_id.startswith(f'{crash_request.NAME}-')
        and at > known_at + load_checks.STABLE_S
        and not _is_excused(observed, router, known_at, at)
    ]
    if len(late) > MAX_LATE_ARRIVALS:
        yield f'{len(late)} arrivals after {len(crashes)} crashes: {late}'


def _is_excused(
    observed: observations.Observations,
    router: str,
    known_at: float,
    at: float,
) -> bool:
    began_at = known_at - AFTERMATH_S
    affected = frozenset(
        (
            router,
            components.freeze_of(router),
            components.links_of(router),
        )
    )
    if observed.had_fault(affected, began_at, at):
        return True
    restarts = frozenset((components.restart_of(router),))
    store = frozenset((components.STORE,))
    return observed.had_fault(restarts, began_at, at) and observed.had_fault(
        store, began_at, at
    )
