"""Records of the journal's segments: objects that hold rows."""

from typing import NamedTuple

import msgspec

from beryllug.core import journal_data


class Segment(NamedTuple):
    """Content of a segment object, with each row encoded separately.

    Attributes:
        fencing: Fencing token of the owner that wrote it last.
        sealed: Whether a new owner sealed it against further writes.
        nonce: Random id of the last write; it identifies the writer's own
            write when the reply was lost.
        at: Wall-clock second of the last write.
        rows: Encoded rows.
    """

    fencing: int
    sealed: bool
    nonce: str
    at: float
    rows: list[msgspec.Raw]


class SegmentRows(NamedTuple):
    """A segment with its rows decoded; fields as `Segment`."""

    fencing: int
    sealed: bool
    nonce: str
    at: float
    rows: list[journal_data.Row]


class Stored(NamedTuple):
    """A segment as stored in the platform.

    Attributes:
        seq: Number of the segment in its shard.
        version: Version of its object; 0 when it does not exist yet.
        segment: Its content.
    """

    seq: int
    version: int
    segment: Segment
