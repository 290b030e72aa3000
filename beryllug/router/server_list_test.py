"""Tests of the list of servers with invalid entries in the store."""

import io
import unittest
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from hypothesis import example, given, settings, strategies

from beryllug.drivers import store_data
from beryllug.kernel import log_lines
from beryllug.router import order_list, server_list

DOUBT_S = 1.5
NOW = 10.0
BORN = 1_700_000_000_000
ENTRY: Mapping[str, Any] = MappingProxyType(
    {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'sequence': 1,
        'born': BORN,
    }
)
ORDER: Mapping[str, Any] = MappingProxyType(
    {'service': 'pool', 'target': 'v2', 'duration_s': 12}
)
# Values of a wrong type, for one field or for the whole entry.
MALFORMED: tuple[Any, ...] = (
    None,
    '',
    'x' * 100_000,
    -1,
    1.5,
    True,
    [],
    {},
    ['a', {'b': 1}],
)
UNREACHABLE = (
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:080',
    '10.0.0.1:80\n',
    '10.0.0.256:80',
    '10.0.01:80',
    '10.0.0.1:\u0663',
    '\u0661.0.0.1:80',
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*ENTRY, 'x']), inner, max_size=4
        )
    ),
    max_leaves=8,
)


def _stored(name: str, spec: Any, revision: int = 7) -> store_data.StoredObject:
    return store_data.StoredObject(name, revision, spec, None, is_leaving=False)


class ServerListTest(unittest.TestCase):
    """The servers that the process uses after entries were read."""

    def setUp(self) -> None:
        self.out = io.BytesIO()
        self.lost: list[str] = []
        self.restarted: list[str] = []
        self.listed = server_list.ServerList(DOUBT_S, _EventRecorder(self.out))
        self.listed.on_lost = lambda instance, _: self.lost.append(instance)
        self.listed.on_restarted = lambda server: self.restarted.append(
            server.instance
        )

    def test_malformed_fields(self) -> None:
        """A field has a value of the wrong type, or is missing.

        The entry names no server and is logged once, however often the list is
        read; the valid entries beside it are kept.
        """
        for field in ('service', 'address', 'zone', 'slots', 'state', 'born'):
            for malformed in MALFORMED:
                with self.subTest(field=field, malformed=str(malformed)[:20]):
                    self._check_refused({**ENTRY, field: malformed})

    def test_missing_fields(self) -> None:
        """Required fields must be present, and numbers must not be strings."""
        for text in ('slots', 'born'):
            self._check_refused({**ENTRY, text: '7'})
        for field in ('service', 'address', 'zone', 'version', 'slots'):
            with self.subTest(field):
                rest = {key: ENTRY[key] for key in ENTRY if key != field}
                self._check_refused(rest)

    def test_unreachable_addresses(self) -> None:
        """Requests go to an address at which nothing can listen."""
        for address in UNREACHABLE:
            with self.subTest(address):
                self._check_refused({**ENTRY, 'address': address})

    @settings(max_examples=200, deadline=None)
    @example({**ENTRY, 'state': 'retired'})
    @example({**ENTRY, 'address': 'elsewhere:80'})
    @given(JSON_VALUES)
    def test_drawn(self, spec: Any) -> None:
        """Any invalid entry leaves the others unchanged."""
        self.setUp()
        self._take({'good': dict(ENTRY), 'drawn': spec})
        self.assertIn('good', self._usable())

    def test_overwritten(self) -> None:
        """A valid entry is overwritten by another writer, then restored.

        Meanwhile it names no server. Its server is doubted like one whose entry
        was deleted, since it may still be running.
        """
        self._take({'good': dict(ENTRY), 'hit': dict(ENTRY)})
        self._change('hit', {'service': 7})
        listed, doubted = self.listed.usable(NOW)
        self.assertEqual([each.name for each in listed], ['good'])
        self.assertNotIn('hit', self.listed.specs)
        self._change('hit', dict(ENTRY))
        listed, doubted = self.listed.usable(NOW)
        self.assertEqual([each.name for each in listed], ['good', 'hit'])
        self.assertEqual(doubted, [])

    def test_restart(self) -> None:
        """A server crashes and is listed again under its id.

        The new start is another instance, so no count and no suspicion of the
        earlier one applies, and the requests that ran there are known to be
        lost.
        """
        self._take({'s1': dict(ENTRY)})
        before = f's1@{BORN}'
        self._change('s1', {**ENTRY, 'born': BORN + 1})
        listed, _ = self.listed.usable(NOW)
        self.assertNotEqual([each.instance for each in listed], [before])
        self.assertEqual((self.lost, self.restarted), ([before], [before]))
        self._change('s1', dict(ENTRY))
        late, _ = self.listed.usable(NOW)
        self.assertEqual(late, listed)

    def test_told(self) -> None:
        """A peer gets only valid entries and ends with the same list."""
        self._take({'good': dict(ENTRY), 'bad': 3})
        other = server_list.ServerList(DOUBT_S, _EventRecorder(io.BytesIO()))
        other.apply_specs(self.listed.specs, 7, 'peer', NOW)
        self.assertEqual(other.usable(NOW), self.listed.usable(NOW))
        self.assertEqual(set(other.specs), {'good'})

    def test_orders(self) -> None:
        """Invalid orders start no roll-out; a valid one after them does."""
        orders = order_list.OrderList(_EventRecorder(self.out))
        cases: tuple[Any, ...] = (
            *MALFORMED,
            {},
            {**ORDER, 'duration_s': 'long'},
            {**ORDER, 'duration_s': -3},
            {**ORDER, 'target': 2},
            {**ORDER, 'service': 'another'},
        )
        for spec in cases:
            for _ in range(2):
                found = store_data.Listing((_stored('pool', spec),), 7)
                orders.listed(found, NOW)
            self.assertEqual(orders.orders, {})
        orders.listed(
            store_data.Listing((_stored('pool', dict(ORDER)),), 7), NOW
        )
        self.assertEqual(list(orders.orders), ['pool'])

    def _check_refused(self, spec: Any) -> None:
        self.setUp()
        for _ in range(3):
            self._take({'good': dict(ENTRY), 'bad': spec})
        self.assertEqual(self._usable(), ['good'])
        self.assertEqual(self.out.getvalue().count(b'server_refused'), 1)

    def _take(self, specs: dict[str, Any]) -> None:
        found = tuple(_stored(name, spec) for name, spec in specs.items())
        self.listed.listed(store_data.Listing(found, 7), NOW)

    def _change(self, name: str, spec: Any) -> None:
        change = store_data.Change(_stored(name, spec), is_deleted=False)
        changes = store_data.Changes((change,), self.listed.revision + 1)
        self.listed.changed(changes, NOW)

    def _usable(self) -> list[str]:
        listed, _ = self.listed.usable(NOW)
        return [server.name for server in listed]


class _EventRecorder(log_lines.LineWriter):
    """Records the events of log lines."""

    def __init__(self, out: io.BytesIO) -> None:
        super().__init__(1)
        self._out = out

    def write(self, event: str, **fields: object) -> None:
        """Record the event of one line."""
        self._out.write(f'{event}\n'.encode())


if __name__ == '__main__':
    unittest.main()
