"""Splits a stream of server-sent events into complete events.

A server may break off in the middle of an event. The partial event must not be
forwarded, or the next event would be joined to it.
"""

from typing import NamedTuple

from beryllug.drivers import http_data

_END = b'\n\n'
_ID = b'id:'
_COMMENT = b':'


class Event(NamedTuple):
    """A complete event.

    Attributes:
        raw: Its bytes as received.
        event_id: Its id, or empty.
        has_fields: Whether it has more than comments.
    """

    raw: bytes
    event_id: str
    has_fields: bool = True


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self, max_bytes: int, *, holds_comments: bool = False) -> None:
        """Start with an empty buffer.

        Args:
            max_bytes: Maximum size of an event, and of all comments before
                it.
            holds_comments: Whether comments before the first event are returned
                as part of it.
        """
        self._max_bytes = max_bytes
        self._holds_comments = holds_comments
        self._held = bytearray()
        self._comment_bytes = 0
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises:
            ExcessError: An event is larger than the limit.
        """
        # The first byte of an end may have come with the previous chunk.
        searched = max(len(self._buffer) - 1, 0)
        self._buffer += chunk
        end = self._buffer.rfind(_END, searched)
        parts: list[bytes] = []
        if end >= 0:
            parts = bytes(self._buffer[:end]).split(_END)
            self._buffer = self._buffer[end + len(_END) :]
        sizes = [len(part) + len(_END) for part in parts]
        self._check_size(max((len(self._buffer), *sizes)))
        events = [
            Event(raw + _END, _id_of(raw), _has_fields(raw))
            for raw in parts
            if raw.strip()
        ]
        self._count_comments(events)
        return self._hold_comments(events) if self._holds_comments else events

    def _hold_comments(self, events: list[Event]) -> list[Event]:
        """Return the events from the first one on that has fields."""
        for number, event in enumerate(events):
            self._held += event.raw
            if event.has_fields:
                self._holds_comments = False
                first = event._replace(raw=bytes(self._held))
                self._held.clear()
                return [first, *events[number + 1 :]]
        return []

    def _count_comments(self, events: list[Event]) -> None:
        for event in events:
            if event.has_fields:
                self._comment_bytes = 0
            else:
                self._comment_bytes += len(event.raw)
                self._check_size(self._comment_bytes)

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            raise http_data.ExcessError(
                f'an event of over {self._max_bytes} bytes'
            )


def _id_of(raw: bytes) -> str:
    for line in raw.split(b'\n'):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''


def _has_fields(raw: bytes) -> bool:
    lines = raw.strip().split(b'\n')
    return not all(line.startswith(_COMMENT) for line in lines)
