"""Guarantees while a request crashes each server that runs it."""

from collections.abc import Iterator

from beryllug.soak import components, crash_request, load_checks, observations

# Crashes after which the request is known, and arrivals later than the time in
# which all processes know of the last of them.
MAX_CRASHES = 3
MAX_LATE_ARRIVALS = 3
# Seconds before a crash within which a fault may still affect a router.
AFTERMATH_S = 3.0


def not_sent_on(observed: observations.Observations) -> Iterator[str]:
    """A request under which three servers crashed goes to no further one.

    Arrivals from routers that were restarted, stopped or cut off meanwhile do
    not count.
    """
    crashes = sorted(observed.crashes)
    if len(crashes) < MAX_CRASHES:
        return
    third_at = crashes[MAX_CRASHES - 1]
    late = [
        attempt_id
        for (_, router), received in observed.arrivals.items()
        for attempt_id, at, _ in received
        if attempt_id.startswith(f'{crash_request.NAME}-')
        and at > third_at + load_checks.STABLE_S
        and not _is_excused(observed, router, third_at, at)
    ]
    if len(late) > MAX_LATE_ARRIVALS:
        yield f'{len(late)} arrivals after {len(crashes)} crashes: {late}'


def _is_excused(
    observed: observations.Observations,
    router: str,
    third_at: float,
    at: float,
) -> bool:
    affected = frozenset(
        (
            router,
            components.restart_of(router),
            components.freeze_of(router),
            components.links_of(router),
        )
    )
    return observed.had_fault(affected, third_at - AFTERMATH_S, at)
