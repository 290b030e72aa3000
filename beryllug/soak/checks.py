"""The promises, held against what callers and backend servers saw.

Each check takes all that was seen and names each breach. Where a promise has
a bound in time, it is checked only where nothing was wrong around it.
"""

import itertools
import re
from collections.abc import Callable, Iterator
from http import HTTPStatus

from beryllug.platform import names
from beryllug.soak import callers, seen, site
from beryllug.standins import platform_site, server_rules

ONCE = ('/hold/', '/report/')
PROMISES = frozenset((408, 421, 429, 503))
DENIALS = frozenset((400, 401, 403, 404, 413, 431))
ANSWERED = HTTPStatus.OK
# Seconds in which a change of the table or of a server's entry is in force,
# and one for a busy machine.
IN_FORCE_S = 3.0
# Seconds before a request in which a trouble may still have its effect.
BEFORE_S = 3.0
# Requests in a second at a cold server, by its rate: these times it, and some.
COLD_OVER = 1.5
COLD_SLACK = 5
# Requests in some seconds at a server that names a limit, likewise.
LIMIT_S = 4.0
LIMIT_OVER = 1.5
LIMIT_SLACK = 5
STORE = 'store'
SERVERS = 'servers'
STREAMS = ('/draft/', '/report/')
COMPLETE = 'complete'
ROLLED_BACK = 'rolled_back'
# Bounds of the settings that a run leaves as they are, with those requests
# that were on their way as the version was taken back.
TRIAL_SHARE = 0.1
TRIAL_SLACK = 24
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+) (\d+)\n\n')


def at_most_once(found: seen.Seen) -> Iterator[str]:
    """A hold or a report that may not be resumed runs once at most."""
    for sent in found.sent:
        runs = found.runs.get(sent.attempt_id, ())
        if sent.path.startswith(ONCE) and len(runs) > 1:
            where = [run.instance for run in runs]
            yield f'{sent.attempt_id} ran {len(runs)} times, on {where}'


def not_run_is_true(found: seen.Seen) -> Iterator[str]:
    """What is said not to have run has not run."""
    for sent in found.sent:
        is_once = sent.path.startswith(ONCE)
        if (
            is_once
            and sent.status in PROMISES
            and sent.attempt_id in found.runs
        ):
            yield f'{sent.attempt_id} got {sent.status} and ran'


def whole_own_answer(found: seen.Seen) -> Iterator[str]:
    """An answer is the whole one of the server, to this very request."""
    for sent in found.sent:
        if sent.status != ANSWERED:
            continue
        seal = sent.headers.get(names.SEAL, '')
        if not seal.endswith(f'.{sent.attempt_id}'):
            yield f'{sent.attempt_id} has the seal {seal!r}'
        if not _is_whole(sent):
            yield f'{sent.attempt_id} is not whole: {sent.answer!r}'


def own_headers(found: seen.Seen) -> Iterator[str]:
    """A server gets the account of the key, and never the key."""
    for runs in found.runs.values():
        for run in runs:
            if run.account != platform_site.ACCOUNT:
                yield f'{run.attempt_id} came as {run.account!r}'
            if names.AUTHORIZATION in run.headers:
                yield f'{run.attempt_id} came with its key'


def not_denied(found: seen.Seen) -> Iterator[str]:
    """A proper request of a key in force is never refused for good."""
    for sent in found.sent:
        if sent.status in DENIALS and sent.key == platform_site.KEY:
            yield f'{sent.attempt_id} got {sent.status} of {sent.router}'


def revoked(found: seen.Seen) -> Iterator[str]:
    """A key that was taken away is refused soon."""
    if found.revoked_at is None:
        return
    for sent in found.sent:
        is_late = sent.began_at > found.revoked_at + IN_FORCE_S
        if (
            sent.key != site.REVOKED_KEY
            or sent.status != ANSWERED
            or not is_late
        ):
            continue
        whats = frozenset((sent.router, STORE))
        since = found.revoked_at - BEFORE_S
        if not found.is_troubled(whats, since, sent.began_at):
            yield f'{sent.attempt_id} was answered on a revoked key'


def drained(found: seen.Seen) -> Iterator[str]:
    """A server that leaves gets no new request after a while."""
    routers = frozenset(sent.router for sent in found.sent) | {STORE}
    for runs in found.runs.values():
        for run in runs:
            left_at = found.left_at.get(run.instance)
            if left_at is None or run.at < left_at + IN_FORCE_S:
                continue
            if not found.is_troubled(routers, left_at - BEFORE_S, run.at):
                yield f'{run.attempt_id} came to {run.instance}, which leaves'


def evacuated(found: seen.Seen) -> Iterator[str]:
    """No request comes to a zone that is evacuated, after a while."""
    routers = frozenset(sent.router for sent in found.sent) | {STORE}
    for closed in found.closed:
        since = closed.began_at + IN_FORCE_S
        for run in itertools.chain.from_iterable(found.runs.values()):
            is_there = found.zones.get(run.instance) == closed.zone
            if not is_there or not since <= run.at < closed.ended_at:
                continue
            before = closed.began_at - BEFORE_S
            if not found.is_troubled(routers, before, run.at):
                yield f'{run.attempt_id} came to {run.instance}, evacuated'


