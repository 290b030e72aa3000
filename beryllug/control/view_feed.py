"""The streams on which entry processes follow the view.

A stream sends only the parts that changed since its last message. It has no
queue: a slow receiver gets the latest state when it is ready for more, so it
needs no extra memory and never acts on an outdated state.
"""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncGenerator, Callable
from typing import Any, NamedTuple

from beryllug.core import rpc_data, suspects_data, view_parts

CONFIRM_POLL_S = 0.005

Accepts = Callable[[], bool]


class Follower(NamedTuple):
    """An entry process and the last revision sent to it."""

    entry: str
    zone: str
    revision: int


class ViewFeed:
    """The parts of the view, and the streams that send them."""

    def __init__(self, heartbeat_s: float, accepts: Accepts) -> None:
        """Create a feed; its streams send nothing before `open`.

        Args:
            heartbeat_s: Longest time between two messages of a stream.
            accepts: Tells whether entries may accept new work now.
        """
        self.parts = view_parts.NO_PARTS
        self._heartbeat_s = heartbeat_s
        self._accepts = accepts
        self._changed = asyncio.Event()
        self._opened = asyncio.Event()
        self._followers: dict[str, Follower] = {}
        self._change_count = 0
        self._sent_numbers: dict[str, int] = {}
        self._unconfirmed: dict[str, int] = {}

    def open(self) -> None:
        """Let the streams start sending.

        Called only after platform and peers were queried at the start: an
        outdated document from a stale replica must not reach an entry if a
        peer has a newer one.
        """
        self._opened.set()

    def replace_parts(self, parts: view_parts.ViewParts) -> None:
        """Replace the parts and wake the streams."""
        self.parts = parts
        self._change_count += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until_confirmed(self, within_s: float) -> None:
        """Wait until each entry confirmed the suspects, or time out."""
        wanted = self._change_count
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not self._is_confirmed(wanted):
                    await asyncio.sleep(CONFIRM_POLL_S)

    async def on_confirmation(
        self, confirmation: suspects_data.SuspectsApplied
    ) -> rpc_data.Empty:
        """Process an entry's confirmation of an update with suspects."""
        if (
            self._unconfirmed.get(confirmation.entry, math.inf)
            <= confirmation.number
        ):
            self._unconfirmed.pop(confirmation.entry)
        return rpc_data.Empty()

    def dump(self) -> dict[str, Any]:
        """Return the last revision sent to each entry."""
        return {found.entry: found.revision for found in self.followers()}

    def followers(self) -> tuple[Follower, ...]:
        """Return the connected entries."""
        return tuple(self._followers.values())

    async def stream(
        self, ask: rpc_data.ViewRequest
    ) -> AsyncGenerator[rpc_data.ViewUpdate, None]:
        """Send the view and its changes to one entry, without end."""
        await self._opened.wait()
        sent = view_parts.NO_PARTS
        try:
            while True:
                changed = self._changed
                present = self.parts
                number = self._change_count
                self._sent_numbers.setdefault(ask.entry, 0)
                update = self._update(sent, present, ask.entry, number)
                if update.suspects is not None:
                    # A sent update is not yet processed: an entry on a busy
                    # host read it 50 ms after it was sent, and meanwhile a
                    # retried request crashed a third server.
                    self._unconfirmed[ask.entry] = number
                yield update
                sent = present
                self._sent_numbers[ask.entry] = number
                self._followers[ask.entry] = Follower(
                    ask.entry, ask.zone, present.revision
                )
                await self._wait(changed)
        finally:
            self._remove_entry(ask.entry)

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

    def _remove_entry(self, entry: str) -> None:
        self._followers.pop(entry, None)
        self._sent_numbers.pop(entry, None)
        self._unconfirmed.pop(entry, None)

    def _is_confirmed(self, wanted: int) -> bool:
        all_sent = all(done >= wanted for done in self._sent_numbers.values())
        return all_sent and all(
            number > wanted for number in self._unconfirmed.values()
        )

    async def _wait(self, changed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(self._heartbeat_s):
                await changed.wait()
        except TimeoutError:
            return
