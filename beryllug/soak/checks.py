"""The guarantees, checked against what callers and backend servers observed.

Each check takes all observations and yields a message per violation. A
guarantee with a time bound is only checked where no fault occurred around that
time.
"""

import itertools
import re
from collections.abc import Callable, Iterator
from http import HTTPStatus

from beryllug.platform import names
from beryllug.soak import (
    callers,
    components,
    crash_checks,
    load_checks,
    observations,
    site,
)
from beryllug.standins import platform_site, router_checks

NON_IDEMPOTENT = ('/hold/', '/report/')
VALID_KEYS = frozenset((platform_site.KEY, site.FLOOD_KEY))
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SUCCESS = HTTPStatus.OK
# Seconds within which a change of the table or of a server's entry applies,
# plus one for a busy machine.
APPLY_S = 3.0
# Seconds before a request within which a fault may still affect it.
AFTERMATH_S = 3.0
# Maximum requests in a second at a cold server: factor and slack over its rate.
COLD_FACTOR = 1.5
COLD_SLACK = 5
# Maximum requests in a window at a limited server: window, factor and slack.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
STREAMS = ('/draft/', '/report/')
COMPLETE = 'complete'
ROLLED_BACK = 'rolled_back'
# Default settings of the routers; the slack includes requests that were in
# flight when the version was rolled back.
TRIAL_SHARE = 0.1
TRIAL_SLACK = 24
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+) (\d+)\n\n')


def at_most_once(observed: observations.Observations) -> Iterator[str]:
    """A hold or a non-resumable report runs at most once."""
    for sent in observed.sent:
        runs = observed.runs.get(sent.attempt_id, ())
        if sent.path.startswith(NON_IDEMPOTENT) and len(runs) > 1:
            where = [run.instance for run in runs]
            yield f'{sent.attempt_id} ran {len(runs)} times, on {where}'


def not_run_is_true(observed: observations.Observations) -> Iterator[str]:
    """A non-idempotent request reported as "not run" has not run."""
    for sent in observed.sent:
        is_non_idempotent = sent.path.startswith(NON_IDEMPOTENT)
        if (
            is_non_idempotent
            and sent.status in NOT_RUN_STATUSES
            and sent.attempt_id in observed.runs
        ):
            yield f'{sent.attempt_id} got {sent.status} but ran'


def whole_own_answer(observed: observations.Observations) -> Iterator[str]:
    """A success is a server's complete answer to this very request."""
    for sent in observed.sent:
        if sent.status != SUCCESS:
            continue
        seal = sent.headers.get(names.SEAL, '')
        if not seal.endswith(f'.{sent.attempt_id}'):
            yield f'{sent.attempt_id} has the wrong seal {seal!r}'
        if not _is_complete(sent):
            yield f'{sent.attempt_id} is not whole: {sent.answer!r}'


def own_headers(observed: observations.Observations) -> Iterator[str]:
    """A server gets the account of the key, and never the key."""
    for runs in observed.runs.values():
        for run in runs:
            account = platform_site.ACCOUNT
            if run.attempt_id.startswith(site.FLOOD_ACCOUNT):
                account = site.FLOOD_ACCOUNT
            if run.account != account:
                yield f'{run.attempt_id} came as {run.account!r}'
            if names.AUTHORIZATION in run.headers:
                yield f'{run.attempt_id} came with its key'


def not_denied(observed: observations.Observations) -> Iterator[str]:
    """A valid request with a valid key never gets a permanent error."""
    for sent in observed.sent:
        if (
            sent.status in load_checks.PERMANENT_ERRORS
            and sent.key in VALID_KEYS
        ):
            yield f'{sent.attempt_id} got {sent.status} of {sent.router}'


