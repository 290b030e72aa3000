"""Splits a stream of server-sent events into complete events.

A server may break off in the middle of an event. The partial event must not be
forwarded, or the next event would be joined to it.
"""

from typing import NamedTuple

_END = b'\n\n'
_ID = b'id:'


class Event(NamedTuple):
    """A complete event: its bytes as received, and its id or empty."""

    raw: bytes
    event_id: str


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        complete, end, rest = (self._buffer + chunk).rpartition(_END)
        if not end:
            self._buffer = rest
            return []
        self._buffer = rest
        return [
            Event(raw + _END, _id_of(raw))
            for raw in complete.split(_END)
            if raw.strip()
        ]


def _id_of(raw: bytes) -> str:
    for line in raw.split(b'\n'):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
