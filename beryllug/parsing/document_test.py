"""Tests of the document parser."""

import json
import pathlib
import unittest

from beryllug.core import document_plain
from beryllug.parsing import document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
TEXT = (EXAMPLES / 'kesarvan.json').read_text()

# Title, replaced text, replacement, paths of the findings.
INVALID_EDITS: tuple[tuple[str, str, str, tuple[str, ...]], ...] = (
    ('no JSON', '{', '{,', ('document',)),
    ('truncated', TEXT[-20:], '', ('document',)),
    ('not an object', TEXT, '[]', ('document',)),
    ('NaN number', '"weight": 5', '"weight": NaN', ('accounts[0].weight',)),
    ('fraction', '"weight": 5', '"weight": 5.5', ('accounts[0].weight',)),
    ('text', '"weight": 5', '"weight": "5"', ('accounts[0].weight',)),
    ('bool', '"weight": 5', '"weight": true', ('accounts[0].weight',)),
    ('below', '"weight": 5', '"weight": 0', ('accounts[0].weight',)),
    ('unknown', '"weight": 5', '"w": 5', ('accounts[0].w',)),
    ('name', 'kutch-resorts', 'kutch resorts', ('accounts[0].account_id',)),
    ('long', 'kutch-resorts', 'k' * 64, ('accounts[0].account_id',)),
    ('hash', '9f86d0', 'F00D', ('accounts[0].key_hashes[0]',)),
    ('kind', '"plain"', '"stone"', ('pools[2].kind',)),
    ('share', '[1, 5, 25, 100]', '[101]', ('rollouts[0].stages[0]',)),
    ('none', '[1, 5, 25, 100]', '[]', ('rollouts[0].stages',)),
    ('ratio', '0.85', '1.01', ('cascades[0].quality_target',)),
    ('star', '"version": "v2"', '"version": "*"', ('models[0].versions[1]',)),
    ('missing', '"weight": 5', '"weight": 5}, {', ('accounts[1].allowed',)),
    ('path', '"/holds"', '"holds"', ('services[0].operations[1].path',)),
    ('duplicate', '"weight": 5', '"weight": 5, "weight": 6', ('document',)),
)


class DocumentTest(unittest.TestCase):
    """Valid documents, and the findings of invalid ones."""

    def test_example(self) -> None:
        """The example document parses, and its rendering parses to the same."""
        parsed, findings = document.parse(TEXT, 'd')
        self.assertEqual(findings, [])
        assert parsed is not None
        rendered = document_plain.render(parsed)
        again, findings = document.parse(json.dumps(rendered), 'd')
        self.assertEqual((again, findings), (parsed, []))
        self.assertEqual(document_plain.build(rendered), parsed)

    def test_invalid(self) -> None:
        """Each error is rejected with its path."""
        for title, old, new, paths in INVALID_EDITS:
            with self.subTest(title):
                self.assertIn(old, TEXT)
                parsed, findings = document.parse(TEXT.replace(old, new), 'd')
                self.assertIsNone(parsed)
                found = [item.path for item in findings]
                for path in paths:
                    self.assertTrue(
                        any(item.startswith(path) for item in found), found
                    )

    def test_all_at_once(self) -> None:
        """Errors at several paths are reported together."""
        text = TEXT.replace('"weight": 5', '"w": 5').replace('0.85', '2')
        _, findings = document.parse(text, 'd')
        self.assertEqual(
            {item.path for item in findings},
            {'accounts[0].w', 'cascades[0].quality_target'},
        )

    def test_bounds(self) -> None:
        """Oversized or deeply nested text is rejected with one finding."""
        nested = '[' * 100000
        padded = f'{TEXT}{" " * document.MAX_BYTES}'
        for title, text in (('nested', nested), ('padded', padded)):
            with self.subTest(title):
                parsed, findings = document.parse(text, 'd')
                self.assertIsNone(parsed)
                self.assertEqual(len(findings), 1)


if __name__ == '__main__':
    unittest.main()
