"""The services that both flows use, wired by the composition root."""

from typing import NamedTuple

from beryllug.core import settings_data
from beryllug.drivers import answer_timeouts
from beryllug.router import (
    attempt_log,
    crash_watch,
    dispatch,
    pool,
    trials,
    waiting_requests,
)


class FlowParts(NamedTuple):
    """The services of a flow.

    Attributes:
        pool: Chooses backend servers.
        sender: Sends requests to them.
        trials: Chooses versions and counts their answers.
        log: Logs the results of requests.
        crashes: Records broken connections and successful answers.
        timeouts: Creates timeouts by the stalls of this process.
        event_bytes: Maximum size of an event of a stream.
        answer_value: What answers of one route are worth.
        waiting: Lets requests wait for room; None if they never do.
    """

    pool: pool.Pool
    sender: dispatch.Dispatcher
    trials: trials.Trials
    log: attempt_log.AttemptLog
    crashes: crash_watch.CrashWatch
    timeouts: answer_timeouts.AnswerTimeouts
    event_bytes: int
    answer_value: settings_data.AnswerValue = settings_data.AnswerValue.EQUAL
    waiting: waiting_requests.WaitingRequests | None = None
