"""Tests of extracting the text of chat responses."""

import unittest

from beryllug.parsing import chat_response

STREAM = (
    b'data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n'
    b'data: {"choices":[{"delta":{"content":"warm "}}]}\n\n'
    b'data: {"choices":[{"delta":{"content":"oil"}}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":1}}\n\n'
    b'data: [DONE]\n\n'
)
CASES: tuple[tuple[str, bytes, str], ...] = (
    ('stream', STREAM, 'warm oil'),
    ('whole', b'{"choices":[{"message":{"content":"oil"}}]}', 'oil'),
    ('empty', b'', ''),
    ('not JSON', b'{', ''),
    ('no text', b'{"choices":[{"message":{"content":null}}]}', ''),
    ('truncated event', b'data: {"choices":[{"del', ''),
)


class ChatAnswerTest(unittest.TestCase):
    """The text of streamed and whole responses."""

    def test_text(self) -> None:
        """Every format yields its text; an invalid body yields none."""
        for title, body, expected in CASES:
            with self.subTest(title):
                self.assertEqual(chat_response.extract_text(body), expected)


if __name__ == '__main__':
    unittest.main()
