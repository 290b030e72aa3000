"""Tests of what a process learns that starts after a store's restore.

After a restore from an older copy, running processes hold what the copy lacks
for a while; a newly started one can learn it only from them.
"""

import types
import unittest
from collections.abc import Mapping
from typing import Any

from beryllug.core import stamps
from beryllug.core.peering import peering_data
from beryllug.drivers import store_data, store_era
from beryllug.kernel import log_lines
from beryllug.router import (
    directory,
    store_exchange,
    order_list,
    server_list,
    store_returns_test,
    zone_list,
)

ZONE = 'b'
OLD = stamps.stamp(1, 50)
NEW = stamps.stamp(2, 20)
NOW = 100.0
# Seconds between the restore and the start of the other process.
START_DELAY_S = 6.0
HOLD_ENDS = NOW + stamps.RESTORE_HOLD_S
DIGEST = peering_data.Digest('one', '127.0.0.1:1', '127.0.0.1:2')
COPY = types.MappingProxyType(
    {'stays': 'ready', 'leaves': 'ready', 'goes': 'ready'}
)


class _NullWriter(log_lines.LineWriter):
    """Discards log lines."""

    def __init__(self) -> None:
        """Open no file."""

    def write(self, event: str, **fields: object) -> None:
        """Discard a line."""


class HeldTest(unittest.TestCase):
    """One process that saw the restore, and one that starts after it."""

    def setUp(self) -> None:
        """Give the first process data that the restored copy lacks."""
        self.one = _known()
        _list_before(self.one)
        _list_copy(self.one, NOW)
        self.other = _known()

    def test_told(self) -> None:
        """A late starter holds against the copy what its peer holds, as long.

        Otherwise it would take the restored copy for current, or go on holding
        against it after the peer has stopped.
        """
        start = NOW + START_DELAY_S
        for title, before in (
            ('nothing is known yet', False),
            ('the store was listed', True),
        ):
            with self.subTest(title):
                self.other = _known()
                if before:
                    _list_copy(self.other, start)
                self._exchange(start)
                self._assert_held(start)
                _list_copy(self.other, start)
                self._assert_held(start)
                self._exchange(HOLD_ENDS + 0.1)
                self._assert_copy(HOLD_ENDS + 0.1)

    def test_told_what_is_held(self) -> None:
        """After peers compared, a leaving server was put back to work."""
        _list_before(self.other)
        _list_copy(self.other, NOW)
        self._exchange(NOW)
        self._assert_held(NOW)
        _list_copy(self.other, NOW)
        self._assert_held(NOW)

    def test_written_again(self) -> None:
        """What was written since the restore wins over a peer that is behind.

        Otherwise the peer's held data would undo the new entries.
        """
        start = NOW + START_DELAY_S
        _list_copy(self.other, start)
        changes = (_state_change('leaves', 'ready', NEW + 1),)
        self.other.servers.changed(store_data.Changes(changes, NEW + 1), start)
        self.other.zones.take((ZONE,), NEW + 1, 'store', start)
        self.other.zones.take((), NEW + 2, 'store', start)
        written = store_data.Change(_orders('v2', NEW + 1).found[0], False)
        self.other.orders.changed(
            store_data.Changes((written,), NEW + 1), start
        )
        self._exchange(start)
        self.assertEqual(_usable(self.other, start), set(COPY))
        self.assertEqual(self.other.zones.evacuated, set())
        self.assertEqual(_target(self.other), 'v2')

    def test_nothing_held(self) -> None:
        """Digests have no held data without a restore or after the hold."""
        for known, now in ((_known(), NOW), (self.one, HOLD_ENDS + 0.1)):
            digest = store_exchange.StoreExchange(known).add_missing(
                DIGEST, peering_data.NOTHING_KNOWN, now
            )
            self.assertEqual(digest.held, peering_data.NOTHING_HELD)

    def _exchange(self, now: float) -> None:
        given = store_exchange.StoreExchange(self.one)
        taken = store_exchange.StoreExchange(self.other)
        mine = DIGEST._replace(
            versions=given.versions(), evacuated=given.evacuated()
        )
        taken.apply(given.add_missing(mine, taken.versions(), now), now)

    def _assert_held(self, now: float) -> None:
        self.assertEqual(_usable(self.other, now), {'stays'})
        self.assertEqual(self.other.zones.evacuated, {ZONE})
        self.assertEqual(_target(self.other), 'v3')

    def _assert_copy(self, now: float) -> None:
        self.other.zones.release_expired(now)
        self.assertEqual(_usable(self.other, now), set(COPY))
        self.assertEqual(self.other.zones.evacuated, set())


def _known() -> directory.Directory:
    api: Any = types.SimpleNamespace(eras=store_era.StoreEra())
    lines = _NullWriter()
    return directory.Directory(
        api,
        server_list.ServerList(1, lines),
        order_list.OrderList(lines),
        zone_list.ZoneList(lines),
        lines,
    )


def _list_before(known: directory.Directory) -> None:
    """List what the copy has, and then what it lacks."""
    known.servers.listed(_servers(COPY, OLD - 3), 0)
    changes = (
        _state_change('leaves', 'draining', OLD - 1),
        _removal('goes', OLD),
    )
    known.servers.changed(store_data.Changes(changes, OLD), 0)
    known.zones.take((ZONE,), OLD, 'store', 0)
    for number, target in enumerate(('v2', 'v3')):
        known.orders.listed(_orders(target, OLD + number), 0)


def _list_copy(known: directory.Directory, now: float) -> None:
    known.servers.listed(_servers(COPY, NEW), now)
    known.zones.take((), NEW, 'store', now)
    known.orders.listed(_orders('v2', NEW), now)


def _servers(states: Mapping[str, str], stamped: int) -> store_data.Listing:
    found = (
        store_returns_test.stored(name, state, stamped)
        for name, state in states.items()
    )
    return store_data.Listing(tuple(found), stamped)


def _state_change(name: str, state: str, stamped: int) -> store_data.Change:
    found = store_returns_test.stored(name, state, stamped)
    return store_data.Change(found, is_deleted=False)


def _removal(name: str, stamped: int) -> store_data.Change:
    found = store_returns_test.stored(name, 'ready', stamped)
    return store_data.Change(found, is_deleted=True)


def _orders(target: str, stamped: int) -> store_data.Listing:
    spec = store_returns_test.order_of(target)
    stored = store_data.StoredObject('pool', stamped, spec, None, False)
    return store_data.Listing((stored,), stamped)


def _usable(known: directory.Directory, now: float) -> set[str]:
    listed, _ = known.servers.usable(now)
    return {server.name for server in listed}


def _target(known: directory.Directory) -> str:
    order = known.orders.orders['pool']
    target: str = order.spec['target']
    return target


if __name__ == '__main__':
    unittest.main()
