"""A replayed load of prompts of seconds, sent by many processes.

Twelve runners read prompts one after the other. Two dozen processes, which tell
one another four times a second what they have sent, send prompts that take one
to five seconds to read, four fifths of what the runners can read.
"""

import random
import unittest
from typing import NamedTuple
from unittest import mock  # noqa: WPS458

from beryllug.core import balance_data
from beryllug.core.placement import (
    backlog,
    choose,
    load_sums,
    own_loads,
    servers_data,
    streams,
    suspicion,
)

RUNNERS = tuple(
    servers_data.Server(
        f'i-{number}',
        'pool',
        f'10.0.0.{number}:80',
        'a',
        'v1',
        64,
        servers_data.State.READY,
    )
    for number in range(12)
)
PROCESSES = 24
TOKEN_S = 0.0001
LEAST = 10000
MOST = 30000
SECONDS = 90.0
# Seconds of reading of a mean prompt, with what its tokens look back at.
MEAN_S = 2.9
LOAD = 0.8
TOLD_EVERY_S = 0.25
TARGET_S = 6.0


class _Under(NamedTuple):
    """A prompt that is sent: when its answer begins, and where it counts."""

    answers_at: float
    process: int
    instance: str
    number: int


class _Result(NamedTuple):
    """What a replay comes to.

    Attributes:
        late: Part of the answers that begin after their target.
        error_s: Mean of the seconds by which they begin later than expected.
    """

    late: float
    error_s: float


class _Replay:
    """Runners, and the processes that send to them."""

    def __init__(self) -> None:
        self._known = [
            choose.Known(
                backlog.Backlog(), suspicion.Suspicion(), streams.Streams()
            )
            for _ in range(PROCESSES)
        ]
        self._free_at = {server.instance: 0.0 for server in RUNNERS}
        self._under: list[_Under] = []
        self._late = 0
        self._error_s = 0.0

    def play(self) -> _Result:
        """Place all prompts."""
        rng = random.Random(2)
        per_s = LOAD * len(RUNNERS) / MEAN_S
        now = 0.0
        told_at = 0.0
        count = 0
        while now < SECONDS:
            now += rng.expovariate(per_s)
            self._answer(now)
            if now - told_at >= TOLD_EVERY_S:
                told_at = now
                self._tell(now)
            self._place(rng, now)
            count += 1
        return _Result(self._late / count, self._error_s / count)

    def _place(self, rng: random.Random, now: float) -> None:
        process = rng.randrange(PROCESSES)
        known = self._known[process]
        known.reading.paces['large'] = TOKEN_S
        tokens = rng.randrange(LEAST, MOST)
        prompt = backlog.Prompt('large', f'a-{rng.random()}', 0, tokens)
        wish = servers_data.Wish('pool', prompt, None, frozenset())
        server = choose.choose(
            balance_data.BalanceState(), known, RUNNERS, wish, 'a', now
        )
        assert server is not None
        instance = server.instance
        expected_s = backlog.first_s(
            known.reading, instance, prompt, now, is_home=False
        )
        number = backlog.begin(
            known.reading, instance, prompt, now, is_home=False
        )
        items = known.reading.items[instance]
        work_s = items[number].work_s
        answers_at = max(self._free_at[instance], now) + work_s
        self._free_at[instance] = answers_at
        self._under.append(_Under(answers_at, process, instance, number))
        self._late += answers_at - now > TARGET_S
        self._error_s += max(answers_at - now - expected_s, 0)

    def _answer(self, now: float) -> None:
        begun = [each for each in self._under if each.answers_at <= now]
        self._under = [each for each in self._under if each.answers_at > now]
        for each in begun:
            reading = self._known[each.process].reading
            backlog.end(reading, each.instance, each.number)

    def _tell(self, now: float) -> None:
        own = [own_loads.of_process(known, now) for known in self._known]
        total = load_sums.add(own)
        for known, part in zip(self._known, own, strict=True):
            known.reading.others.loads = load_sums.without(total, part)
            known.reading.others.at = now


class HerdTest(unittest.TestCase):
    """Two dozen processes that know of one another some tenths later."""

    def test_idle_runners(self) -> None:
        """Prompts that are sent in one moment go to different idle runners.

        Each process takes the runner that is expected to answer first. Where
        several are idle, all took the first of the list until they heard of
        one another, and the prompts waited there for one another.
        """
        drawn = _Replay().play()
        with mock.patch.object(choose, 'DRAWN_S', 0):
            first = _Replay().play()
        self.assertLess(drawn.late, 0.6 * first.late)
        self.assertLess(drawn.error_s, 0.6 * first.error_s)


if __name__ == '__main__':
    unittest.main()
