"""The state of one stream to a caller, and decisions that depend on it."""

import hashlib
import itertools
from dataclasses import dataclass, field

from beryllug.core.canary import canary_data
from beryllug.core.placement import backlog, escalation
from beryllug.core.routes import match
from beryllug.router import attempt_log, attempts, dispatch, pool, rollout_state
from beryllug.router import call as call_data

# Timeout for the first event, in seconds, and its growth in multiples of the
# expected time. A server that hangs never sends an event. A busy one is late by
# the expected time; if its request were cancelled, the prompt would be read a
# second time elsewhere.
FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TIMEOUT_FACTOR = 4.0
MAX_WAIT_FRACTION = 0.5
# Timeout between events, in multiples of the longest pause that is still on
# time. Prompts that the server reads between events cost up to one such pause.
# A sound server may be silent for a second or so.
STALL_FACTOR = 2.0
MIN_STALL_TIMEOUT_S = 2.0
# Minimum number of events that yield a mean pause.
MIN_EVENTS = 3
# Minimum number of events whose pauses tell the speed of a server, and the
# quantile of the pauses that does.
MIN_PAUSE_EVENTS = 5
PAUSE_QUANTILE = 0.35
# Seconds below which times until a first event are not told apart, nor those
# that are expected: one round trip and one step.
MIN_EXPECTED_S = 0.02
# Seconds below which mean pauses are not told apart. On a busy host the turns
# of this process's loop take 5 to 20 ms, and a good version's pauses of 5 ms
# were counted as long ones. Callers do not notice such pauses.
MIN_PAUSE_S = 0.02
# Lowest rank that a server knows, and the ranks between two model sizes: as
# many as operators currently assign to routes and accounts.
MAX_RANK = 9
RANKS_PER_SIZE = 3
# Longest list of segments that names a shared part of a prompt as it is.
MAX_SHARED_NAME = 256
SHARED_DIGEST_BYTES = 16
MS = 1000


@dataclass(slots=True)
class Stream:
    """A stream to a caller.

    Attributes:
        progress: The progress over its attempts.
        size: Index of the model that answers, if the router chooses it.
        why: Why its answer was kept, if the router chooses the model.
        last_event: Id of the last event that was sent, or empty.
        started: Whether the head of the answer was sent to the caller.
        status: Status of the answer, once started.
        confidence: The confidence that the last answer stated, or None.
        is_reused: Whether the last answer came on a connection that was open
            before; None without an answer.
        via: The process that forwarded it, or empty.
        is_unframed: Whether it has neither a length nor chunks; None without an
            answer.
        head_s: Seconds from writing the request to the head of the last
            answer.
        first_at: When the first event was sent.
        last_at: When the last event was sent.
        longest_gap_s: Longest pause between two events that were sent.
        events: When the events of the current attempt were sent.
    """

    progress: attempts.Progress
    size: int = 0
    why: escalation.SizeReason | None = None
    last_event: str = ''
    started: bool = False
    status: int = 0
    confidence: int | None = None
    is_reused: bool | None = None
    via: str = ''
    is_unframed: bool | None = None
    head_s: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    events: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Done:
    """The stream was sent to its end."""


@dataclass(frozen=True, slots=True)
class Larger:
    """The confidence was too low; a larger model is asked instead."""

    size: int


@dataclass(frozen=True, slots=True)
class Failure:
    """The server answered with an error of its own, read to its end."""

    status: int
    headers: dict[str, str]
    body: bytes


AttemptOutcome = Done | Larger | Failure | dispatch.Outcome


def rank(call: call_data.Call, size: int) -> int:
    """Return the priority rank of a model size at a server, 0 the highest.

    Servers run small models ahead of large ones. Behind prompts of large
    models, which take ten times as long to read, one first event in ten of the
    small models took over two seconds.
    """
    of_request = match.urgency(call.route, call.account)
    return min(of_request + RANKS_PER_SIZE * size, MAX_RANK)


def first_event_timeout_s(
    call: call_data.Call, stream: Stream, expected_s: float
) -> float:
    """Return the seconds to wait for a server's first event.

    This is at most half of the remaining time, so that another server can
    answer in the rest.
    """
    left_s = attempts.left_s(call)
    if not _has_attempt_left(call, stream):
        return left_s
    longest_s = max(left_s * MAX_WAIT_FRACTION, FIRST_EVENT_TIMEOUT_S)
    return min(
        left_s,
        longest_s,
        FIRST_EVENT_TIMEOUT_S + FIRST_EVENT_TIMEOUT_FACTOR * expected_s,
    )


