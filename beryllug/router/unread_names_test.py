"""Tests of names that the platform's adapter does not know."""

import os
import unittest
from collections.abc import Mapping
from typing import Any

from beryllug.core.placement import servers_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, names, requests
from beryllug.router import dispatch, unread_names

SERVER = servers_data.Server(
    's1', 'pool', '10.0.0.1:80', 'a', 'v1', 6, servers_data.State.READY
)


class _Lines(log_lines.LineWriter):
    def __init__(self) -> None:
        super().__init__(os.open(os.devnull, os.O_WRONLY))
        self.kept: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.kept.append({'event': event, **fields})


class UnreadNamesTest(unittest.TestCase):
    """A new name from a server or the store is logged, within bounds."""

    def setUp(self) -> None:
        self.lines = _Lines()
        self.unread = unread_names.UnreadNames(self.lines)

    def test_headers(self) -> None:
        """An unknown header is logged once; known ones are not."""
        table: tuple[tuple[dict[str, str], tuple[str, ...]], ...] = (
            ({names.SEAL: 'x', 'date': 'x', names.LIMIT: '1'}, ()),
            ({'server-mood': 'calm'}, ('server-mood',)),
            ({'server-mood': 'grim', 'x-new': ''}, ('x-new',)),
        )
        for headers, logged in table:
            with self.subTest(headers=headers):
                before = len(self.lines.kept)
                self._hear(headers)
                found = [each['name'] for each in self.lines.kept[before:]]
                self.assertEqual(tuple(found), logged)

    def test_bounded(self) -> None:
        """A server that keeps sending new names can't fill log or memory."""
        for number in range(2 * unread_names.MAX_NAMES):
            self._hear({f'x-{number}': ''})
        self.assertEqual(len(self.lines.kept), unread_names.MAX_NAMES)
        self._hear({'y' * 10000: ''})
        self.assertEqual(len(self.lines.kept), unread_names.MAX_NAMES)

    def test_fields(self) -> None:
        """An unknown field of an entry or of a listed record is found."""
        table: tuple[tuple[object, frozenset[str]], ...] = (
            ({'service': 'pool', 'sequence': 1, 'models': []}, frozenset()),
            ({'service': 'pool', 'mood': 1}, frozenset(('mood',))),
            ({'routes': [{'name': 'a', 'new': 1}, 7]}, frozenset(('new',))),
            ([1], frozenset()),
            (None, frozenset()),
        )
        for spec, found in table:
            with self.subTest(spec=spec):
                self.assertEqual(documents.unknown_fields(spec), found)

    def _hear(self, headers: Mapping[str, str]) -> None:
        head = requests.head_of(200, headers)
        self.unread.heard(dispatch.AnswerHead(SERVER, head, 0, 0))


if __name__ == '__main__':
    unittest.main()