def revoked(observed: observations.Observations) -> Iterator[str]:
    """A revoked key is refused within seconds."""
    if observed.revoked_at is None:
        return
    for sent in observed.sent:
        is_late = sent.began_at > observed.revoked_at + APPLY_S
        if (
            sent.key != site.REVOKED_KEY
            or sent.status != SUCCESS
            or not is_late
        ):
            continue
        affected = frozenset((sent.router, components.STORE))
        since = observed.revoked_at - AFTERMATH_S
        if not observed.had_fault(affected, since, sent.began_at):
            yield f'{sent.attempt_id} was answered on a revoked key'


def drained(observed: observations.Observations) -> Iterator[str]:
    """A draining server soon gets no new requests."""
    routers = frozenset(sent.router for sent in observed.sent) | {
        components.STORE
    }
    for runs in observed.runs.values():
        for run in runs:
            draining_since = observed.draining_since.get(run.instance)
            if draining_since is None or run.at < draining_since + APPLY_S:
                continue
            if not observed.had_fault(
                routers, draining_since - AFTERMATH_S, run.at
            ):
                yield f'{run.attempt_id} came to {run.instance} as it drains'


def evacuated(observed: observations.Observations) -> Iterator[str]:
    """An evacuated zone soon gets no new requests."""
    routers = frozenset(sent.router for sent in observed.sent) | {
        components.STORE
    }
    for closed in observed.closed:
        since = closed.began_at + APPLY_S
        for run in itertools.chain.from_iterable(observed.runs.values()):
            is_there = observed.zones.get(run.instance) == closed.zone
            if not is_there or not since <= run.at < closed.ended_at:
                continue
            before = closed.began_at - AFTERMATH_S
            if not observed.had_fault(routers, before, run.at):
                yield f'{run.attempt_id} came to evacuated {run.instance}'


def cold(observed: observations.Observations) -> Iterator[str]:
    """A server that has just started gets no more than it can serve."""
    maximum = site.COLD_PER_S * COLD_FACTOR + COLD_SLACK
    for instance, until in observed.cold_until.items():
        times = sorted(
            run.at
            for run in itertools.chain.from_iterable(observed.runs.values())
            if run.instance == instance and run.at < until
        )
        for at in times:
            count = sum(at <= each <= at + 1 for each in times)
            if count > maximum:
                yield f'cold {instance} got {count} requests in a second'
                break


def limited(observed: observations.Observations) -> Iterator[str]:
    """All routers together stay within the limit of a server.

    Requests of a router that was restarted, frozen or cut off just before are
    not counted.
    """
    for instance, received in observed.limited.items():
        since = received[0].at + AFTERMATH_S if received else 0
        times = [
            each.at
            for each in received
            if each.at >= since and not _is_excused(observed, each)
        ]
        for at in times:
            count = sum(at <= each < at + LIMIT_WINDOW_S for each in times)
            maximum = (
                LIMIT_FACTOR * site.LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK
            )
            if count > maximum:
                yield f'{instance} got {count} requests, at its limit'
                break


def left_alone(observed: observations.Observations) -> Iterator[str]:
    """No router sends requests to a server that told it that it leaves.

    The only exceptions are restarts and freezes of that router.
    """
    for (instance, router), received in observed.arrivals.items():
        affected = frozenset(
            (components.freeze_of(router), components.restart_of(router))
        )
        for violation in router_checks.find_after_leaving(received, APPLY_S):
            if not observed.had_fault(
                affected, violation.announced_at, violation.at
            ):
                yield f'{violation.attempt_id} came to {instance}, which left'


def backed_off(observed: observations.Observations) -> Iterator[str]:
    """Routers respect the backoff of a server that refused a request."""
    for (instance, router), received in observed.arrivals.items():
        affected = frozenset((router, components.restart_of(router)))
        for violation in router_checks.find_during_backoff(received):
            if not observed.had_fault(
                affected, violation.announced_at, violation.at
            ):
                yield f'{violation.attempt_id} came too soon to {instance}'


