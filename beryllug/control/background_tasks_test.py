"""Tests of background tasks, in virtual time."""

import time
import unittest

from beryllug.control import background_tasks, virtual_time_test


class LastingTest(virtual_time_test.VirtualTimeCase):
    """Rounds go on after a failure and end with `DoneError`."""

    async def test_failures(self) -> None:
        """A round fails twice, as when a lease task can't decode a reply.

        The task must go on: if it ended, the lease would expire and its
        process would never request it again.
        """
        rounds: list[float] = []

        async def work() -> None:  # noqa: WPS430
            rounds.append(time.monotonic())
            if len(rounds) == 4:
                raise background_tasks.DoneError
            if len(rounds) > 1:
                raise ValueError('not readable')

        with self.assertLogs(level='ERROR'):
            await background_tasks.run_repeatedly('work', work)
        self.assertEqual(len(rounds), 4)
        pause_s = rounds[-1] - rounds[0]
        self.assertAlmostEqual(pause_s, 2 * background_tasks.PAUSE_S, places=3)


if __name__ == '__main__':
    unittest.main()
