"""Structured log lines on standard output that never hold up the process.

Each line is one JSON object. Standard output may be a pipe that nobody
reads; a blocking write to it would stop every request. Lines that can't be
written at once wait in a bounded queue; those beyond it, and those beyond the
bound on lines a second, are dropped and counted, and the count is told in the
next line that goes out.
"""

import logging
import os
import time
from collections import deque
from typing import Any

import msgspec

STDOUT = 1
MOST_WAITING = 2000
# A process serves some tens of requests a second with two or three lines
# each; what is above this is a failure that repeats itself.
MOST_PER_S = 400

_encode = msgspec.json.Encoder(enc_hook=str).encode


class LineWriter:
    """Writes lines to a file descriptor that may be blocked."""

    def __init__(self, fd: int = STDOUT) -> None:
        """Make writes to the descriptor return at once."""
        self._fd = fd
        self._waiting: deque[bytes] = deque()
        self._second = 0
        self._in_second = 0
        self.dropped = 0
        self.written = 0
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        now = time.time()
        if not self._has_room(int(now)):
            self.dropped += 1
            self._flush()
            return
        if self.dropped:
            fields['lines_dropped'] = self.dropped
        line = _encode({'t': round(now, 3), 'event': event, **fields})
        self._waiting.append(b'%b\n' % line)
        self._flush()

    def _has_room(self, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._in_second = 0
        self._in_second += 1
        return (
            self._in_second <= MOST_PER_S and len(self._waiting) < MOST_WAITING
        )

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                count = os.write(self._fd, line)
            except OSError:
                # Nobody reads, or nobody is left to: the queue's bound holds.
                return
            if count < len(line):
                self._waiting[0] = line[count:]
                return
            self._waiting.popleft()
            self.written += 1


class LogHandler(logging.Handler):
    """Sends what modules log by `absl.logging` as lines, too."""

    def __init__(self, writer: LineWriter) -> None:
        """Bind to the writer."""
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line."""
        fields: dict[str, Any] = {'message': record.getMessage()}
        if record.exc_info:
            formatter = logging.Formatter()
            fields['exception'] = formatter.formatException(record.exc_info)
        self._writer.write(record.levelname.lower(), **fields)
