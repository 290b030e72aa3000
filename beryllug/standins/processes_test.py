"""Tests of daemon process management."""

import unittest

from beryllug.standins import processes


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Overlapping faults on one process."""

    async def test_killed_while_frozen(self) -> None:
        """Resuming a process that was killed while paused does nothing.

        Guards against a failure of the pausing fault when another fault
        killed the process during the pause.
        """
        running = processes.Processes()
        await running.spawn('one', 'no settings')
        running.pause('one')
        await running.kill('one')
        running.resume('one')
        self.assertEqual(running.names(), ())
        await running.stop()


if __name__ == '__main__':
    unittest.main()
