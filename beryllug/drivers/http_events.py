"""Reads the events of HTTP messages within a fair share of the event loop.

Bytes that are cheap to send may be costly to parse. A peer that sends without
end must not take the loop from all other connections, so each connection is
parsed in turns, and one that needs many of them has to wait in between.
"""

import asyncio
from typing import Any

import h11

from beryllug.drivers import http_link

# Maximum number of events that are parsed in one turn of a connection.
EVENTS_PER_TURN = 64
# Events that a connection may parse per second, and the seconds for which it
# may do so at once. A read counts as one event.
EVENTS_PER_S = 2000.0
BURST_S = 1.0


def next_turn_at(due: float, now: float, events: int) -> float:
    """Return the time before which a connection must not be parsed again.

    Args:
        due: The time that was returned for the turn before, or 0.
        now: The current time in seconds.
        events: Events parsed since then.
    """
    return max(due, now - BURST_S) + events / EVENTS_PER_S


class EventReader:
    """Feeds a parser with the bytes of a link, in turns."""

    __slots__ = ('_due', '_left', '_link', '_needs_bytes', '_parser')

    def __init__(self, link: http_link.Link, parser: h11.Connection) -> None:
        """Bind to the link and its parser."""
        self._link = link
        self._parser = parser
        self._left = EVENTS_PER_TURN
        self._needs_bytes = False
        self._due = 0.0

    async def next_event(self) -> Any:
        """Return the next event, waiting for bytes if there is none.

        Raises:
            OSError: The connection broke.
            RemoteProtocolError: The peer does not speak HTTP.
        """
        event = self.ready_event()
        while event is h11.NEED_DATA:
            await self._begin_turn()
            event = self.ready_event()
        return event

    def ready_event(self) -> Any:
        """Return the next event of this turn, `h11.NEED_DATA` if it is over.

        Raises:
            RemoteProtocolError: The peer does not speak HTTP.
        """
        if self._left <= 0:
            return h11.NEED_DATA
        event = self._parser.next_event()
        if event is h11.NEED_DATA:
            self._needs_bytes = True
        else:
            self._left -= 1
        return event

    async def _begin_turn(self) -> None:
        """Let other connections have their turns, then read if needed."""
        now = asyncio.get_running_loop().time()
        events = EVENTS_PER_TURN - self._left + 1
        self._due = next_turn_at(self._due, now, events)
        if self._link.has_unread() or not self._needs_bytes:
            await asyncio.sleep(max(self._due - now, 0))
        if self._needs_bytes:
            self._parser.receive_data(await self._link.read())
            self._needs_bytes = False
        self._left = EVENTS_PER_TURN
