"""Tests that the made pages are in step with the code."""

import unittest

from beryllug.parsing import settings_rules
from beryllug.scripts import reference


class ReferenceTest(unittest.TestCase):
    """Pages in docs/ and what the code says."""

    def test_in_step(self) -> None:
        """A page that differs is made anew by the module itself."""
        for path, text in reference.pages().items():
            with self.subTest(path.name):
                self.assertEqual(path.read_text(encoding='utf-8'), text)

    def test_settings_are_complete(self) -> None:
        """Every key stands on the page with a meaning."""
        texts = {path.name: text for path, text in reference.pages().items()}
        for path in settings_rules.RULES:
            key = path.partition('.')[2]
            lines = [
                line
                for line in texts['SETTINGS.md'].splitlines()
                if line.startswith(f'| `{key}` |')
            ]
            with self.subTest(path):
                self.assertTrue(lines)
                self.assertFalse(any(line.endswith('|  |') for line in lines))


if __name__ == '__main__':
    unittest.main()
