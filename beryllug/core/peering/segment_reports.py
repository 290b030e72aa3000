"""Notes on prompt segments as processes send them to one another.

A prompt may have thousands of segments, so they are sent as one text, in parts
that each fit into a datagram.
"""

from collections.abc import Iterable, Iterator

from beryllug.core.peering import peering_data
from beryllug.core.placement import segment_losses, suspect_keys

# Length of the segments in one datagram, which leaves room for the rest.
MAX_TEXT_LENGTH = 1000
SEPARATOR = ','


def of_lost(
    lost: segment_losses.LostServer, now: float
) -> Iterator[peering_data.SegmentsReport]:
    """Yield the reports of a server that was lost."""
    for text in _texts(lost.keys):
        yield peering_data.SegmentsReport(now - lost.at, text, lost.instance)


def of_answered(
    keys: Iterable[str], ago_s: float
) -> Iterator[peering_data.SegmentsReport]:
    """Yield the reports of segments that were answered."""
    for text in _texts(keys):
        yield peering_data.SegmentsReport(ago_s, text)


def lost_of(
    report: peering_data.SegmentsReport, now: float
) -> segment_losses.LostServer:
    """Return the lost server of a report, in the receiver's time."""
    return segment_losses.LostServer(
        report.instance, now - report.ago_s, keys_of(report)
    )


def keys_of(report: peering_data.SegmentsReport) -> tuple[str, ...]:
    """Return the keys of a report's segments."""
    return tuple(
        f'{suspect_keys.SEGMENT}{text}'
        for text in report.segments.split(SEPARATOR)
    )


def _texts(keys: Iterable[str]) -> Iterator[str]:
    parts: list[str] = []
    size = 0
    for key in keys:
        text = key.removeprefix(suspect_keys.SEGMENT)
        if parts and size + len(text) > MAX_TEXT_LENGTH:
            yield SEPARATOR.join(parts)
            parts = []
            size = 0
        parts.append(text)
        size += len(text) + len(SEPARATOR)
    if parts:
        yield SEPARATOR.join(parts)
