"""The streams on which entry processes follow the view.

A stream sends only the parts that changed since its last message. It holds
no queue: a slow receiver gets the latest state when it is ready for more, so
it costs no memory and never acts on what was overtaken meanwhile.
"""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncGenerator, Callable
from typing import Any, NamedTuple

from beryllug.core import rpc_data, suspects_data, view_parts

SEEN_POLL_S = 0.005

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
        self._unseen: dict[str, int] = {}

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

    async def seen(self, within_s: float) -> None:
        """Wait until each entry has the suspects put, or time is up."""
        wanted = self._changes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not self._is_seen(wanted):
                    await asyncio.sleep(SEEN_POLL_S)

    async def on_seen(self, told: suspects_data.Seen) -> rpc_data.Empty:
        """Take that an entry has the suspects of a change."""
        if self._unseen.get(told.entry, math.inf) <= told.number:
            self._unseen.pop(told.entry)
        return rpc_data.Empty()

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
                update = self._update(sent, present, ask.entry, number)
                if update.suspects is not None:
                    # Written is not read: on a busy host an entry took the
                    # update 50 ms after it was sent, and the resend of a
                    # request cost a third server.
                    self._unseen[ask.entry] = number
                yield update
                sent = present
                self._written[ask.entry] = number
                self._followers[ask.entry] = Follower(
                    ask.entry, ask.zone, present.revision
                )
                await self._wait(changed)
        finally:
            self._forget(ask.entry)

    def _update(
        self,
        sent: view_parts.ViewParts,
        present: view_parts.ViewParts,
        entry: str,
        number: int,
    ) -> rpc_data.ViewUpdate:
        fields: dict[str, Any] = view_parts.changes(sent, present, entry)
        return rpc_data.ViewUpdate(
            **fields,
            accept=self._accepts(),
            sent_at=time.time(),
            number=number,
        )

    def _forget(self, entry: str) -> None:
        self._followers.pop(entry, None)
        self._written.pop(entry, None)
        self._unseen.pop(entry, None)

    def _is_seen(self, wanted: int) -> bool:
        are_written = all(done >= wanted for done in self._written.values())
        return are_written and all(
            number > wanted for number in self._unseen.values()
        )

    async def _wait(self, changed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(self._heartbeat_s):
                await changed.wait()
        except TimeoutError:
            return
