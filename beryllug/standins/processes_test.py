"""Tests of the processes that proofs start and end."""

import unittest

from beryllug.standins import processes


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """One process that two faults hit."""

    async def test_killed_while_frozen(self) -> None:
        """A frozen process is killed before its pause is over.

        The fault that froze it lets it go on then, and must find nothing to
        do, whether it was started again by then or not.
        """
        running = processes.Processes()
        await running.spawn('one', 'no settings')
        running.freeze('one')
        await running.kill('one')
        running.thaw('one')
        self.assertEqual(running.names(), ())
        await running.stop()


if __name__ == '__main__':
    unittest.main()
