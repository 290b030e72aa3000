"""Tests of the chat body parser."""

import unittest

from beryllug.parsing import chat

MESSAGES = b'"messages":[{"role":"user","content":"hello"}]'

INVALID_BODIES: tuple[tuple[str, bytes, tuple[str, ...]], ...] = (
    ('empty', b'', ('$',)),
    ('not JSON', b'{', ('$',)),
    ('not UTF-8', b'{"model":"\xff"}', ('$',)),
    ('an array', b'[]', ('$',)),
    ('both missing', b'{}', ('$.model', '$.messages')),
    ('wrong type', b'{"model":5}', ('$.model',)),
    (
        'negative',
        b'{"model":"m","max_tokens":-1,%b}' % MESSAGES,
        ('$.max_tokens',),
    ),
    ('deep', b'[' * 100000, ('$',)),
)


class ChatTest(unittest.TestCase):
    """Valid and invalid request bodies."""

    def test_invalid(self) -> None:
        """Every finding names its path."""
        for title, raw, paths in INVALID_BODIES:
            with self.subTest(title):
                body, findings = chat.parse(raw)
                self.assertIsNone(body)
                self.assertEqual(tuple(item.path for item in findings), paths)

    def test_valid(self) -> None:
        """Unknown fields are ignored; typed content parts count as text."""
        parts = b'"messages":[{"content":[{"type":"text","text":"hello"}]}]'
        for title, messages in (('text', MESSAGES), ('parts', parts)):
            with self.subTest(title):
                raw = b'{"model":"m","stream":true,"seed":1,%b}' % messages
                body, findings = chat.parse(raw)
                self.assertEqual(findings, [])
                assert body is not None
                self.assertEqual((body.model, body.stream), ('m', True))
                self.assertEqual(body.prompt_chars, len('hello'))


if __name__ == '__main__':
    unittest.main()
