"""Structured logging to standard output that never blocks the process.

Each line is one JSON object. Standard output may be a pipe that is not read; a
blocking write to it would stop every request. Lines that can't be written
immediately wait in a bounded queue. Lines beyond its bound, or beyond the rate
limit, are dropped and counted, and the count is included in the next line
written.
"""

import logging
import os
import time
from collections import deque
from typing import Any

import msgspec

STDOUT = 1
MAX_QUEUED_LINES = 2000
# A process serves some tens of requests a second with two or three lines each;
# a higher rate indicates a failure that repeats itself.
MAX_LINES_PER_S = 400

_encode = msgspec.json.Encoder(enc_hook=str).encode


class LineWriter:
    """Writes log lines to a file descriptor without blocking."""

    def __init__(self, fd: int = STDOUT) -> None:
        """Set the descriptor to non-blocking mode."""
        self._fd = fd
        self._queue: deque[bytes] = deque()
        self._second = 0
        self._lines_in_second = 0
        self.dropped = 0
        self.written = 0
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write one line, or drop it if a limit is exceeded."""
        now = time.time()
        if not self._is_within_limits(int(now)):
            self.dropped += 1
            self._flush()
            return
        if self.dropped:
            fields['lines_dropped'] = self.dropped
        line = _encode({'t': round(now, 3), 'event': event, **fields})
        self._queue.append(b'%b\n' % line)
        self._flush()

    def _is_within_limits(self, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return (
            self._lines_in_second <= MAX_LINES_PER_S
            and len(self._queue) < MAX_QUEUED_LINES
        )

    def _flush(self) -> None:
        while self._queue:
            line = self._queue[0]
            try:
                count = os.write(self._fd, line)
            except OSError:
                # The pipe is full or closed; the queue is bounded.
                return
            if count < len(line):
                self._queue[0] = line[count:]
                return
            self._queue.popleft()
            self.written += 1


class LogHandler(logging.Handler):
    """Writes records of `absl.logging` as structured lines."""

    def __init__(self, writer: LineWriter) -> None:
        """Create a handler that writes to `writer`."""
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line."""
        fields: dict[str, Any] = {'message': record.getMessage()}
        if record.exc_info:
            formatter = logging.Formatter()
            fields['exception'] = formatter.formatException(record.exc_info)
        self._writer.write(record.levelname.lower(), **fields)
