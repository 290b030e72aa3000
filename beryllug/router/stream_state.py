"""The state of one stream to a caller, and what follows from it."""

from dataclasses import dataclass, field

from beryllug.core.placement import backlog, sizes
from beryllug.core.routes import match
from beryllug.router import attempt_log, attempts, dispatch, pool, rollout_state
from beryllug.router import call as call_data

# Seconds, and times the expected ones, after which a server that has sent no
# event is given up for another one. A server that hangs sends nothing for
# ever; a busy one is late by what it was expected to be, and cancelled there
# its prompt would be read a second time.
FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TIMEOUT_FACTOR = 4.0
MAX_WAIT_FRACTION = 0.5
# Times the longest pause that is still on time after which a stream is taken
# up elsewhere. Prompts that are read between its events cost up to one.
STALL_FACTOR = 2.0
MIN_STALL_TIMEOUT_S = 1.0
# Events between which a pace can be told.
MIN_EVENTS = 3
# Seconds under which an expected time says nothing: a round trip and a step.
MIN_EXPECTED_S = 0.02
# Ranks that a server knows, and those between two sizes of model: as many as
# operators give to routes and accounts today.
MAX_RANK = 9
RANKS_PER_SIZE = 3
MS = 1000


@dataclass(slots=True)
class Stream:
    """A stream to a caller.

    Attributes:
        progress: How its attempts have fared.
        size: Index of the model that answers, where there is a choice.
        why: Why its answer was kept, where there was a choice.
        last_event: Id of the last event that went out, or empty.
        started: Whether the caller has the head of the answer.
        status: Status of the answer, once started.
        confidence: What the last answer said of itself, if anything.
        head_s: Seconds until the head of the last answer was here.
        first_at: When the first event went out.
        last_at: When the last event went out.
        longest_gap_s: Longest pause between two events that went out.
        events: When the events of the present attempt went out.
    """

    progress: attempts.Progress
    size: int = 0
    why: sizes.Why | None = None
    last_event: str = ''
    started: bool = False
    status: int = 0
    confidence: int | None = None
    head_s: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    events: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Done:
    """The stream went out to its end."""


@dataclass(frozen=True, slots=True)
class Larger:
    """The answer was not sure enough; a larger model is to be asked."""

    size: int


@dataclass(frozen=True, slots=True)
class Failure:
    """The server answered with a failure of its own, read whole."""

    status: int
    headers: dict[str, str]
    body: bytes


AttemptOutcome = Done | Larger | Failure | dispatch.Outcome


def rank(call: call_data.Call, size: int) -> int:
    """Return the rank of a size of model at a server, 0 the first.

    Small models go before large ones there: behind the prompts of large ones,
    which take ten times as long to read, one first event in ten of the small
    took over two seconds.
    """
    of_request = match.urgency(call.route, call.account)
    return min(of_request + RANKS_PER_SIZE * size, MAX_RANK)


def first_event_timeout_s(
    call: call_data.Call, stream: Stream, expected_s: float
) -> float:
    """Return the seconds for which a server's first event is waited for.

    Half of the time that is left, at the most: another server must be able to
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
    """Return the longest pause before a stream is taken up elsewhere."""
    if not _has_attempt_left(call, stream):
        return None
    return max(STALL_FACTOR * call.route.gap_s, MIN_STALL_TIMEOUT_S)


def _has_attempt_left(call: call_data.Call, stream: Stream) -> bool:
    is_last = stream.progress.counted_attempts + 1 >= call.route.max_attempts
    return call.route.is_repeatable and not is_last


def may_choose_model(call: call_data.Call) -> bool:
    """Tell whether the choice of the model is left to us."""
    return bool(call.route.models) and call.asked.is_any_model


def next_size(stream: Stream, failed: dispatch.Outcome) -> int:
    """Return the index of the model that is asked after a failure.

    Where the larger model failed, or its runners refused it, the smallest is
    asked once more: its answer is kept on the last attempt, and a caller gets
    that and not a failure. A stream that has begun goes on with its model, and
    a server that could not be reached has cost no attempt.
    """
    is_unreached = isinstance(failed, dispatch.NotRun) and failed.is_gone
    return stream.size if stream.started or is_unreached else 0


def model_of(call: call_data.Call, size: int) -> str:
    """Return the model of a size, or nothing where the caller names it."""
    return call.route.models[size] if may_choose_model(call) else ''


def prompt(call: call_data.Call, size: int) -> backlog.Prompt:
    """Return what a server has to read for a size of model."""
    asked = call.asked
    return backlog.Prompt(
        model_of(call, size) or asked.model,
        asked.shared,
        asked.shared_tokens,
        asked.own_tokens,
        is_first=size == 0,
    )


def answer_timings(
    call: call_data.Call, stream: Stream, choice: pool.Choice
) -> list[rollout_state.Timing]:
    """Return what an answer's times say of its version.

    The mean pause between events by size, and the time to the first event by
    what was expected of the server.
    """
    times = stream.events
    took = []
    if stream.head_s and choice.first_s:
        ratio = stream.head_s / max(choice.first_s, MIN_EXPECTED_S)
        took.append(rollout_state.Timing(f'first/{stream.size}', ratio))
    if len(times) >= MIN_EVENTS:
        mean_s = (times[-1] - times[0]) / (len(times) - 1)
        took.append(rollout_state.Timing(f'next/{stream.size}', mean_s))
    return took


def logged_outcome(
    outcome: AttemptOutcome, stream: Stream
) -> attempt_log.LoggedOutcome:
    """Return what the log says of an attempt."""
    match outcome:
        case Larger(size):
            return f'unsure, size {size} is asked instead'
        case Failure(status):
            return status
        case Done():
            return stream.status
    return outcome


def record_events(stream: Stream, now: float) -> None:
    """Take that events went out."""
    if stream.last_at:
        gap_s = now - stream.last_at
        stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
    else:
        stream.first_at = now
    stream.last_at = now
    stream.events.append(now)


def is_late(call: call_data.Call, stream: Stream) -> bool:
    """Tell whether a stream began too late or paused for too long."""
    first_s = stream.first_at - call.arrived_at
    gap_s = call.route.gap_s or stream.longest_gap_s
    return first_s > call.route.target_s or stream.longest_gap_s > gap_s


def milliseconds(seconds: float) -> float:
    """Return milliseconds, as the log has them."""
    return round(seconds * MS, 1)
