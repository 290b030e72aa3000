"""Tests of running requests at model runners, with a replayed load."""

import random
import unittest

from beryllug.core import balance_data
from beryllug.core.placement import (
    backlog,
    choose,
    load_sums,
    servers_data,
    streams,
    suspicion,
)

SLOTS = 16
RUNNERS = tuple(
    servers_data.Server(
        f'i-{number}',
        'pool',
        f'10.0.0.{number}:80',
        'a',
        'v1',
        SLOTS,
        servers_data.State.READY,
    )
    for number in range(12)
)
PACE_S = 0.00006
STREAM_S = 4.0
PER_S = 24.0
SECONDS = 60.0
LONG = 25000
LONG_PART = 0.1
# Seconds of prefill that make an event of a running stream late.
LATE_S = 1.0


class StreamsTest(unittest.TestCase):
    """Counts of running requests, and the cost of one more prompt."""

    def test_counts(self) -> None:
        """Own and reported requests add up until the report expires."""
        known = streams.Streams()
        streams.begin(known, 'i-1')
        streams.begin(known, 'i-1')
        streams.end(known, 'i-1')
        known.others.loads = {_key('i-1'): load_sums.Load(running=4)}
        known.others.at = 0
        for now, expected in ((0, 5), (1.4, 5), (1.6, 1)):
            with self.subTest(now):
                found = streams.running(known, 'i-1', now)
                self.assertEqual(found, expected)
        streams.end(known, 'i-1')
        self.assertEqual(known.own, {})

    def test_cost(self) -> None:
        """Long prompts cost by running requests; all do without a free slot."""
        known = streams.Streams()
        known.others.loads = {
            _key('busy'): load_sums.Load(running=10),
            _key('full'): load_sums.Load(running=SLOTS),
        }
        known.others.at = 0
        table: tuple[tuple[str, str, float, float], ...] = (
            ('idle', 'idle', 3, 0),
            ('a long prompt', 'busy', 3, 1.5),
            ('a short one', 'busy', 0.01, 0.005),
            ('no capacity', 'full', 0.01, 0.258),
        )
        for title, instance, read_s, expected in table:
            with self.subTest(title):
                found = streams.cost_s(known, instance, SLOTS, read_s, 0)
                self.assertAlmostEqual(found, expected)

    def test_delayed(self) -> None:
        """Streams pause while a runner prefills long prompts beside them.

        One prompt in ten takes a second and a half to prefill, and each stream
        runs for four. If placed by backlog alone, long prompts go to any idle
        runner, whatever is running there; with the count of streams they go
        where few are running, and a fifth fewer streams are delayed.
        """
        self.assertLess(
            _delayed(is_reported=True), 0.8 * _delayed(is_reported=False)
        )


def _key(instance: str) -> int:
    return load_sums.server_key(instance)


def _delayed(*, is_reported: bool) -> int:
    """Count the streams beside which a long prompt was prefilled."""
    rng = random.Random(5)
    known = choose.Known(
        backlog.Backlog(), suspicion.Suspicion(), streams.Streams()
    )
    known.reading.paces['m'] = PACE_S
    running: list[tuple[float, str, int]] = []
    delayed = 0
    now = 0.0
    while now < SECONDS:
        now += rng.expovariate(PER_S)
        ended = [each for each in running if each[0] <= now]
        for due in ended:
            running.remove(due)
            streams.end(known.streams, due[1])
        tokens = LONG if rng.random() < LONG_PART else 600
        prompt = backlog.Prompt('m', f'menu-{rng.randrange(40)}', 200, tokens)
        wish = servers_data.Requirements('pool', prompt, None, frozenset())
        server = choose.choose(
            balance_data.BalanceState(), known, RUNNERS, wish, 'a', now
        )
        assert server is not None
        number = backlog.begin(
            known.reading, server.instance, prompt, now, is_preferred=True
        )
        backlog.answer_began(known.reading, server.instance, number, now)
        known.reading.paces['m'] = PACE_S
        if tokens * PACE_S > LATE_S:
            delayed += sum(each[1] == server.instance for each in running)
        ends = now + rng.expovariate(1 / STREAM_S)
        running.append((ends, server.instance, number))
        if is_reported:
            streams.begin(known.streams, server.instance)
    return delayed


if __name__ == '__main__':
    unittest.main()
