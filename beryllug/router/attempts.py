"""Rules for retrying a request, shared by the plain and the stream flow.

A failed attempt is followed by another one only if the request may run twice or
is known not to have run, if its route permits one more server, and if the
fleet's retry bound has room.
"""

import time
from dataclasses import dataclass, field

from beryllug.core.placement import backlog, retry_delay, servers_data
from beryllug.core.routes import match
from beryllug.router import attempt_log, dispatch, pool, trials
from beryllug.router import call as call_data

# A request is retried after at most this many unreachable servers, which don't
# count as attempts.
MAX_UNREACHABLE_SERVERS = 6
# Maximum number of servers that terminate during a request without counting as
# attempts.
MAX_TERMINATED_SERVERS = 3
# Remaining seconds below which a further attempt cannot return an answer.
MIN_REMAINING_S = 0.01
NO_INSTANCES: frozenset[str] = frozenset()


@dataclass(slots=True)
class Progress:
    """Progress of a request over its attempts.

    Attributes:
        version_choice: The versions that it may run on.
        excluded: Instances that have failed it; not those that it was sent to
            through a process that was lost.
        counted_attempts: Attempts that count against the route's maximum.
        unreachable: Servers that could not be reached.
        may_have_run: Whether the request can no longer be reported as not run.
        reason: Why the last attempt failed.
        unavailability: Why there was no server for a further attempt.
        is_late: Whether the last attempt failed by a timeout.
        terminated: Servers that terminated while they ran the request.
        is_server_gone: Whether the server of the last attempt has terminated.
        trial_id: The trial that the last attempt was, since servers were lost
            under the request; else empty.
        tried: What that trial tries: keys under which servers were lost.
        refusal: Why it is sent to no further server for that reason, or None.
        discarded_at: Servers whose answers, of a smaller model, were
            discarded; the request has then run, and may still be retried.
    """

    version_choice: trials.VersionChoice
    excluded: set[str] = field(default_factory=set)
    counted_attempts: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    reason: str = ''
    unavailability: retry_delay.PlacementFailure = retry_delay.PlacementFailure(
        retry_delay.Cause.NO_SERVER
    )
    is_late: bool = False
    terminated: int = 0
    is_server_gone: bool = False
    trial_id: str = ''
    tried: tuple[str, ...] = ()
    refusal: call_data.RefusedError | None = None
    discarded_at: tuple[servers_data.Server, ...] = ()


def criteria(
    call: call_data.Call,
    progress: Progress,
    prompt: backlog.Prompt | None = None,
    avoided: frozenset[str] = NO_INSTANCES,
) -> servers_data.Requirements:
    """Return the criteria for choosing the server of the next attempt.

    Args:
        call: The request.
        progress: Its progress.
        prompt: Its prompt, for a model runner.
        avoided: Instances that it must not be sent to now.
    """
    version_choice = progress.version_choice
    versions = (
        version_choice.others if progress.excluded else version_choice.versions
    )
    is_first_trial = version_choice.is_trial and not progress.excluded
    return servers_data.Requirements(
        call.service,
        prompt,
        versions,
        avoided.union(progress.excluded),
        len(call.req.body),
        call.asked.tokens_out,
        match.regions(call.route, call.account),
        is_bound=version_choice.is_bound and not is_first_trial,
        target_left_s=target_left_s(call) if prompt else None,
    )


def record_no_server(
    call: call_data.Call,
    progress: Progress,
    servers: pool.Pool,
    log: attempt_log.AttemptLog,
) -> None:
    """Record that there is no server for an attempt."""
    progress.unavailability = servers.eligible.unavailability(
        criteria(call, progress), time.monotonic()
    )
    log.no_server(call, progress.unavailability, progress.excluded)
    if not progress.reason:
        progress.reason = retry_delay.REASONS[progress.unavailability.cause]


def record_failure(
    progress: Progress, choice: pool.Choice, failed: dispatch.Outcome
) -> None:
    """Record how an attempt failed."""
    if not (isinstance(failed, dispatch.Unknown) and failed.is_relay_lost):
        progress.excluded.add(choice.server.instance)
    match failed:
        case dispatch.NotRun(reason, is_gone):
            progress.reason = reason
            progress.counted_attempts += not is_gone
            progress.unreachable += is_gone
        case dispatch.Unknown(reason) | dispatch.Withdrawn(reason):
            progress.reason = reason
            progress.counted_attempts += 1
            progress.may_have_run = True
        case dispatch.TimedOut(reason):
            progress.reason = reason
            progress.counted_attempts += 1
            progress.may_have_run = True
            progress.is_late = True


def uncount_terminated_server(
    call: call_data.Call,
    progress: Progress,
    failed: dispatch.Outcome,
) -> None:
    """Don't count the last attempt if its server terminated during it.

    When a rollout completes, the old servers stop at once and cut off all
    streams that still run on them. A stream that has used up its attempts, on a
    smaller model and a busy server, would fail for its caller although another
    server could resume it.
    """
    is_last = progress.counted_attempts == call.route.max_attempts
    is_broken = isinstance(failed, dispatch.Unknown)
    if not (is_last and is_broken and call.route.is_repeatable):
        return
    if progress.is_server_gone and progress.terminated < MAX_TERMINATED_SERVERS:
        progress.terminated += 1
        progress.counted_attempts -= 1


def may_retry(
    call: call_data.Call, progress: Progress, servers: pool.Pool, now: float
) -> bool:
    """Return whether a failed request is retried."""
    if progress.may_have_run and not call.route.is_repeatable:
        return False
    if call.deadline - now < MIN_REMAINING_S:
        return False
    if progress.unreachable > MAX_UNREACHABLE_SERVERS:
        return False
    if not progress.counted_attempts:
        return True
    if progress.counted_attempts >= call.route.max_attempts:
        return False
    return servers.repeats.may_repeat(call.service)


def final_error(
    call: call_data.Call, progress: Progress, now: float
) -> call_data.RefusedError:
    """Return the error for a request that no server has answered."""
    if not progress.may_have_run and not progress.discarded_at:
        if progress.refusal is not None:
            return progress.refusal
        return call_data.RefusedError(
            call_data.UNAVAILABLE,
            progress.reason,
            retry_delay.retry_in_s(
                progress.unavailability, call.deadline - now
            ),
        )
    status = call_data.BAD_GATEWAY
    if progress.is_late:
        status = call_data.GATEWAY_TIMEOUT
    return call_data.RefusedError(status, progress.reason)


def target_left_s(call: call_data.Call) -> float | None:
    """Return the seconds until an answer is due to begin, if it has a target.

    It is negative once the target has passed.
    """
    if not call.route.target_s:
        return None
    return call.arrived_at + call.route.target_s - time.monotonic()


def left_s(call: call_data.Call) -> float:
    """Return the seconds left until the deadline of a request."""
    return call.deadline - time.monotonic()
