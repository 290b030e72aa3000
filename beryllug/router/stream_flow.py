"""Requests answered by a stream of events.

Nothing goes out before the first event is here: until then another server, or
a larger model, may be asked instead. Afterwards a stream that breaks off goes
on at another server behind the last whole event that went out, where its
route permits that.
"""

import asyncio
import time
from dataclasses import dataclass, field

from beryllug.core import retry_window
from beryllug.core.placement import backlog, sizes
from beryllug.drivers import event_split, http_data, http_server
from beryllug.platform import requests
from beryllug.router import (
    attempt_log,
    attempts,
    dispatch,
    pool,
    rollout_state,
    trials,
)
from beryllug.router import call as call_data

# Parts of the time in which the first event is due after which a server that
# has sent nothing is given up for another one. A prompt of usual length is
# read in a tenth of it.
SILENT_PART = 9.0
# Parts of the longest pause that is still on time after which a stream is
# taken up elsewhere, so that it is still on time there.
STALLED_PART = 9.0
LEAST_STALLED_S = 0.5
# Events between which a pace can be told.
LEAST_EVENTS = 3
MS = 1000


@dataclass(slots=True)
class _Stream:
    """A stream to a caller.

    Attributes:
        progress: How its attempts have fared.
        size: Index of the model that answers, where there is a choice.
        last_event: Id of the last event that went out, or empty.
        started: Whether the caller has the head of the answer.
        status: Status of the answer, once started.
        confidence: What the last answer said of itself, if anything.
        first_at: When the first event went out.
        last_at: When the last event went out.
        longest_gap_s: Longest pause between two events that went out.
        events: When the events of the present attempt went out.
    """

    progress: attempts.Progress
    size: int = 0
    last_event: str = ''
    started: bool = False
    status: int = 0
    confidence: int | None = None
    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    events: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Done:
    """The stream went out to its end."""


@dataclass(frozen=True, slots=True)
class _Larger:
    """The answer was not sure enough; a larger model is to be asked."""

    size: int


@dataclass(frozen=True, slots=True)
class _Failure:
    """The server answered with a failure of its own, read whole."""

    status: int
    headers: dict[str, str]
    body: bytes


_Came = _Done | _Larger | _Failure | dispatch.Outcome


