"""Tests of the view streams to entries, and of their confirmations."""

import asyncio
import unittest

from beryllug.control import view_feed
from beryllug.core import rpc_data, suspects_data

SUSPECT = rpc_data.Suspect('kutch:body', 1, 2e9)
ASK = rpc_data.ViewRequest('entry-1', 'zone-1')
WITHIN_S = 0.05


class ViewFeedTest(unittest.IsolatedAsyncioTestCase):
    """A feed with one connected entry."""

    async def asyncSetUp(self) -> None:
        """Open a feed and read the first message of its stream."""
        self.feed = view_feed.ViewFeed(1.0, lambda: True)
        self.feed.open()
        self.stream = self.feed.stream(ASK)
        await anext(self.stream)

    async def asyncTearDown(self) -> None:
        """Close the stream."""
        await self.stream.aclose()

    async def test_written_is_not_seen(self) -> None:
        """A caller retries a request that has crashed a server.

        The suspect was sent on the stream of another host's entry, which is
        busy and reads it later. If the crash report were answered before the
        entry confirms, the retry could reach that entry and crash another
        server.
        """
        self.feed.replace_parts(self.feed.parts._replace(suspects=(SUSPECT,)))
        update = await anext(self.stream)
        waiting = asyncio.create_task(anext(self.stream))
        await asyncio.sleep(0)
        seen = asyncio.create_task(self.feed.wait_until_confirmed(1.0))
        await asyncio.sleep(WITHIN_S)
        self.assertFalse(seen.done())
        await self.feed.on_confirmation(
            suspects_data.SuspectsApplied(ASK.entry, update.number)
        )
        await seen
        waiting.cancel()

    async def test_bounded(self) -> None:
        """A frozen entry delays the reply to a report for a bounded time."""
        self.feed.replace_parts(self.feed.parts._replace(suspects=(SUSPECT,)))
        await anext(self.stream)
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.feed.wait_until_confirmed(WITHIN_S)
        self.assertGreaterEqual(loop.time() - began, WITHIN_S)


if __name__ == '__main__':
    unittest.main()
