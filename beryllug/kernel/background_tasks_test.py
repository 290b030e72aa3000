"""Tests of background tasks."""

import asyncio
from unittest import IsolatedAsyncioTestCase, main, mock

from beryllug.kernel import background_tasks


class BackgroundTasksTest(IsolatedAsyncioTestCase):
    """Tasks whose work fails."""

    async def test_failures(self) -> None:
        """A lease expires for good, as an unreadable reply ended its task."""
        failures = [None, ValueError('not readable'), RecursionError()]
        work = mock.AsyncMock(
            side_effect=[*failures, background_tasks.DoneError]
        )
        paused = mock.AsyncMock()
        with mock.patch.object(asyncio, 'sleep', paused):
            with self.assertLogs(level='ERROR'):
                await background_tasks.start('work', work)
        self.assertEqual(work.await_count, 4)
        pauses = [each.args for each in paused.await_args_list]
        pause = (background_tasks.PAUSE_S,)
        self.assertEqual(pauses, [pause, pause])

    async def test_unwatched(self) -> None:
        """An error that ends a task is not seen, as nobody waits for it."""

        async def work() -> None:  # noqa: WPS430
            raise OverflowError('too large')

        with self.assertLogs(level='ERROR'):
            await background_tasks.run_once('work', work())


if __name__ == '__main__':
    main()
