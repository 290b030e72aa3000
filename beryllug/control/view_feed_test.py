"""What entry processes are sent of the view, and what they confirm."""

import asyncio
import unittest

from beryllug.control import view_feed
from beryllug.core import rpc_data, suspects_data

SUSPECT = rpc_data.Suspect('kutch:body', 1, 2e9)
ASK = rpc_data.ViewAsk('entry-1', 'zone-1')
WITHIN_S = 0.05


class ViewFeedTest(unittest.IsolatedAsyncioTestCase):
    """One entry that follows."""

    async def asyncSetUp(self) -> None:
        """Open a feed and read its first message."""
        self.feed = view_feed.ViewFeed(1.0, lambda: True)
        self.feed.open()
        self.stream = self.feed.stream(ASK)
        await anext(self.stream)

    async def asyncTearDown(self) -> None:
        """End the stream."""
        await self.stream.aclose()

    async def test_written_is_not_seen(self) -> None:
        """A caller sends a request again that has crashed a server.

        The suspicion was written to the stream of another host's entry,
        which is busy and reads it later. Were the report answered now, the
        resend would meet an entry that knows nothing and cost one more
        server.
        """
        self.feed.put(self.feed.parts._replace(suspects=(SUSPECT,)))
        update = await anext(self.stream)
        waiting = asyncio.create_task(anext(self.stream))
        await asyncio.sleep(0)
        seen = asyncio.create_task(self.feed.seen(1.0))
        await asyncio.sleep(WITHIN_S)
        self.assertFalse(seen.done())
        await self.feed.on_seen(suspects_data.Seen(ASK.entry, update.number))
        await seen
        waiting.cancel()

    async def test_bounded(self) -> None:
        """An entry that is frozen holds the report up for a while only."""
        self.feed.put(self.feed.parts._replace(suspects=(SUSPECT,)))
        await anext(self.stream)
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.feed.seen(WITHIN_S)
        self.assertGreaterEqual(loop.time() - began, WITHIN_S)


if __name__ == '__main__':
    unittest.main()
