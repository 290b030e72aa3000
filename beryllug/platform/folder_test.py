"""Tests that the platform's names stay in this folder, and that it is small."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
FOLDER = PACKAGE / 'platform'
MAX_LINES = 900
PLATFORM_NAME = re.compile(
    r'(?<!x-)beryllug-(attempt|expect|not-exec|response-seal|deadline|'
    'prompt|token|weight|tenant)|/beryllug/(objects|ready|report)',
    re.IGNORECASE,
)


class FolderTest(unittest.TestCase):
    """Contents and size of the folder."""

    def test_names(self) -> None:
        """No module outside contains a name of the platform's protocol."""
        leaks = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob('*.py')
            if FOLDER not in path.parents
            and not path.name.endswith('_test.py')
            and PLATFORM_NAME.search(path.read_text(encoding='utf-8'))
        ]
        self.assertEqual(leaks, [])

    def test_small(self) -> None:
        """The folder only translates, so its size is limited."""
        lines = sum(
            len(path.read_text(encoding='utf-8').splitlines())
            for path in FOLDER.glob('*.py')
            if not path.name.endswith('_test.py')
        )
        self.assertLess(lines, MAX_LINES)


if __name__ == '__main__':
    unittest.main()
