"""Tests of documents that peers send compressed."""

import zlib
from unittest import TestCase, main, mock

import msgspec

from beryllug.router import store_exchange

MAX_BYTES = 1000
TABLE = msgspec.json.encode({'version': 2, 'text': 'x' * 100})
INVALID: tuple[tuple[str, bytes], ...] = (
    ('too large', zlib.compress(b'[%b1]' % (b'0,' * MAX_BYTES))),
    ('cut off', zlib.compress(TABLE)[:-9]),
    ('not compressed', TABLE),
    ('not JSON', zlib.compress(b'{')),
)


@mock.patch.object(store_exchange, 'MAX_DOCUMENT_BYTES', MAX_BYTES)
class StoreExchangeTest(TestCase):
    """The route table of a peer."""

    def setUp(self) -> None:
        self.known = mock.Mock()
        self.exchange = store_exchange.StoreExchange(self.known)

    def test_taken(self) -> None:
        """A table within the limit is put in force."""
        self.exchange.take_table(zlib.compress(TABLE), 'peer')
        spec = msgspec.json.decode(TABLE)
        self.known.take_table_spec.assert_called_once_with(spec, 'peer')

    def test_invalid(self) -> None:
        """A few bytes of a peer take all memory, or end what handles notes."""
        for title, compressed in INVALID:
            with self.subTest(title), self.assertLogs(level='ERROR'):
                self.exchange.take_table(compressed, 'peer')
            self.known.take_table_spec.assert_not_called()


if __name__ == '__main__':
    main()
