"""The streams on which entry processes follow the view.

A stream sends only the parts that changed since its last message. It holds
no queue: a slow receiver gets the latest state when it is ready for more, so
it costs no memory and never acts on what was overtaken meanwhile.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncGenerator, Callable
from typing import Any, NamedTuple

from beryllug.core import rpc_data, view_parts

WRITTEN_POLL_S = 0.005

Accepts = Callable[[], bool]


class Follower(NamedTuple):
    """An entry process, and the revision that it was sent last."""

    entry: str
    zone: str
    revision: int


class ViewFeed:
    """The parts of the view, and the streams that send them."""

    def __init__(self, heartbeat_s: float, accepts: Accepts) -> None:
        """Make a feed; its streams send nothing before `open`.

        Args:
            heartbeat_s: Longest time between two messages of a stream.
            accepts: Tells whether new work may be taken now.
        """
        self.parts = view_parts.NOTHING
        self._heartbeat_s = heartbeat_s
        self._accepts = accepts
        self._changed = asyncio.Event()
        self._opened = asyncio.Event()
        self._followers: dict[str, Follower] = {}
        self._changes = 0
        self._written: dict[str, int] = {}

    def open(self) -> None:
        """Let the streams begin.

        Not before platform and peers were asked at the start: a document
        from a stale replica that a peer knows to be overtaken must not reach
        an entry first.
        """
        self._opened.set()

    def put(self, parts: view_parts.ViewParts) -> None:
        """Replace the parts and wake the streams."""
        self.parts = parts
        self._changes += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def written(self, within_s: float) -> None:
        """Wait until each stream has sent what was put, or time is up."""
        wanted = self._changes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while any(done < wanted for done in self._written.values()):
                    await asyncio.sleep(WRITTEN_POLL_S)

    def dump(self) -> dict[str, Any]:
        """Return the revision that each entry was sent."""
        return {found.entry: found.revision for found in self.followers()}

    def followers(self) -> tuple[Follower, ...]:
        """Return the entries that follow."""
        return tuple(self._followers.values())

    async def stream(
        self, ask: rpc_data.ViewAsk
    ) -> AsyncGenerator[rpc_data.ViewUpdate, None]:
        """Send the view and its changes to one entry, without end."""
        await self._opened.wait()
        sent = view_parts.NOTHING
        try:
            while True:
                changed = self._changed
                present = self.parts
                number = self._changes
                self._written.setdefault(ask.entry, 0)
                yield self._update(sent, present, ask.entry)
                sent = present
                self._written[ask.entry] = number
                self._followers[ask.entry] = Follower(
                    ask.entry, ask.zone, present.revision
                )
                await self._wait(changed)
        finally:
            self._followers.pop(ask.entry, None)
            self._written.pop(ask.entry, None)

    def _update(
        self,
        sent: view_parts.ViewParts,
        present: view_parts.ViewParts,
        entry: str,
    ) -> rpc_data.ViewUpdate:
        fields: dict[str, Any] = view_parts.changes(sent, present, entry)
        return rpc_data.ViewUpdate(
            **fields, accept=self._accepts(), sent_at=time.time()
        )

    async def _wait(self, changed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(self._heartbeat_s):
                await changed.wait()
        except TimeoutError:
            return
