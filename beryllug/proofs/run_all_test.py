"""Tests of the evaluation of a module's run."""

import tempfile
import unittest
from pathlib import Path

from beryllug.proofs import run_all

KNOWN = 'beryllug.a_test.ATest.test_known'
OTHER = 'beryllug.a_test.ATest.test_other'
OK = 'Ran 3 tests in 1s\n\nOK\n'
ROW = 'FAIL: test_x ({0}) [row 1]\nFAIL: test_x ({0}) [row 2]\n'
HANG = 'print("test_a ... ", flush=True); import time; time.sleep(60)'
TIMEOUT_S = 1.0
CASES: tuple[tuple[str, str, int, int, int], ...] = (
    ('all pass', OK, 0, 0, 0),
    ('known red', f'{ROW.format(KNOWN)}Ran 3 tests', 1, 0, 1),
    ('other red', f'{ROW.format(OTHER)}Ran 3 tests', 1, 1, 0),
    (
        'known and other',
        f'{ROW.format(KNOWN)}{ROW.format(OTHER)}Ran 3 tests',
        1,
        1,
        1,
    ),
    ('error in set-up', f'ERROR: test_x ({OTHER})\nRan 3 tests', 1, 1, 0),
    ('died', 'Killed', 137, 1, 0),
    ('died after a pass', OK, 139, 1, 0),
)


class JudgeTest(unittest.TestCase):
    """Only tests listed in KNOWN-RED.txt may fail without failing the run."""

    def test_cases(self) -> None:
        """Rows of one table test count as one test."""
        for title, output, code, failed, known in CASES:
            with self.subTest(title):
                module_result = run_all.parse_result(
                    'beryllug.a_test', output, code, frozenset((KNOWN,))
                )
                counts = (module_result.failed, len(module_result.known_red))
                self.assertEqual(counts, (failed, known))


class RunProcessTest(unittest.IsolatedAsyncioTestCase):
    """A test module that does not end."""

    async def test_timeout(self) -> None:
        """What it printed, and where it hangs, is not lost with it."""
        with tempfile.TemporaryFile() as log:
            code = await run_all.run_process(
                ('-c', HANG), Path.cwd(), log, TIMEOUT_S
            )
            log.seek(0)
            output = log.read()
        self.assertNotEqual(code, 0)
        self.assertIn(b'test_a ... ', output)
        self.assertIn(b'Current thread', output)


if __name__ == '__main__':
    unittest.main()
