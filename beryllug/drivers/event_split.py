"""Splits a stream of server-sent events into whole events.

A server that breaks off may do so in the middle of an event; the part of it
that came must not go out, or the next event would be joined to it.
"""

from typing import NamedTuple

_END = b'\n\n'
_ID = b'id:'


class Event(NamedTuple):
    """A whole event: its bytes as they came, and its id, or empty."""

    raw: bytes
    event_id: str


class EventSplitter:
    """Takes bytes as they arrive and gives whole events."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self._rest = b''

    @property
    def has_rest(self) -> bool:
        """Tell whether part of an event has come."""
        return bool(self._rest.strip())

    def feed(self, chunk: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
        whole, end, rest = (self._rest + chunk).rpartition(_END)
        if not end:
            self._rest = rest
            return []
        self._rest = rest
        return [
            Event(raw + _END, _id_of(raw))
            for raw in whole.split(_END)
            if raw.strip()
        ]


def _id_of(raw: bytes) -> str:
    for line in raw.split(b'\n'):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
