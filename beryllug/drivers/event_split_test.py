"""Tests of splitting a stream into events."""

import unittest

from beryllug.drivers import event_split, http_data

MAX_BYTES = 1000
COMMENT = b': y\n\n'
CASES: tuple[tuple[str, tuple[bytes, ...], list[str], bool], ...] = (
    ('whole', (b'id: 1\ndata: a\n\n',), ['1'], False),
    ('two at once', (b'id: 1\n\nid: 2\n\n',), ['1', '2'], False),
    ('in pieces', (b'id: 1\nda', b'ta: a\n', b'\nid: 2\n'), ['1'], True),
    ('no id', (b'data: a\n\n',), [''], False),
    ('another first line', (b'weights: 2\nid: 7\n\n',), ['7'], False),
    ('cut off', (b'id: 1\ndata',), [], True),
)
# Title, an event, and whether it is kept.
SIZES: tuple[tuple[str, bytes, bool], ...] = (
    ('largest', b'%b\n\n' % (b'y' * (MAX_BYTES - 2)), True),
    ('too large', b'%b\n\n' % (b'y' * (MAX_BYTES - 1)), False),
    ('largest, lines', b'%b: \n\n' % (b': y\n' * 249), True),
    ('never ends', b'y' * 3 * MAX_BYTES, False),
)
# Bytes that arrive at a time.
STEPS = (1, 7, 999, 1000, 1001, 5000)


class EventSplitterTest(unittest.TestCase):
    """Events are returned complete and unchanged."""

    def test_split(self) -> None:
        """Splits the chunks of each case."""
        for title, chunks, ids, has_rest in CASES:
            with self.subTest(title):
                splitter = event_split.EventSplitter(MAX_BYTES)
                events = [
                    event for chunk in chunks for event in splitter.feed(chunk)
                ]
                self.assertEqual([event.event_id for event in events], ids)
                self.assertEqual(splitter.has_partial_event, has_rest)
                raw = b''.join(event.raw for event in events)
                self.assertTrue(b''.join(chunks).startswith(raw))

    def test_largest(self) -> None:
        """An event of the largest size is refused, or a larger one kept."""
        for title, event, is_kept in SIZES:
            for step in STEPS:
                with self.subTest(title, step=step):
                    self.assertEqual(_is_kept(event, step), is_kept)

    def test_endless_comments(self) -> None:
        """Comments without end are all sent to the caller."""
        splitter = event_split.EventSplitter(MAX_BYTES)
        for _ in range(MAX_BYTES // len(COMMENT)):
            splitter.feed(COMMENT)
        splitter.feed(b'data: a\n\n')
        with self.assertRaises(http_data.ExcessError):
            splitter.feed(COMMENT * MAX_BYTES)

    def test_held_comments(self) -> None:
        """Comments before the first event are an answer by themselves."""
        splitter = event_split.EventSplitter(MAX_BYTES, holds_comments=True)
        event = b'id: 1\ndata: a\n\n'
        self.assertEqual(splitter.feed(COMMENT * 2), [])
        raw = [
            each.raw for each in splitter.feed(COMMENT + event * 2 + COMMENT)
        ]
        self.assertEqual(raw, [COMMENT * 3 + event, event, COMMENT])
        self.assertEqual(
            [each.raw for each in splitter.feed(COMMENT)], [COMMENT]
        )

    def test_comments(self) -> None:
        """A server that sends comments only is taken for one that answers."""
        splitter = event_split.EventSplitter(MAX_BYTES)
        events = splitter.feed(b': a\n: b\n\n: c\ndata: d\n\n')
        self.assertEqual([each.has_fields for each in events], [False, True])


def _is_kept(event: bytes, step: int) -> bool:
    """Feed an event, and a second one, in pieces of some bytes."""
    splitter = event_split.EventSplitter(MAX_BYTES)
    sent = b'%bid: 2\n\n' % event
    found = []
    try:
        for start in range(0, len(sent), step):
            found.extend(splitter.feed(sent[start : start + step]))
    except http_data.ExcessError:
        return False
    return [each.raw for each in found] == [event, b'id: 2\n\n']


if __name__ == '__main__':
    unittest.main()
