"""Bounds the memory of answers that are read whole.

A server may send without end, and faster than any timeout is short. Each answer
has a limit, and so have all of them together: above it only those fail that
hold more than an equal share, so a few long answers can't fail the short ones.
"""

import contextlib
from collections.abc import Iterator

from beryllug.drivers import http_data


def is_within_total(
    limits: http_data.AnswerLimits, size: int, total: int, count: int
) -> bool:
    """Return whether all answers together leave room for one of them.

    Args:
        limits: The limits.
        size: Bytes of the answer.
        total: Bytes of all answers that are being read.
        count: Number of these answers.
    """
    return total <= limits.total_bytes or size * count <= limits.total_bytes


class AnswerMemory:
    """Counts the bytes of the answers that a client is reading.

    Attributes:
        total: Bytes of these answers.
        count: Number of these answers.
    """

    def __init__(self, limits: http_data.AnswerLimits) -> None:
        """Start without answers."""
        self.limits = limits
        self.total = 0
        self.count = 0

    @contextlib.contextmanager
    def reading(self) -> Iterator['Reading']:
        """Count an answer for as long as it is being read."""
        self.count += 1
        reading = Reading(self)
        try:
            yield reading
        finally:
            self.count -= 1
            self.total -= reading.size


class Reading:
    """Counts the bytes of one answer."""

    __slots__ = ('_memory', 'size')

    def __init__(self, memory: AnswerMemory) -> None:
        """Start with no bytes."""
        self.size = 0
        self._memory = memory

    def add(self, size: int) -> None:
        """Count more bytes.

        Raises:
            ExcessError: The answer is larger than the limit.
            BrokenError: All answers together are, which says nothing of the
                server of this one.
        """
        memory = self._memory
        limits = memory.limits
        self.size += size
        memory.total += size
        if self.size > limits.body_bytes:
            raise http_data.ExcessError(
                f'a body of over {limits.body_bytes} bytes'
            )
        if not is_within_total(limits, self.size, memory.total, memory.count):
            raise http_data.BrokenError(
                f'{memory.count} answers of {memory.total} bytes are being read'
            )
