"""Tests of splitting a stream into events."""

import unittest

from beryllug.drivers import event_split

CASES: tuple[tuple[str, tuple[bytes, ...], list[str], bool], ...] = (
    ('whole', (b'id: 1\ndata: a\n\n',), ['1'], False),
    ('two at once', (b'id: 1\n\nid: 2\n\n',), ['1', '2'], False),
    ('in pieces', (b'id: 1\nda', b'ta: a\n', b'\nid: 2\n'), ['1'], True),
    ('no id', (b'data: a\n\n',), [''], False),
    ('another first line', (b'weights: 2\nid: 7\n\n',), ['7'], False),
    ('cut off', (b'id: 1\ndata',), [], True),
)


class EventSplitterTest(unittest.TestCase):
    """Events are returned complete and unchanged."""

    def test_split(self) -> None:
        """Splits the chunks of each case."""
        for title, chunks, ids, has_rest in CASES:
            with self.subTest(title):
                splitter = event_split.EventSplitter()
                events = [
                    event for chunk in chunks for event in splitter.feed(chunk)
                ]
                self.assertEqual([event.event_id for event in events], ids)
                self.assertEqual(splitter.has_partial_event, has_rest)
                raw = b''.join(event.raw for event in events)
                self.assertTrue(b''.join(chunks).startswith(raw))


if __name__ == '__main__':
    unittest.main()
