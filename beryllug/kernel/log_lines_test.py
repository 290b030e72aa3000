"""Tests of structured logging: it never blocks the process."""

import json
import os
import unittest

from beryllug.kernel import log_lines


class LineWriterTest(unittest.TestCase):
    """Lines written to a pipe, whether it is read or not."""

    def setUp(self) -> None:
        ends = os.pipe()
        self.reader = ends[0]
        self.writer = ends[1]
        self.lines = log_lines.LineWriter(self.writer)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_line(self) -> None:
        """A line is one JSON object."""
        self.lines.write('answered', id='a1', status=200)
        shown = json.loads(os.read(self.reader, 4096))
        self.assertEqual((shown['event'], shown['id']), ('answered', 'a1'))

    def test_bound(self) -> None:
        """Lines beyond the rate limit are dropped and counted."""
        for _ in range(log_lines.MAX_LINES_PER_S * 3):
            self.lines.write('answered')
        self.assertGreater(self.lines.dropped, log_lines.MAX_LINES_PER_S / 2)

    def test_nobody_reads(self) -> None:
        """A full pipe does not block; queued lines are written later."""
        filler = 'x' * 2000
        for _ in range(log_lines.MAX_LINES_PER_S):
            self.lines.write('answered', filler=filler)
        written = self.lines.written
        os.set_blocking(self.reader, False)
        while self._drain():
            self.lines.write('again')
        self.assertGreater(self.lines.written, written)

    def _drain(self) -> bytes:
        try:
            return os.read(self.reader, 65536)
        except BlockingIOError:
            return b''


if __name__ == '__main__':
    unittest.main()