def not_cut(observed: observations.Observations) -> Iterator[str]:
    """Only a fault of its router, or of any server, cuts a request.

    A planned stop and a reload cut nothing. A request that crosses the close of
    a kept-alive connection and is not forwarded may be sent again.
    """
    for sent in observed.sent:
        if not sent.failure or sent.is_unsent:
            continue
        if (
            sent.attempt_id not in observed.runs
            and 'timeout' not in sent.failure
        ):
            continue
        affected = frozenset((sent.router, components.SERVERS))
        since = sent.began_at - AFTERMATH_S
        if not observed.had_fault(affected, since, sent.ended_at):
            yield f'{sent.attempt_id} was cut by {sent.router}: {sent.failure}'


def answered_in_time(observed: observations.Observations) -> Iterator[str]:
    """No request hangs, unless its router had a fault."""
    for sent in observed.sent:
        if sent.ended_at - sent.began_at < callers.HANG_S:
            continue
        affected = frozenset((sent.router,))
        if not observed.had_fault(affected, sent.began_at, sent.ended_at):
            yield f'{sent.attempt_id} hung at {sent.router}'


def rolled_out(observed: observations.Observations) -> Iterator[str]:
    """A bad version never completes, and gets no more than its share."""
    rollout_result = observed.rollout_result
    if rollout_result is None or not rollout_result.is_bad:
        return
    if rollout_result.state == COMPLETE:
        yield 'a bad version was completed'
    tried = sum(
        run.instance in rollout_result.instances
        for runs in observed.runs.values()
        for run in runs
    )
    asked = sum(
        sent.path.startswith(STREAMS)
        and rollout_result.began_at <= sent.began_at <= rollout_result.ended_at
        for sent in observed.sent
    )
    maximum = TRIAL_SHARE * asked + TRIAL_SLACK
    if tried > maximum:
        yield f'a bad version got {tried} requests of {asked}'


def rolled_out_good(observed: observations.Observations) -> Iterator[str]:
    """A good version is not rolled back while nothing else fails."""
    rollout_result = observed.rollout_result
    if (
        rollout_result is None
        or rollout_result.is_bad
        or rollout_result.state != ROLLED_BACK
    ):
        return
    affected = frozenset((components.SERVERS, components.STORE))
    if not observed.had_fault(
        affected, rollout_result.began_at, rollout_result.ended_at
    ):
        yield 'a good version was rolled back'


CHECKS: tuple[Callable[[observations.Observations], Iterator[str]], ...] = (
    at_most_once,
    not_run_is_true,
    whole_own_answer,
    own_headers,
    not_denied,
    revoked,
    drained,
    evacuated,
    cold,
    limited,
    left_alone,
    backed_off,
    not_cut,
    load_checks.served_while_cut,
    load_checks.served_while_zone_cut,
    load_checks.not_fallen,
    load_checks.served_beside_flood,
    crash_checks.not_sent_on,
    answered_in_time,
    rolled_out,
    rolled_out_good,
)


def violations(observed: observations.Observations) -> list[str]:
    """Return all violations, each with the name of its check."""
    return [
        f'{check.__name__}: {violation}'
        for check in CHECKS
        for violation in check(observed)
    ]


def _is_excused(
    observed: observations.Observations, arrival: observations.LimitedArrival
) -> bool:
    affected = frozenset(
        (arrival.router, components.restart_of(arrival.router))
    )
    return observed.had_fault(affected, arrival.at - AFTERMATH_S, arrival.at)


def _is_complete(sent: observations.Sent) -> bool:
    if sent.path.startswith(('/lookup', '/hold')):
        method = 'POST' if sent.body else 'GET'
        return sent.answer == f'{method} {sent.path}'.encode() + sent.body
    events = EVENT.findall(sent.answer)
    numbers = [int(number) for number, _, _ in events]
    models = {model for _, model, _ in events}
    has_all_events = numbers == list(range(1, site.EVENTS + 1))
    rest = EVENT.sub(b'', sent.answer)
    return has_all_events and len(models) == 1 and not rest
