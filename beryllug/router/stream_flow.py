"""Requests answered by a stream of events.

Nothing is sent to the caller before the first event is received: until then
another server or a larger model may be asked instead. Afterwards a stream that
breaks is resumed on another server, after the last complete event that was
sent, if its route permits that.
"""

import math
import time

from beryllug.core.placement import backlog, escalation, suspicion
from beryllug.drivers import (
    answer_timeouts,
    event_split,
    http_data,
    http_server,
)
from beryllug.platform import requests
from beryllug.router import (
    attempt_servers,
    attempts,
    dispatch,
    flow_parts,
    larger,
    pool,
    stream_state,
)
from beryllug.router import call as call_data


class StreamFlow:
    """Serves requests whose answer is a stream of events."""

    def __init__(self, parts: flow_parts.FlowParts) -> None:
        """Bind to the services of the flow."""
        self._pool = parts.pool
        self._trials = parts.trials
        self._log = parts.log
        self._suspects = parts.crashes.suspects
        self._servers = attempt_servers.AttemptServers(parts)
        self._timeouts = parts.timeouts
        self._event_bytes = parts.event_bytes
        self._larger = larger.LargerModel(parts.pool, parts.answer_value)

    async def serve(
        self, call: call_data.Call, exchange: http_server.Exchange
    ) -> None:
        """Serve a request to its end.

        Raises:
            RefusedError: The router itself answers it with an error.
        """
        self._pool.repeats.count_request(call.service)
        stream = stream_state.Stream(
            attempts.Progress(self._trials.choose_versions(call)),
            size=escalation.first_size(call.route.models),
        )
        self._check_time_left(call, stream)
        failure: stream_state.Failure | None = None
        while True:
            choice = await self._servers.choose(
                call, stream.progress, stream_state.prompt(call, stream.size)
            )
            if choice is None:
                break
            outcome = await self._attempt(call, choice, stream, exchange)
            match outcome:
                case stream_state.Done():
                    self._log.answered(
                        call,
                        stream.status,
                        size=stream.size,
                        why=stream.why,
                        first_ms=stream_state.milliseconds(
                            stream.first_at - call.arrived_at
                        ),
                        gap_ms=stream_state.milliseconds(stream.longest_gap_s),
                        late=stream_state.is_late(call, stream),
                    )
                    return
                case stream_state.Larger(size):
                    stream.size = size
                    stream.progress.counted_attempts += 1
                    continue
                case stream_state.Failure(status):
                    failure = outcome
                    outcome = dispatch.Unknown(f'the server failed: {status}')
            attempts.record_failure(stream.progress, choice, outcome)
            attempts.uncount_terminated_server(call, stream.progress, outcome)
            stream.size = stream_state.next_size(stream, outcome)
            now = time.monotonic()
            if not attempts.may_retry(call, stream.progress, self._pool, now):
                break
        await self._fail(call, stream, failure, exchange)

    def _check_time_left(
        self, call: call_data.Call, stream: stream_state.Stream
    ) -> None:
        """Refuse a request whose deadline passes before any answer can begin.

        Callers whose streams hung for seconds, as on a server that lost its
        power, retry with some hundredths of a second left. If they were sent
        on, they would receive nothing before their deadline, and their prompts
        would delay others.
        """
        prompt = stream_state.prompt(call, stream.size)
        least_s = backlog.min_first_s(self._pool.prompt_backlog, prompt)
        if attempts.left_s(call) < least_s:
            raise call_data.RefusedError(
                call_data.UNAVAILABLE, 'no answer can begin in the time left'
            )

    async def _fail(
        self,
        call: call_data.Call,
        stream: stream_state.Stream,
        failure: stream_state.Failure | None,
        exchange: http_server.Exchange,
    ) -> None:
        if stream.started:
            self._log.cut_off(call, stream.progress.reason)
            exchange.abort()
            return
        if failure is None:
            raise attempts.final_error(call, stream.progress, time.monotonic())
        self._log.answered(call, failure.status)
        await exchange.respond(failure.status, failure.body, failure.headers)

    async def _attempt(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: stream_state.Stream,
        exchange: http_server.Exchange,
    ) -> stream_state.AttemptOutcome:
        if stream.progress.counted_attempts:
            self._pool.repeats.count_repeat(call.service)
        self._trials.record_run(call, choice.server.version)
        attempt_started = time.monotonic()
        stream.events.clear()
        stream.is_reused = None
        stream.via = ''
        stream.is_unframed = None
        outcome = None
        try:
            outcome = await self._send(call, choice, stream, exchange)
        finally:
            if outcome is None:
                self._servers.unused(call, choice.server, stream.progress)
            self._pool.request_ended(choice)
        self._record_outcome(call, choice, stream, outcome)
        self._trials.record_run(call, choice.server.version)
        logged = stream_state.logged_outcome(outcome, stream)
        self._log.attempt(
            call,
            choice.server,
            logged,
            time.monotonic() - attempt_started,
            size=stream.size,
            events=len(stream.events),
            first_ms=stream_state.milliseconds(
                stream.events[0] - attempt_started
            )
            if stream.events
            else None,
            tokens=call.asked.shared_tokens + call.asked.own_tokens,
            expected_ms=stream_state.milliseconds(choice.first_s),
            sure=stream.confidence,
            resumed=stream.last_event if stream.started else '',
            reused=stream.is_reused,
            via=stream.via,
            unframed=stream.is_unframed,
            **stream_state.logged_copy(choice),
        )
        match outcome:
            case stream_state.Done():
                self._servers.answered(call, stream.progress)
            case stream_state.Larger():
                self._servers.unused(call, choice.server, stream.progress)
                stream.progress.discarded_at += (choice.server,)
            case stream_state.Failure():
                self._suspects.end(call, stream.progress)
            case _:
                await self._servers.failed(
                    call, choice.server, stream.progress, outcome
                )
        return outcome

    async def _send(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: stream_state.Stream,
        exchange: http_server.Exchange,
    ) -> stream_state.AttemptOutcome:
        left_s = attempts.left_s(call)
        sending = requests.AttemptHeaders(
            choice.server,
            left_s,
            call.account_name,
            model=stream_state.model_of(call, stream.size),
            urgency=stream_state.rank(call, stream.size),
            last_event=stream.last_event,
            kv_source=choice.copy.source.server.address if choice.copy else '',
        )
        late_s = self._larger.late_s(call, stream.size)
        wait_s = stream_state.first_event_timeout_s(
            call, stream, choice.first_s + late_s
        )
        outcome = await self._servers.send(
            call, stream.progress, sending, wait_s
        )
        self._larger.record_lateness(call, stream, choice, outcome)
        if isinstance(outcome, dispatch.TimedOut):
            self._pool.copies.answer_began(
                choice.copy, math.inf, time.monotonic()
            )
        if not isinstance(outcome, dispatch.Answered):
            return outcome
        if dispatch.OK <= outcome.head.status < dispatch.REDIRECT:
            self._pool.answer_started(choice)
        stream.is_reused = outcome.incoming.is_reused
        stream.via = outcome.incoming.via
        stream.is_unframed = outcome.incoming.is_unframed
        # Without the time to connect: the servers of a new version have fewer
        # open connections, and are as fast.
        stream.head_s = time.monotonic() - outcome.incoming.sent_at
        try:
            async with answer_timeouts.at_deadline(call.deadline):
                return await self._relay(call, stream, outcome, exchange)
        except TimeoutError:
            return dispatch.TimedOut('the stream did not end in time')
        except http_data.BrokenError as exc:
            return dispatch.broken(f'the stream ended early: {exc}', exc)
        finally:
            outcome.incoming.close()

    async def _relay(
        self,
        call: call_data.Call,
        stream: stream_state.Stream,
        outcome: dispatch.Answered,
        exchange: http_server.Exchange,
    ) -> stream_state.AttemptOutcome:
        incoming = outcome.incoming
        headers = requests.returned(incoming.headers)
        if not dispatch.OK <= outcome.head.status < dispatch.REDIRECT:
            body = await incoming.read()
            return stream_state.Failure(incoming.status, headers, body)
        stream.confidence = outcome.head.confidence
        if not stream.started and stream_state.may_choose_model(call):
            stream.why = self._larger.decide(call, stream, outcome.head)
        if stream.why is escalation.SizeReason.LARGER:
            stream.why = None
            return stream_state.Larger(len(call.route.models) - 1)
        # Comments begin no answer: another server may still be asked.
        splitter = event_split.EventSplitter(
            self._event_bytes, holds_comments=True
        )
        progress_at = time.monotonic()
        while not incoming.reached_end:
            async with self._stall_timeout(call, stream, progress_at):
                events = splitter.feed(await incoming.next_chunk())
            if events:
                await self._forward(
                    call, stream, events, headers, outcome, exchange
                )
            if any(event.has_fields for event in events):
                progress_at = time.monotonic()
        if splitter.has_partial_event or not stream.started:
            return dispatch.Unknown('the stream ended within an event')
        await exchange.finish()
        return stream_state.Done()

    def _stall_timeout(
        self,
        call: call_data.Call,
        stream: stream_state.Stream,
        progress_at: float,
    ) -> answer_timeouts.AnswerTimeout:
        """Return a timeout for the next event, whatever else is received."""
        timeout_s = stream_state.stall_timeout_s(call, stream)
        if timeout_s is None:
            return self._timeouts.within(None, call.deadline)
        stalled_s = self._timeouts.stalled_s(progress_at, time.monotonic())
        return self._timeouts.until(
            progress_at + timeout_s + stalled_s, call.deadline
        )

    async def _forward(
        self,
        call: call_data.Call,
        stream: stream_state.Stream,
        events: list[event_split.Event],
        headers: dict[str, str],
        outcome: dispatch.Answered,
        exchange: http_server.Exchange,
    ) -> None:
        if not stream.started:
            stream.started = True
            stream.status = outcome.head.status
            await exchange.start(stream.status, headers)
        if not stream.events:
            self._suspects.end(call, stream.progress)
        stream_state.record_events(stream, time.monotonic())
        # Comments have no id.
        ids = [event.event_id for event in events if event.event_id]
        if ids:
            stream.last_event = ids[-1]
        try:
            await exchange.send(b''.join(event.raw for event in events))
        except TimeoutError as exc:
            # This is the caller's fault, which must not count against the
            # server.
            raise ConnectionAbortedError('the caller does not read') from exc

    def _record_outcome(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: stream_state.Stream,
        outcome: stream_state.AttemptOutcome,
    ) -> None:
        match outcome:
            case stream_state.Done() | stream_state.Larger():
                self._pool.succeeded(choice)
                self._record_length(call, choice, stream)
                took = stream_state.answer_timings(stream, choice)
                self._trials.count_answer(call, choice, is_good=True, took=took)
            case stream_state.Failure(status):
                is_good = status < dispatch.SERVER_ERROR
                if not is_good and status != call_data.GATEWAY_TIMEOUT:
                    self._pool.failed(choice, points=suspicion.STATED)
                self._trials.count_answer(call, choice, is_good=is_good)
            case dispatch.NotRun(_, is_gone):
                if is_gone:
                    self._pool.failed(choice, at_once=True)
            case dispatch.Unknown(is_excess=True):
                self._pool.failed(choice, at_once=True, points=suspicion.EXCESS)
            case dispatch.Unknown(is_relay_lost=False) | dispatch.TimedOut():
                self._pool.failed(choice)

    def _record_length(
        self,
        call: call_data.Call,
        choice: pool.Choice,
        stream: stream_state.Stream,
    ) -> None:
        if len(stream.events) < stream_state.MIN_EVENTS:
            return
        model = stream_state.model_of(call, stream.size) or call.asked.model
        capacity = self._pool.capacity
        pause_s = None
        if capacity.speeds is not None:
            pause_s = stream_state.short_pause_s(stream)
        if pause_s is not None:
            instance = choice.server.instance
            running = self._pool.running(instance, time.monotonic())
            capacity.record_pause(
                choice.server, model, pause_s, max(running, choice.running)
            )
        backlog.record_decode(
            self._pool.prompt_backlog,
            model,
            call.asked.tokens_out,
            stream.events[-1] - stream.events[0],
        )
