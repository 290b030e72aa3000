"""Tests of messages between adjacent releases."""

import unittest
from typing import Any, NamedTuple

import msgspec

from beryllug.core import journal_data, rpc_data, view_data
from beryllug.drivers import wire


class _Old(NamedTuple):
    name: str
    size: int = 1


class _New(NamedTuple):
    name: str
    size: int = 1
    added: str = ''


class _OldOuter(NamedTuple):
    items: tuple[_Old, ...]
    one: _Old | None = None
    named: dict[str, _Old] = {}


class _NewOuter(NamedTuple):
    items: tuple[_New, ...]
    one: _New | None = None
    named: dict[str, _New] = {}
    added: int = 0


OLD = _Old('a', 2)
NEW = _New('a', 2, 'more')
CASES: tuple[tuple[str, Any, type[Any], Any], ...] = (
    ('same', OLD, _Old, OLD),
    ('new to old', NEW, _Old, OLD),
    ('old to new', OLD, _New, _New('a', 2)),
    (
        'nested',
        _NewOuter((NEW, NEW), NEW, {'x': NEW}, 5),
        _OldOuter,
        _OldOuter((OLD, OLD), OLD, {'x': OLD}),
    ),
    ('nested none', _NewOuter((), None, {}, 5), _OldOuter, _OldOuter(())),
)
BROKEN: tuple[tuple[str, bytes], ...] = (
    ('empty', b''),
    ('not MessagePack', b'\xc1'),
    ('wrong type', msgspec.msgpack.encode(['a', 'b'])),
    ('too short', msgspec.msgpack.encode([])),
    ('no array', msgspec.msgpack.encode(5)),
)


class WireTest(unittest.TestCase):
    """Both releases exchange messages during a rolling upgrade."""

    def test_releases(self) -> None:
        """Fields unknown to one side are dropped or take their default."""
        for title, sent, expected_type, expected in CASES:
            with self.subTest(title):
                decode = wire.decoder(expected_type)
                self.assertEqual(decode(wire.encode(sent)), expected)

    def test_broken(self) -> None:
        """Bytes that are not a message are still rejected."""
        decode = wire.decoder(_Old)
        for title, raw in BROKEN:
            with self.subTest(title), self.assertRaises(msgspec.DecodeError):
                decode(raw)

    def test_real_message(self) -> None:
        """Messages of a newer release are decoded by this one."""
        update = rpc_data.ViewUpdate(
            3, servers=(_server(),), loads=(), sent_at=1
        )
        longer = [*update, 'a field of the next release']
        decode = wire.decoder(rpc_data.ViewUpdate)
        self.assertEqual(decode(wire.encode(longer)), update)
        row = journal_data.Row(
            journal_data.RowKind.OUTCOME, 'r', 'a', 'k', 'h', 1, 'e'
        )
        batch = [[[*row, 'new']], 0, 'new']
        read = wire.decoder(rpc_data.OutcomeBatch)(wire.encode(batch))
        self.assertEqual(read, rpc_data.OutcomeBatch((row,)))


def _server() -> view_data.BackendServer:
    return view_data.BackendServer(
        's', '127.0.0.1:1', 'z', 'p', view_data.ServerState.LIVE
    )


if __name__ == '__main__':
    unittest.main()