class StreamFlow:
    """Serves requests whose answer is a stream of events."""

    def __init__(
        self,
        servers: pool.Pool,
        sender: dispatch.Dispatcher,
        canaries: trials.Trials,
        told: attempt_log.AttemptLog,
    ) -> None:
        """Bind to the services it uses."""
        self._pool = servers
        self._sender = sender
        self._trials = canaries
        self._log = told

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve a request to its end.

        Raises:
            RefusedError: It gets an answer of our own.
        """
        self._pool.asked(call.service)
        stream = _Stream(
            attempts.Progress(self._trials.draw(call)),
            size=sizes.first_size(call.route.models),
        )
        failure: _Failure | None = None
        while True:
            choice = self._pool.choose(
                attempts.wish(call, stream.progress, _prompt(call, stream.size))
            )
            if choice is None:
                break
            came = await self._attempt(call, choice, stream, exchange)
            match came:
                case _Done():
                    self._log.answered(
                        call,
                        stream.status,
                        size=stream.size,
                        first_ms=_ms(stream.first_at - call.arrived_at),
                        gap_ms=_ms(stream.longest_gap_s),
                    )
                    return
                case _Larger(size):
                    stream.size = size
                    stream.progress.arrivals += 1
                    continue
                case _Failure(status):
                    failure = came
                    came = dispatch.Unknown(f'the server failed: {status}')
            attempts.note(stream.progress, choice, came)
            now = time.monotonic()
            if not attempts.may_go_on(call, stream.progress, self._pool, now):
                break
        await self._give_up(call, stream, failure, exchange)

    async def _give_up(
        self,
        call: call_data.Call,
        stream: _Stream,
        failure: _Failure | None,
        exchange: http_server.Exchange,
    ) -> None:
        if stream.started:
            self._log.broken(call, stream.progress.reason)
            exchange.abort()
            return
        if failure is None:
            raise attempts.given_up(call, stream.progress, time.monotonic())
        self._log.answered(call, failure.status)
        await exchange.respond(failure.status, failure.body, failure.headers)

    async def _attempt(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: _Stream,
        exchange: http_server.Exchange,
    ) -> _Came:
        if stream.progress.arrivals:
            self._pool.repeated(call.service)
        self._trials.ran(call, choice.server.version)
        began = time.monotonic()
        stream.events.clear()
        try:
            came = await self._send(call, choice, stream, exchange)
        finally:
            self._pool.ended(choice)
        self._learn(call, choice, stream, came)
        self._trials.ran(call, choice.server.version)
        told = _told(came, stream)
        self._log.attempt(
            call,
            choice.server,
            told,
            time.monotonic() - began,
            size=stream.size,
            events=len(stream.events),
            first_ms=_ms(stream.events[0] - began) if stream.events else None,
            tokens=call.asked.shared_tokens + call.asked.own_tokens,
            expected_ms=_ms(choice.first_s),
            sure=stream.confidence,
            resumed=stream.last_event if stream.started else '',
        )
        return came

    async def _send(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: _Stream,
        exchange: http_server.Exchange,
    ) -> _Came:
        left_s = attempts.left_s(call)
        sending = requests.Sending(
            choice.server,
            left_s,
            call.account_name,
            model=_model(call, stream.size),
            urgency=min(9, call.route.priority + 3 * stream.size),
            last_event=stream.last_event,
        )
        wait_s = self._first_wait_s(call, stream, left_s)
        came = await self._sender.send(call, sending, wait_s)
        if not isinstance(came, dispatch.Answered):
            return came
        self._pool.answers(choice)
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._take(call, stream, came, exchange)
        except TimeoutError:
            return dispatch.TimedOut('the stream did not end in time')
        except http_data.BrokenError as exc:
            return dispatch.Unknown(f'the stream broke off: {exc}')
        finally:
            came.incoming.close()

    async def _take(
        self,
        call: call_data.Call,
        stream: _Stream,
        came: dispatch.Answered,
        exchange: http_server.Exchange,
    ) -> _Came:
        incoming = came.incoming
        headers = requests.returned(incoming.headers)
        if not dispatch.OK <= came.head.status < dispatch.REDIRECT:
            body = await incoming.read()
            return _Failure(incoming.status, headers, body)
        stream.confidence = came.head.confidence
        size = self._larger(call, stream, came.head)
        if size is not None:
            return _Larger(size)
        splitter = event_split.EventSplitter()
        while True:
            async with asyncio.timeout(self._stalled_s(call, stream)):
                chunk = await incoming.next_chunk()
            if not chunk:
                break
            events = splitter.feed(chunk)
            if events:
                await self._pass_on(stream, events, headers, came, exchange)
        if splitter.has_rest or not stream.started:
            return dispatch.Unknown('the stream ended within an event')
        await exchange.finish()
        return _Done()

    async def _pass_on(
        self,
        stream: _Stream,
        events: list[event_split.Event],
        headers: dict[str, str],
        came: dispatch.Answered,
        exchange: http_server.Exchange,
    ) -> None:
        if not stream.started:
            stream.started = True
            stream.status = came.head.status
            await exchange.start(stream.status, headers)
        _note_event(stream, time.monotonic())
        stream.last_event = events[-1].event_id or stream.last_event
        try:
            await exchange.send(b''.join(event.raw for event in events))
        except TimeoutError as exc:
            # The caller's fault; the server must not be blamed for it.
            raise ConnectionAbortedError('the caller does not read') from exc

    def _larger(
        self, call: call_data.Call, stream: _Stream, head: requests.Head
    ) -> int | None:
        """Return the size to ask instead, where there is room for it."""
        route = call.route
        if stream.started or not _may_choose(call):
            return None
        if stream.progress.arrivals + 1 >= route.max_attempts:
            return None
        size = sizes.next_size(
            route.models,
            stream.size,
            route.priority,
            head.confidence,
            self._spare_s(call, stream),
        )
        part = retry_window.LARGER_PART
        if size is None or not self._pool.may_repeat(call.service, part):
            return None
        return size

    def _spare_s(self, call: call_data.Call, stream: _Stream) -> float:
        """Return the spare time of the largest model's first event."""
        largest = len(call.route.models) - 1
        wish = attempts.wish(call, stream.progress, _prompt(call, largest))
        expected_s = self._pool.expected_s(wish)
        due = call.arrived_at + call.route.target_s
        return due - time.monotonic() - expected_s

    def _first_wait_s(
        self, call: call_data.Call, stream: _Stream, left_s: float
    ) -> float:
        route = call.route
        is_last = stream.progress.arrivals + 1 >= route.max_attempts
        if is_last or not route.is_repeatable:
            return left_s
        return min(left_s, SILENT_PART * route.target_s)

    def _stalled_s(self, call: call_data.Call, stream: _Stream) -> float | None:
        route = call.route
        is_last = stream.progress.arrivals + 1 >= route.max_attempts
        if is_last or not route.is_repeatable:
            return None
        return max(STALLED_PART * route.gap_s, LEAST_STALLED_S)

    def _learn(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: _Stream,
        came: _Came,
    ) -> None:
        match came:
            case _Done() | _Larger():
                self._pool.succeeded(choice)
                took = _pace(call, stream)
                self._trials.judged(call, choice, is_good=True, took=took)
            case _Failure(status):
                is_good = status < dispatch.SERVER_ERROR
                if not is_good:
                    self._pool.failed(choice)
                self._trials.judged(call, choice, is_good=is_good)
            case dispatch.NotRun(_, is_gone):
                if is_gone:
                    self._pool.failed(choice, is_gone=True)
            case _:
                self._pool.failed(choice)


def _may_choose(call: call_data.Call) -> bool:
    return bool(call.route.models) and call.asked.is_any_model


def _model(call: call_data.Call, size: int) -> str:
    return call.route.models[size] if _may_choose(call) else ''


def _prompt(call: call_data.Call, size: int) -> backlog.Prompt:
    asked = call.asked
    model = _model(call, size) or asked.model
    return backlog.Prompt(
        model, asked.shared, asked.shared_tokens, asked.own_tokens
    )


def _pace(call: call_data.Call, stream: _Stream) -> rollout_state.Took | None:
    """Return the mean pause between events, by route and size."""
    times = stream.events
    if len(times) < LEAST_EVENTS:
        return None
    mean_s = (times[-1] - times[0]) / (len(times) - 1)
    return rollout_state.Took(f'{call.route.name}/{stream.size}', mean_s)


def _told(came: _Came, stream: _Stream) -> attempt_log.Came:
    """Return what the log says of an attempt."""
    match came:
        case _Larger(size):
            return f'unsure, size {size} is asked instead'
        case _Failure(status):
            return status
        case _Done():
            return stream.status
    return came


def _note_event(stream: _Stream, now: float) -> None:
    if stream.last_at:
        gap_s = now - stream.last_at
        stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
    else:
        stream.first_at = now
    stream.last_at = now
    stream.events.append(now)


def _ms(seconds: float) -> float:
    return round(seconds * MS, 1)
