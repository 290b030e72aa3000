"""Tests of the prefill backlog, with replayed loads."""

import random
import unittest

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
    for number in range(5)
)
TOKEN_S = 0.00005
LONG_S = 3.0
SHORT_S = 0.05
LONG = 30000
SHORT = 1000


def _prompt(tokens: int, shared: str = '', kept: int = 0) -> backlog.Prompt:
    return backlog.Prompt('large', shared, kept, tokens)


def _by_count(reading: backlog.Backlog) -> str:
    """Choose by request count: the preferred runner up to four requests."""
    counts = {
        server.instance: len(reading.items.get(server.instance, ()))
        for server in RUNNERS
    }
    if counts['i-0'] < 4:
        return 'i-0'
    return min(counts, key=lambda instance: counts[instance])


class BacklogTest(unittest.TestCase):
    """Estimates for a runner from the prompts that were sent to it."""

    def test_wait(self) -> None:
        """A prompt counts until it is answered, less its elapsed time."""
        table: tuple[tuple[str, float, float, float], ...] = (
            ('just sent', 0.0, 0.9, 3.0),
            ('half read', 0.5, 0.4, 2.5),
            ('overdue: a backlog nobody knew of', 6.0, 3.0, 6.0),
        )
        for title, now, least, most in table:
            with self.subTest(title):
                reading = backlog.Backlog()
                backlog.begin(
                    reading, 'i-0', _prompt(LONG), 0, is_preferred=False
                )
                wait_s = backlog.wait_s(reading, 'i-0', now)
                self.assertGreaterEqual(wait_s, least)
                self.assertLessEqual(wait_s, most)

    def test_ended(self) -> None:
        """An answer that has begun or an attempt that ended adds no wait."""
        for end in (True, False):
            reading = backlog.Backlog()
            number = backlog.begin(
                reading, 'i-0', _prompt(LONG), 0, is_preferred=False
            )
            if end:
                backlog.end(reading, 'i-0', number)
            else:
                backlog.answer_began(reading, 'i-0', number, 1)
            self.assertEqual(backlog.wait_s(reading, 'i-0', 1), 0)

    def test_peers(self) -> None:
        """A peer's report counts until it expires."""
        reading = backlog.Backlog()
        _set_others(reading, {'i-0': load_sums.Load(200)})
        self.assertEqual(backlog.wait_s(reading, 'i-0', 1), 2)
        self.assertEqual(backlog.wait_s(reading, 'i-0', 2), 0)

    def test_read_first(self) -> None:
        """Priority prompts wait only for one another, here and at peers.

        A runner has three seconds of long prompts queued. A short prompt of the
        smallest model overtakes them; one of the largest model does not.
        """
        reading = backlog.Backlog()
        reading.paces['large'] = TOKEN_S
        reading.paces['small'] = TOKEN_S
        long = _prompt(LONG)
        short = backlog.Prompt('small', '', 0, SHORT, is_priority=True)
        backlog.begin(reading, 'i-0', long, 0, is_preferred=False)
        peer = backlog.Backlog()
        peer.others.loads = _own(reading, 0)
        peer.others.at = 0
        for known in (reading, peer):
            self.assertEqual(backlog.wait_s(known, 'i-0', 0, is_first=True), 0)
            self.assertGreater(backlog.wait_s(known, 'i-0', 0), 2)
        backlog.begin(reading, 'i-0', short, 0, is_preferred=False)
        waits_s = backlog.wait_s(reading, 'i-0', 0, is_first=True)
        self.assertAlmostEqual(waits_s, SHORT_S, delta=0.02)

    def test_not_told(self) -> None:
        """A backlog that ends within a moment is not reported."""
        reading = backlog.Backlog()
        reading.paces['large'] = TOKEN_S
        backlog.begin(reading, 'i-0', _prompt(SHORT), 0, is_preferred=False)
        self.assertEqual(backlog.reported(reading, 0), {})
        self.assertEqual(set(backlog.reported(reading, 1)), {'i-0'})

    def test_overdue_once(self) -> None:
        """Ten processes wait for one runner that is three seconds behind.

        Each reports how long it has waited. If the delays were summed, the
        runner would seem to be half a minute behind and get no requests for as
        long.
        """
        reading = backlog.Backlog()
        key = load_sums.server_key('i-0')
        told = [{key: load_sums.Load(10, 300)} for _ in range(10)]
        reading.others.loads = load_sums.add(told)
        reading.others.at = 0
        self.assertAlmostEqual(backlog.wait_s(reading, 'i-0', 0), 4)

    def test_write(self) -> None:
        """The answer time is learned by model and expected length."""
        reading = backlog.Backlog()
        self.assertEqual(backlog.write_s(reading, 'large', 100), 0)
        for _ in range(30):
            backlog.record_decode(reading, 'large', 100, 2.0)
        backlog.record_decode(reading, 'large', 0, 9.0)
        self.assertAlmostEqual(backlog.write_s(reading, 'large', 200), 4)

    def test_least(self) -> None:
        """Only callers that cannot get an event in time are refused for it.

        The prefill of 2,000 own tokens takes at least a tenth of a second. A
        caller with less than half of that is refused; one with more is not,
        however long answers take under load.
        """
        reading = backlog.Backlog()
        reading.paces['large'] = TOKEN_S
        prompt = _prompt(2000, 'menu', 13000)
        for _ in range(30):
            backlog.record_decode(reading, 'large', 100, 9.0)
        self.assertAlmostEqual(backlog.min_first_s(reading, prompt), 0.05)

    def test_kept(self) -> None:
        """A cached shared part is not prefilled again until it expires."""
        reading = backlog.Backlog()
        prompt = _prompt(SHORT, 'menu', LONG)
        fresh_s = backlog.first_s(reading, 'i-0', prompt, 0, is_preferred=False)
        number = backlog.begin(reading, 'i-0', prompt, 0, is_preferred=False)
        backlog.answer_began(reading, 'i-0', number, fresh_s)
        kept_s = backlog.first_s(reading, 'i-0', prompt, 1, is_preferred=False)
        self.assertLess(kept_s, fresh_s / 5)
        late_s = backlog.first_s(
            reading, 'i-0', prompt, 2 + backlog.KEPT_S, is_preferred=False
        )
        self.assertGreater(late_s, kept_s)


