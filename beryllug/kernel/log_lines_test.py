"""Tests of log lines: they never hold up the process."""

import json
import os
import unittest

from beryllug.kernel import log_lines


class LineWriterTest(unittest.TestCase):
    """Lines to a pipe that is read, or is not."""

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
        """Beyond the bound of a second lines are dropped and counted."""
        for _ in range(log_lines.MOST_PER_S * 3):
            self.lines.write('answered')
        self.assertGreater(self.lines.dropped, log_lines.MOST_PER_S / 2)

    def test_nobody_reads(self) -> None:
        """A full pipe does not block; waiting lines go out once it is read."""
        filler = 'x' * 2000
        for _ in range(log_lines.MOST_PER_S):
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
