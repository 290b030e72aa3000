"""Tests that the platform's words stay in their folder, and it small."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
FOLDER = PACKAGE / 'platform'
MOST_LINES = 900
WIRE = re.compile(
    r'(?<!x-)beryllug-(attempt|expect|not-exec|response-seal|deadline|'
    'prompt|token|weight|tenant)|/beryllug/(objects|ready|report)',
    re.IGNORECASE,
)


class FolderTest(unittest.TestCase):
    """What stands where."""

    def test_names(self) -> None:
        """No module outside knows a name of the platform's wire."""
        leaks = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob('*.py')
            if FOLDER not in path.parents
            and not path.name.endswith('_test.py')
            and WIRE.search(path.read_text(encoding='utf-8'))
        ]
        self.assertEqual(leaks, [])

    def test_small(self) -> None:
        """The folder translates and does no more."""
        lines = sum(
            len(path.read_text(encoding='utf-8').splitlines())
            for path in FOLDER.glob('*.py')
            if not path.name.endswith('_test.py')
        )
        self.assertLess(lines, MOST_LINES)


if __name__ == '__main__':
    unittest.main()
