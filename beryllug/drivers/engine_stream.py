"""Reads the end of an engine's response without parsing every event.

Events pass through as bytes. Only the end of the stream is inspected: whether
the stream is complete, and the usage in its last event.
"""

from typing import TypedDict

import msgspec

from beryllug.drivers import engine_data

TAIL_BYTES = 8192
DONE = b'data: [DONE]\n\n'
EVENT_START = b'data: '
EVENT_END = b'\n\n'


class _Usage(TypedDict):
    prompt_tokens: int
    completion_tokens: int


class _HasUsage(TypedDict):
    usage: _Usage


_decode_usage = msgspec.json.Decoder(_HasUsage).decode


class StreamTail:
    """Keeps the last bytes of a stream."""

    def __init__(self) -> None:
        """Start with an empty stream."""
        self.size = 0
        self._tail = b''

    def feed(self, chunk: bytes) -> None:
        """Add the next bytes of the stream."""
        self.size += len(chunk)
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    def reached_end(self) -> bool:
        """Return whether the stream has ended properly."""
        return self._tail.endswith(DONE)

    def usage(self) -> engine_data.Usage | None:
        """Return the usage of a complete stream; None if it has none."""
        events = self._tail.removesuffix(DONE).rstrip()
        _, _, last = events.rpartition(EVENT_START)
        return usage_of(last)


def usage_of(document: bytes) -> engine_data.Usage | None:
    """Return the usage of a complete response; None if it has none."""
    try:
        usage = _decode_usage(document)['usage']
    except msgspec.DecodeError:
        return None
    return engine_data.Usage(usage['prompt_tokens'], usage['completion_tokens'])
