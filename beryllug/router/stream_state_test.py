"""Tests of the timings by which the version of a stream is judged."""

import math
import unittest
from typing import NamedTuple

from beryllug.core.canary import answer_times, canary_data
from beryllug.core.placement import backlog, servers_data
from beryllug.core.routes import routes_data
from beryllug.drivers import http_data
from beryllug.platform import names, requests
from beryllug.router import (
    attempts,
    pool,
    rollout_state,
    stream_state,
    trials,
)
from beryllug.router import call as call_data

EVENTS = 5
OLD = servers_data.Server(
    'old', 'pool', '10.0.0.1:80', 'a', 'v1', 8, servers_data.State.READY
)
NEW = OLD._replace(name='new', version='v2')
ORDER = canary_data.Order('pool', 'v2', 15, 1)


ROUTE = routes_data.Route(
    name='draft',
    host='shop',
    prefix='/draft/',
    kind=routes_data.RequestKind.STREAMING,
    timeout_s=20,
    target_s=1,
    gap_s=1,
    priority=0,
    models=(),
    targets=(),
    max_attempts=2,
    is_anonymous=True,
    is_resumable=False,
)


class Pace(NamedTuple):
    """How fast a server answers, in seconds."""

    head_s: float
    pause_s: float


FAST = Pace(0.006, 0.005)
# On the same server, when the host of this process is busy.
FAST_BUSY = Pace(0.025, 0.016)
ORDINARY = Pace(0.06, 0.025)


class AnswerTimingsTest(unittest.TestCase):
    """Answers of a new version beside those of the old one."""

    def test_turns_of_loop(self) -> None:
        """Differences as long as a turn of a busy loop are not slowness."""
        seen = _compare(FAST, FAST_BUSY)
        self.assertEqual(_slow(seen), 0)
        self.assertEqual(_long_pauses(seen), 0)

    def test_slow(self) -> None:
        """Late heads and long pauses are slow answers, also of fast servers."""
        for before in (FAST, ORDINARY):
            for after in (
                before._replace(head_s=0.5),
                before._replace(pause_s=0.1),
            ):
                with self.subTest(before=before, after=after):
                    self.assertEqual(_slow(_compare(before, after)), EVENTS)

    def test_pace(self) -> None:
        """Pauses of twice the ordinary time are above the median."""
        doubled = ORDINARY._replace(pause_s=2 * ORDINARY.pause_s)
        self.assertEqual(_long_pauses(_compare(ORDINARY, doubled)), EVENTS)


class PromptTest(unittest.TestCase):
    """Prompts by which the caches of servers are told apart."""

    def test_long(self) -> None:
        """Thousands of kept prompts take as much memory as their headers."""
        prompts = [_prompt(f'{number:x}', 1700) for number in range(3)]
        self.assertEqual(len({prompt.key for prompt in prompts}), 3)
        self.assertEqual(_prompt('0', 1700).key, prompts[0].key)
        for prompt in prompts:
            self.assertLess(len(prompt.key), 2 * stream_state.MAX_SHARED_NAME)

    def test_short(self) -> None:
        """A process of an older release prefers another server."""
        self.assertEqual(_prompt('a', 3).shared, 'a000,a001,a002')


def _prompt(conversation: str, segments: int) -> backlog.Prompt:
    shared = [f'{conversation}{each:03x}:2' for each in range(segments)]
    req = http_data.Request(
        'POST',
        '/draft/roster',
        {names.MODEL: 'solo', names.PROMPT: ','.join((*shared, 'f0:60'))},
        b'',
        '10.0.0.1',
    )
    call = call_data.Call(
        req, requests.read(req), ROUTE, None, 'pool', 0, math.inf
    )
    return stream_state.prompt(call, 0)


def _compare(before: Pace, after: Pace) -> canary_data.Evidence:
    """Return what is seen of some answers of each version."""
    rollout = rollout_state.Rollout(ORDER, canary_data.Phase.TRIAL, 0, 0)
    for server, pace in ((OLD, before), (NEW, after)):
        for _ in range(EVENTS):
            rollout_state.count(
                rollout, server, 'draft', is_good=True, took=_timings(pace)
            )
    return rollout.tally.by_route['draft']


def _timings(pace: Pace) -> list[rollout_state.Timing]:
    progress = attempts.Progress(trials.VersionChoice())
    stream = stream_state.Stream(progress, head_s=pace.head_s)
    stream.events = [number * pace.pause_s for number in range(EVENTS)]
    choice = pool.Choice(OLD, 0, first_s=0.003)
    return stream_state.answer_timings(stream, choice)


def _slow(seen: canary_data.Evidence) -> int:
    return answer_times.slow_counts(seen).by_instance[NEW.instance].bad


def _long_pauses(seen: canary_data.Evidence) -> int:
    pauses = answer_times.pauses(seen)
    return (
        answer_times.slow_counts(pauses, steps=1).by_instance[NEW.instance].bad
    )


if __name__ == '__main__':
    unittest.main()
