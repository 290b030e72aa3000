"""The decision to ask the larger model after an answer of low confidence.

This module derives the forecast for the larger model's answer from the state of
the pool; the decision itself is `core.placement.escalation`.
"""

import time

from beryllug.core import retry_window, settings_data
from beryllug.core.placement import (
    answer_value,
    backlog,
    escalation,
    lateness,
)
from beryllug.platform import requests
from beryllug.router import attempts, dispatch, pool, stream_state
from beryllug.router import call as call_data

# Factor on the expected length for which there must be time, up to the maximum
# that the caller allows: the estimate is right at the median and far off for
# some answers.
LENGTH_MARGIN = 3.0


class LargerModel:
    """Decides for streams, and records how late larger models begin."""

    def __init__(
        self, servers: pool.Pool, value_by: settings_data.AnswerValue
    ) -> None:
        """Bind to the pool, which knows the backlog of model runners."""
        self._pool = servers
        self._value_by = value_by
        self._sizes = answer_value.Sizes()

    def decide(
        self,
        call: call_data.Call,
        stream: stream_state.Stream,
        head: requests.Head,
    ) -> escalation.SizeReason:
        """Decide whether to ask the largest model, if capacity permits."""
        route = call.route
        why = escalation.decide_escalation(
            route.models,
            stream.size,
            route.priority,
            head.confidence,
            self._forecast(call, stream),
        )
        if why is not escalation.SizeReason.LARGER:
            return why
        if stream.progress.trial_id:
            return escalation.SizeReason.TRIAL
        if stream.progress.counted_attempts + 1 >= route.max_attempts:
            return escalation.SizeReason.NO_ATTEMPT
        use = retry_window.RepeatReason.LARGER
        if not self._pool.repeats.may_repeat(call.service, use):
            return escalation.SizeReason.NO_REPEAT
        return why

    def late_s(self, call: call_data.Call, size: int) -> float:
        """Return the seconds by which a size's answers begin late now."""
        if size == 0:
            return 0
        return lateness.expected_s(
            self._pool.lateness,
            stream_state.model_of(call, size),
            stream_state.rank(call, size),
            time.monotonic(),
        )

    def record_lateness(
        self,
        call: call_data.Call,
        stream: stream_state.Stream,
        choice: pool.Choice,
        outcome: dispatch.Outcome,
    ) -> None:
        """Record how late a larger model's answer began or timed out."""
        if not stream.size or not isinstance(
            outcome, dispatch.Answered | dispatch.TimedOut
        ):
            return
        now = time.monotonic()
        lateness.began(
            self._pool.lateness,
            stream_state.model_of(call, stream.size),
            stream_state.rank(call, stream.size),
            now - choice.started_at - choice.first_s,
            now,
        )

    def _forecast(
        self, call: call_data.Call, stream: stream_state.Stream
    ) -> escalation.ExpectedTiming:
        """Return the forecast for the largest model's answer."""
        largest = len(call.route.models) - 1
        criteria = attempts.criteria(
            call, stream.progress, stream_state.prompt(call, largest)
        )
        expected = self._pool.expected(criteria)
        late_s = self.late_s(call, largest)
        now = time.monotonic()
        begins_at = now + expected.first_s + late_s
        due = call.arrived_at + call.route.target_s
        write_s = backlog.write_s(
            self._pool.prompt_backlog,
            call.route.models[largest],
            _max_answer_tokens(call.asked),
        )
        return escalation.ExpectedTiming(
            expected.wait_s + late_s,
            expected.read_s,
            call.route.target_s,
            due - begins_at,
            call.deadline - begins_at - write_s,
            self._value(call),
        )

    def _value(self, call: call_data.Call) -> float:
        if self._value_by is settings_data.AnswerValue.EQUAL:
            return 1.0
        tokens_in = call.asked.shared_tokens + call.asked.own_tokens
        return answer_value.record(
            self._sizes,
            call.route.name,
            answer_value.size_of(tokens_in, call.asked.tokens_out),
        )


def _max_answer_tokens(asked: requests.RequestHeaders) -> int:
    """Return a number of tokens that an answer rarely exceeds."""
    longest = round(LENGTH_MARGIN * asked.tokens_out)
    if not asked.most_tokens_out:
        return longest
    return min(longest, asked.most_tokens_out)
