"""What must be read out of an engine's answer, without parsing its events.

Events pass through as bytes. Only the end of a stream is looked at: whether
it is whole, and the usage that its last event carries.
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
    """Keeps the last bytes of a stream as they pass."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.size = 0
        self._last = b''

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the stream."""
        self.size += len(chunk)
        self._last = (self._last + chunk)[-TAIL_BYTES:]

    def is_whole(self) -> bool:
        """Tell whether the stream has come to its proper end."""
        return self._last.endswith(DONE)

    def usage(self) -> engine_data.Usage | None:
        """Return the usage of a whole stream; None if it carries none."""
        events = self._last.removesuffix(DONE).rstrip()
        _, _, last = events.rpartition(EVENT_START)
        return usage_of(last)


def usage_of(document: bytes) -> engine_data.Usage | None:
    """Return the usage of a whole answer; None if it carries none."""
    try:
        usage = _decode_usage(document)['usage']
    except msgspec.DecodeError:
        return None
    return engine_data.Usage(usage['prompt_tokens'], usage['completion_tokens'])