def cold(found: seen.Seen) -> Iterator[str]:
    """A server that has just started gets no more than it bears."""
    most = site.COLD_PER_S * COLD_OVER + COLD_SLACK
    for instance, until in found.cold_until.items():
        times = sorted(
            run.at
            for run in itertools.chain.from_iterable(found.runs.values())
            if run.instance == instance and run.at < until
        )
        for at in times:
            count = sum(at <= each <= at + 1 for each in times)
            if count > most:
                yield f'{instance} got {count} requests in a second, cold'
                break


def limited(found: seen.Seen) -> Iterator[str]:
    """A server that names a limit gets no more from all routers together.

    A router that was restarted, frozen or cut off a moment before counts for
    nothing.
    """
    for instance, came in found.limited.items():
        since = came[0].at + BEFORE_S if came else 0
        times = [
            each.at
            for each in came
            if each.at >= since and not _is_excused(found, each)
        ]
        for at in times:
            count = sum(at <= each < at + LIMIT_S for each in times)
            most = LIMIT_OVER * site.LIMIT_PER_S * LIMIT_S + LIMIT_SLACK
            if count > most:
                yield f'{instance} got {count} requests, at its limit'
                break


def left_alone(found: seen.Seen) -> Iterator[str]:
    """No router sends requests to a server that told it that it leaves.

    Nothing but a restart or a freeze of that router is an excuse.
    """
    for (instance, router), came in found.arrivals.items():
        whats = frozenset((freeze_of(router), restart_of(router)))
        for breach in server_rules.after_leaving(came, IN_FORCE_S):
            if not found.is_troubled(whats, breach.said_at, breach.at):
                yield f'{breach.attempt_id} came to {instance}, which left'


def backed_off(found: seen.Seen) -> Iterator[str]:
    """No router sends much to a server that refused it for a while."""
    for (instance, router), came in found.arrivals.items():
        whats = frozenset((router, restart_of(router)))
        for breach in server_rules.during_backoff(came):
            if not found.is_troubled(whats, breach.said_at, breach.at):
                yield f'{breach.attempt_id} came too soon to {instance}'


def not_cut(found: seen.Seen) -> Iterator[str]:
    """No request breaks off but by a kill, a freeze, a server or its link.

    A planned stop and a reload cut nothing. A request that crosses the close
    of a kept connection and is not passed on may be sent again.
    """
    for sent in found.sent:
        if not sent.failure or sent.is_unsent:
            continue
        if sent.attempt_id not in found.runs and 'timeout' not in sent.failure:
            continue
        whats = frozenset((sent.router, SERVERS))
        since = sent.began_at - BEFORE_S
        if not found.is_troubled(whats, since, sent.ended_at):
            yield f'{sent.attempt_id} was cut by {sent.router}: {sent.failure}'


def answered_in_time(found: seen.Seen) -> Iterator[str]:
    """No request hangs, unless its router stood still or was killed."""
    for sent in found.sent:
        if sent.ended_at - sent.began_at < callers.HANGS_S:
            continue
        whats = frozenset((sent.router,))
        if not found.is_troubled(whats, sent.began_at, sent.ended_at):
            yield f'{sent.attempt_id} hung at {sent.router}'


def rolled_out(found: seen.Seen) -> Iterator[str]:
    """A bad version is never completed, and gets no more than its share."""
    ordered = found.ordered
    if ordered is None or not ordered.is_bad:
        return
    if ordered.state == COMPLETE:
        yield 'a bad version was completed'
    tried = sum(
        run.instance in ordered.instances
        for runs in found.runs.values()
        for run in runs
    )
    asked = sum(
        sent.path.startswith(STREAMS)
        and ordered.began_at <= sent.began_at <= ordered.ended_at
        for sent in found.sent
    )
    most = TRIAL_SHARE * asked + TRIAL_SLACK
    if tried > most:
        yield f'a bad version got {tried} requests of {asked}'


def rolled_out_good(found: seen.Seen) -> Iterator[str]:
    """A good version is not taken back while nothing else is wrong."""
    ordered = found.ordered
    if ordered is None or ordered.is_bad or ordered.state != ROLLED_BACK:
        return
    whats = frozenset((SERVERS, STORE))
    if not found.is_troubled(whats, ordered.began_at, ordered.ended_at):
        yield 'a good version was taken back'


CHECKS: tuple[Callable[[seen.Seen], Iterator[str]], ...] = (
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
    answered_in_time,
    rolled_out,
    rolled_out_good,
)


def breaches(found: seen.Seen) -> list[str]:
    """Return all breaches, each with the name of its check."""
    return [
        f'{check.__name__}: {breach}'
        for check in CHECKS
        for breach in check(found)
    ]


def restart_of(router: str) -> str:
    """Return what names the restarts of a router among the troubles."""
    return f'{router} restarts'


def freeze_of(router: str) -> str:
    """Return what names the freezes of a router among the troubles."""
    return f'{router} freezes'


def _is_excused(found: seen.Seen, came: seen.Came) -> bool:
    whats = frozenset((came.router, restart_of(came.router)))
    return found.is_troubled(whats, came.at - BEFORE_S, came.at)


def _is_whole(sent: seen.Sent) -> bool:
    if sent.path.startswith(('/lookup', '/hold')):
        method = 'POST' if sent.body else 'GET'
        return sent.answer == f'{method} {sent.path}'.encode() + sent.body
    events = EVENT.findall(sent.answer)
    numbers = [int(number) for number, _, _ in events]
    models = {model for _, model, _ in events}
    are_all = numbers == list(range(1, site.EVENTS + 1))
    rest = EVENT.sub(b'', sent.answer)
    return are_all and len(models) == 1 and not rest
