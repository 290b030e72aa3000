"""Frames in which a relay forwards what a backend server sends.

A connection that ends does not tell why: the kernel closes those of a killed
process as it closes those of one that is done. The last frame states how the
server's side has ended; without it, the relay was lost.
"""

import enum
import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

# The asking process and the relay both send this header field if they know
# frames; an older release ignores it.
FIELD = 'x-beryllug-relay-frames'
VERSION = '1'
# Kind of the frame, and number of bytes that follow.
_HEADER = struct.Struct('>BI')


class Kind(enum.IntEnum):
    """What a frame states."""

    BYTES = 0
    END = 1
    BROKEN = 2


class Frame(NamedTuple):
    """A frame, or a part of one that holds bytes.

    Attributes:
        kind: What it states.
        payload: Bytes of the server.
    """

    kind: Kind
    payload: bytes = b''


END = _HEADER.pack(Kind.END, 0)
BROKEN = _HEADER.pack(Kind.BROKEN, 0)


def is_named(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the sender of a head knows these frames."""
    return (FIELD.encode(), VERSION.encode()) in headers


def of_bytes(payload: bytes) -> bytes:
    """Return the frame of some bytes of a server."""
    return _HEADER.pack(Kind.BYTES, len(payload)) + payload


class FrameReader:
    """Splits what a relay has sent into frames."""

    def __init__(self) -> None:
        """Start at the begin of a frame."""
        self._header = b''
        self._left = 0

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Yield the frames of received bytes, those of a payload as they come.

        Raises:
            ValueError: A frame is of no known kind.
        """
        at = 0
        while at < len(received):
            if self._left:
                payload = received[at : at + self._left]
                at += len(payload)
                self._left -= len(payload)
                yield Frame(Kind.BYTES, payload)
                continue
            missing = _HEADER.size - len(self._header)
            self._header += received[at : at + missing]
            at += missing
            if len(self._header) == _HEADER.size:
                number, size = _HEADER.unpack(self._header)
                self._header = b''
                self._left = size
                kind = Kind(number)
                if kind is not Kind.BYTES:
                    yield Frame(kind)