def stall_timeout_s(call: call_data.Call, stream: Stream) -> float | None:
    """Return the longest pause before a stream is resumed elsewhere."""
    if not _has_attempt_left(call, stream):
        return None
    return max(STALL_FACTOR * call.route.gap_s, MIN_STALL_TIMEOUT_S)


def _has_attempt_left(call: call_data.Call, stream: Stream) -> bool:
    is_last = stream.progress.counted_attempts + 1 >= call.route.max_attempts
    return call.route.is_repeatable and not is_last


def may_choose_model(call: call_data.Call) -> bool:
    """Return whether the router chooses the model."""
    return bool(call.route.models) and call.asked.is_any_model


def next_size(stream: Stream, failed: dispatch.Outcome) -> int:
    """Return the index of the model that is asked after a failure.

    If the larger model failed, or its runners refused it, the smallest is asked
    once more: its answer is kept on the last attempt, so that the caller gets
    it and not an error. A stream that has started keeps its model, and a server
    that could not be reached has used no attempt.
    """
    is_unreached = isinstance(failed, dispatch.NotRun) and failed.is_gone
    return stream.size if stream.started or is_unreached else 0


def model_of(call: call_data.Call, size: int) -> str:
    """Return the model of a size, or '' if the caller names the model."""
    return call.route.models[size] if may_choose_model(call) else ''


def prompt(call: call_data.Call, size: int) -> backlog.Prompt:
    """Return the prompt that a server must read for a model size."""
    asked = call.asked
    return backlog.Prompt(
        model_of(call, size) or asked.model,
        _short_name(asked.shared),
        asked.shared_tokens,
        asked.own_tokens,
        is_priority=size == 0,
    )


def _short_name(shared: str) -> str:
    """Return what names the shared part of a prompt, however long it is.

    Thousands of them are kept.
    """
    if len(shared) <= MAX_SHARED_NAME:
        return shared
    digest = hashlib.blake2b(shared.encode(), digest_size=SHARED_DIGEST_BYTES)
    return digest.hexdigest()


def answer_timings(
    stream: Stream, choice: pool.Choice
) -> list[rollout_state.Timing]:
    """Return the timings by which an answer's version is judged.

    These are the mean pause between events, by model size, and the ratio of the
    time to the first event to the time expected of the server. An attempt with
    a copy has no such ratio: if the source is at fault, its server is late.
    """
    times = stream.events
    took = []
    if stream.head_s and choice.first_s and choice.copy is None:
        head_s = max(stream.head_s, MIN_EXPECTED_S)
        ratio = head_s / max(choice.first_s, MIN_EXPECTED_S)
        took.append(rollout_state.Timing(f'first/{stream.size}', ratio))
    if len(times) >= MIN_EVENTS:
        mean_s = (times[-1] - times[0]) / (len(times) - 1)
        work = f'{canary_data.PACE}{stream.size}'
        took.append(rollout_state.Timing(work, max(mean_s, MIN_PAUSE_S)))
    return took


def short_pause_s(stream: Stream) -> float | None:
    """Return the lower quartile of the pauses; None if there are too few."""
    times = stream.events
    if len(times) < MIN_PAUSE_EVENTS:
        return None
    pauses = sorted(
        later - earlier for earlier, later in itertools.pairwise(times)
    )
    return pauses[int(len(pauses) * PAUSE_QUANTILE)]


def logged_outcome(
    outcome: AttemptOutcome, stream: Stream
) -> attempt_log.LoggedOutcome:
    """Return the form of an outcome for the log."""
    match outcome:
        case Larger(size):
            return f'low confidence, size {size} is asked instead'
        case Failure(status):
            return status
        case Done():
            return stream.status
    return outcome


def logged_copy(choice: pool.Choice) -> dict[str, str]:
    """Return from where an attempt's prefix is copied, for the log."""
    if choice.copy is None:
        return {}
    return {'copied_from': choice.copy.source.server.instance}


def record_events(stream: Stream, now: float) -> None:
    """Record that events were sent to the caller."""
    if stream.last_at:
        gap_s = now - stream.last_at
        stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
    else:
        stream.first_at = now
    stream.last_at = now
    stream.events.append(now)


def is_late(call: call_data.Call, stream: Stream) -> bool:
    """Return whether a stream began too late or paused for too long."""
    first_s = stream.first_at - call.arrived_at
    gap_s = call.route.gap_s or stream.longest_gap_s
    return first_s > call.route.target_s or stream.longest_gap_s > gap_s


def milliseconds(seconds: float) -> float:
    """Return rounded milliseconds, as used in log lines."""
    return round(seconds * MS, 1)