class ReplayTest(unittest.TestCase):
    """Four processes send a mix of long and short prompts to five runners."""

    def test_mix(self) -> None:
        """Short prompts do not wait seconds behind long ones.

        Every eighth prompt takes 3 s to prefill, the others 50 ms; all share
        one part. If placed by request count, with up to four of each process at
        the preferred runner, the slowest tenth of the short ones waits for more
        than five seconds; if placed by backlog, for less than two.
        """
        by_backlog = self._replay(by_count=False)
        by_count = self._replay(by_count=True)
        self.assertLess(by_backlog, 2)
        self.assertGreater(by_count, 5)

    def _replay(self, *, by_count: bool) -> float:
        """Return the 90th percentile of the short prompts' waits."""
        rng = random.Random(7)
        processes = [backlog.Backlog() for _ in range(4)]
        state = balance_data.BalanceState()
        free_at = {server.instance: 0.0 for server in RUNNERS}
        waits = []
        running: list[tuple[float, backlog.Backlog, str, int]] = []
        for step in range(600):
            now = step * 0.15
            self._tell(processes, now)
            ended = [each for each in running if each[0] <= now]
            for due in ended:
                running.remove(due)
                backlog.end(due[1], due[2], due[3])
            reading = processes[rng.randrange(len(processes))]
            is_long = rng.random() < 1 / 8
            tokens, work_s = (LONG, LONG_S) if is_long else (SHORT, SHORT_S)
            prompt = _prompt(tokens, 'menu', 300)
            wish = servers_data.Requirements('pool', prompt, None, frozenset())
            server = choose.choose(
                state,
                choose.Known(reading, suspicion.Suspicion(), streams.Streams()),
                RUNNERS,
                wish,
                'a',
                now,
            )
            assert server is not None
            instance = server.instance
            if by_count:
                instance = _by_count(reading)
            begins = max(free_at[instance], now)
            free_at[instance] = begins + work_s
            number = backlog.begin(
                reading, instance, prompt, now, is_preferred=True
            )
            reading.paces['large'] = TOKEN_S
            running.append((free_at[instance], reading, instance, number))
            if not is_long:
                waits.append(begins - now)
        waits.sort()
        return waits[int(len(waits) * 0.9)]

    def _tell(self, processes: list[backlog.Backlog], now: float) -> None:
        own = [_own(one, now) for one in processes]
        total = load_sums.add(own)
        for one, part in zip(processes, own, strict=True):
            one.others.loads = load_sums.subtract_own(total, part)
            one.others.at = now


def _own(reading: backlog.Backlog, now: float) -> dict[int, load_sums.Load]:
    """Return the report of a process that knows of prefill work only."""
    return own_loads.server_loads(
        choose.Known(reading, suspicion.Suspicion(), streams.Streams()), now
    )


def _set_others(
    reading: backlog.Backlog, remote_loads: dict[str, load_sums.Load]
) -> None:
    """Set the loads of the other processes, as of second 0."""
    reading.others.loads = {
        load_sums.server_key(instance): load
        for instance, load in remote_loads.items()
    }
    reading.others.at = 0


if __name__ == '__main__':
    unittest.main()
