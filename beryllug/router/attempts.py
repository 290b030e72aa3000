"""What stands behind the next attempt of a request, and when there is none.

Shared by the flows. An attempt that failed is followed by another only where
the request may run twice or surely has not run, where its route permits one
more server, and where the fleet's bound on repeats leaves room.
"""

import time
from dataclasses import dataclass, field

from beryllug.core.placement import backlog, returning, servers_data
from beryllug.core.routes import match
from beryllug.router import call as call_data, dispatch, pool, trials

# Servers that can't be reached count as no attempt; a request goes round no
# more than so many of them.
MAX_UNREACHABLE_SERVERS = 6
# Servers that ended under a request and count as no attempt.
MAX_TERMINATED_SERVERS = 3
# Seconds below which no further attempt can bring an answer.
MIN_REMAINING_S = 0.01


@dataclass(slots=True)
class Progress:
    """How a request has fared so far.

    Attributes:
        drawn: The versions that it may run on.
        excluded: Instances that have failed it.
        arrivals: Servers that it has reached.
        unreached: Servers that it could not reach.
        may_have_run: Whether "not run" can't be said of it any more.
        reason: Why the last attempt failed.
        lack: Why there was no server for a further one.
        is_late: Whether the last attempt failed by its time.
        ended: Servers that have ended under it.
        was_dropped: Whether an answer of a smaller model was dropped: the
            request has run then, and may still go on elsewhere.
    """

    version_choice: trials.VersionChoice
    excluded: set[str] = field(default_factory=set)
    counted_attempts: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    reason: str = ''
    unavailability: returning.Lack = returning.Lack(returning.Cause.NO_SERVER)
    is_late: bool = False
    terminated: int = 0
    was_discarded: bool = False


def criteria(
    call: call_data.Call,
    progress: Progress,
    prompt: backlog.Prompt | None = None,
) -> servers_data.Wish:
    """Return what the next attempt asks of the choice of a server."""
    version_choice = progress.version_choice
    versions = (
        version_choice.others if progress.excluded else version_choice.versions
    )
    return servers_data.Wish(
        call.service,
        prompt,
        versions,
        frozenset(progress.excluded),
        len(call.req.body),
        call.asked.tokens_out,
        match.regions(call.route, call.account),
    )


def record_no_server(
    call: call_data.Call, progress: Progress, servers: pool.Pool
) -> None:
    """Take in that there is no server for an attempt."""
    progress.unavailability = servers.eligible.unavailability(
        criteria(call, progress), time.monotonic()
    )
    if not progress.reason:
        progress.reason = returning.REASONS[progress.unavailability.cause]


def record_failure(
    progress: Progress, choice: pool.Choice, failed: dispatch.Outcome
) -> None:
    """Take in how an attempt failed."""
    progress.excluded.add(choice.server.instance)
    match failed:
        case dispatch.NotRun(reason, is_gone):
            progress.reason = reason
            progress.counted_attempts += not is_gone
            progress.unreachable += is_gone
        case dispatch.Unknown(reason):
            progress.reason = reason
            progress.counted_attempts += 1
            progress.may_have_run = True
        case dispatch.TimedOut(reason):
            progress.reason = reason
            progress.counted_attempts += 1
            progress.may_have_run = True
            progress.is_late = True


async def uncount_terminated_server(
    call: call_data.Call,
    progress: Progress,
    server: servers_data.Server,
    failed: dispatch.Outcome,
    sender: dispatch.Dispatcher,
) -> None:
    """Take the last attempt for none, if its server has ended under it.

    As a roll-out is complete the old servers end at once, and with them all
    streams that still run there. One that has used up its attempts, for a
    smaller model and for a busy server, would be cut off for its caller though
    others can go on with it.
    """
    is_last = progress.counted_attempts == call.route.max_attempts
    is_broken = isinstance(failed, dispatch.Unknown)
    if not (is_last and is_broken and call.route.is_repeatable):
        return
    if (
        progress.terminated < MAX_TERMINATED_SERVERS
        and await sender.is_unreachable(server)
    ):
        progress.terminated += 1
        progress.counted_attempts -= 1


def may_retry(
    call: call_data.Call, progress: Progress, servers: pool.Pool, now: float
) -> bool:
    """Tell whether a request that failed is tried once more."""
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
    """Return the answer to a request that no server has answered."""
    if not progress.may_have_run and not progress.was_discarded:
        return call_data.RefusedError(
            call_data.UNAVAILABLE,
            progress.reason,
            returning.after_s(progress.unavailability, call.deadline - now),
        )
    status = call_data.BAD_GATEWAY
    if progress.is_late:
        status = call_data.GATEWAY_TIMEOUT
    return call_data.RefusedError(status, progress.reason)


def left_s(call: call_data.Call) -> float:
    """Return the seconds that are left for a request."""
    return call.deadline - time.monotonic()
