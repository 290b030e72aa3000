"""Tests of what is held after a restore of the store, and for how long.

OLD is a stamp from before the restore, NEW one from after it.
"""

import unittest
from collections.abc import Iterable
from typing import Any

from beryllug.core import stamps
from beryllug.drivers import store_data, store_era
from beryllug.kernel import log_lines
from beryllug.router import (
    order_list,
    server_list,
    store_returns,
    zone_list,
)

ZONE = 'b'
OLD = stamps.stamp(1, 50)
NEW = stamps.stamp(2, 20)
# Seconds for which a server is doubted once its entry is gone; the times of the
# restore and of the end of the hold.
DOUBT_S = 1.0
NOW = 100.0
LATER = NOW + stamps.RESTORE_HOLD_S + 0.1


def _entry(name: str, state: str) -> dict[str, object]:
    return {
        'service': 'desk',
        'address': f'10.0.0.{len(name)}:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': state,
    }


def stored(name: str, state: str, stamped: int) -> store_data.StoredObject:
    return store_data.StoredObject(
        name, stamped, _entry(name, state), None, False
    )


def _list(states: dict[str, str], stamped: int) -> store_data.Listing:
    found = (stored(name, state, stamped) for name, state in states.items())
    return store_data.Listing(tuple(found), stamped)


def order_of(target: str) -> dict[str, Any]:
    return {'service': 'pool', 'target': target, 'duration_s': 12}


class _EventRecorder(log_lines.LineWriter):
    """Records the events of log lines."""

    def __init__(self) -> None:
        """Open no file."""
        self.events: list[str] = []

    def write(self, event: str, **fields: object) -> None:
        self.events.append(event)


class ServersTest(unittest.TestCase):
    """A process that knows a server of each kind before the restore."""

    def setUp(self) -> None:
        self.servers = server_list.ServerList(DOUBT_S, _EventRecorder())
        states = {'stays': 'ready', 'leaves': 'ready', 'goes': 'ready'}
        self.servers.listed(_list(states, OLD - 2), NOW - 20)
        changes = store_data.Changes(
            (
                store_data.Change(stored('leaves', 'draining', OLD - 1), False),
                store_data.Change(stored('goes', 'ready', OLD), True),
                store_data.Change(stored('new', 'ready', OLD), False),
            ),
            OLD,
        )
        self.servers.changed(changes, NOW - 10)
        self.copy = _list(states, NEW)

    def test_held(self) -> None:
        """Servers that are leaving or gone get no requests until the hold ends.

        The restored copy lists them as ready.
        """
        self.servers.listed(self.copy, NOW)
        self.assertEqual(self._usable(NOW), ({'stays'}, {'new'}))
        self.assertEqual(
            self._usable(LATER), ({'stays', 'leaves', 'goes'}, set())
        )

    def test_dropped_after_outage(self) -> None:
        """The copy listed a server again that had gone after an outage."""
        for ago_s, doubted in ((1, {'stays'}), (5, set())):
            with self.subTest(ago_s=ago_s):
                self.setUp()
                dropped_at = NOW - ago_s
                self.servers.reached(False, dropped_at - 1)
                self.servers.reached(True, dropped_at)
                change = store_data.Change(stored('stays', 'ready', OLD), True)
                self.servers.changed(
                    store_data.Changes((change,), OLD + 1), dropped_at
                )
                self._usable(NOW)
                self.servers.listed(self.copy, NOW)
                self.assertEqual(self._usable(NOW), (set(), doubted | {'new'}))
                self.assertEqual(self._usable(LATER - 0.2), (set(), doubted))
                self.assertIn('stays', self._usable(LATER)[0])

    def test_later_entry(self) -> None:
        """An entry that its server writes after the restore counts at once.

        Otherwise a server that is ready again would get no requests, and one
        that is leaving would get some when the hold ends.
        """
        for state, listed in (('ready', True), ('draining', False)):
            with self.subTest(state):
                self.setUp()
                self.servers.listed(self.copy, NOW)
                change = store_data.Change(
                    stored('leaves', state, NEW + 1), False
                )
                self.servers.changed(
                    store_data.Changes((change,), NEW + 1), NOW
                )
                self.assertIs('leaves' in self._usable(NOW)[0], listed)
                self.assertIs('leaves' in self._usable(LATER)[0], listed)

    def test_earlier_era(self) -> None:
        """Late data from before the restore is ignored."""
        self.servers.listed(self.copy, NOW)
        before = self.servers.revision
        late = stored('stays', 'draining', OLD + 5)
        self.servers.listed(_list({}, OLD + 5), NOW)
        change = store_data.Change(late, is_deleted=False)
        self.servers.changed(store_data.Changes((change,), OLD + 5), NOW)
        self.servers.apply_specs({}, OLD + 5, 'peer', NOW)
        for since in (OLD, OLD + 4):
            delta = server_list.Delta(since, OLD + 5, (('stays', None),))
            self.servers.apply_delta(delta, 'peer', NOW)
        delta = server_list.Delta(OLD, NEW + 1, (('stays', None),))
        self.assertFalse(self.servers.apply_delta(delta, 'peer', NOW))
        self.assertEqual(self.servers.revision, before)
        self.assertIn('stays', self._usable(NOW)[0])

    def test_from_peer(self) -> None:
        """The restored list is held back also when it comes from a peer."""
        self.servers.apply_specs(
            {each.name: each.spec for each in self.copy.found},
            NEW,
            'peer',
            NOW,
        )
        self.assertEqual(self._usable(NOW), ({'stays'}, {'new'}))

    def test_listed_again(self) -> None:
        """Further lists of the restored copy do not end the hold.

        An entry that was rewritten in the meantime counts at once.
        """
        specs = {each.name: each.spec for each in self.copy.found}
        self.servers.listed(self.copy, NOW)
        for number in (1, 2):
            self.servers.apply_specs(specs, NEW + number, 'peer', NOW)
            self.assertEqual(self._usable(NOW)[0], {'stays'})
        specs['goes'] = _entry('goes', 'ready') | {'slots': 5}
        self.servers.apply_specs(specs, NEW + 3, 'peer', NOW)
        self.assertEqual(self._usable(NOW)[0], {'stays', 'goes'})
        self.assertEqual(self._usable(LATER)[0], {'stays', 'goes', 'leaves'})

    def test_specs_for_peers(self) -> None:
        """Peers get the store's entry of a held server.

        If they got the held state instead, they would take the server to be
        leaving for ever.
        """
        self.servers.listed(self.copy, NOW)
        states = {
            name: spec['state'] for name, spec in self.servers.specs.items()
        }
        self.assertEqual(states['leaves'], 'ready')

    def _usable(self, now: float) -> tuple[set[str], set[str]]:
        listed, doubted = self.servers.usable(now)
        return ({each.name for each in listed}, {each.name for each in doubted})


class ZonesTest(unittest.TestCase):
    """A zone was evacuated after the copy was made."""

    def setUp(self) -> None:
        self.zones = zone_list.ZoneList(_EventRecorder())
        self.zones.take((ZONE,), OLD, 'store', NOW - 5)
        self.zones.take((), NEW, 'store', NOW)

    def test_held(self) -> None:
        """An evacuation that the copy lacks ends with the hold, not earlier."""
        for now, evacuated in ((NOW, {ZONE}), (LATER, set())):
            self.zones.release_expired(now)
            self.assertEqual(self.zones.evacuated, evacuated)
            self.assertEqual(self.zones.in_store, set())

    def test_written_again(self) -> None:
        """An evacuation written again after the restore outlasts the hold.

        Otherwise it would end ten seconds after the restore. One that was
        removed after the restore ends at once.
        """
        for steps, evacuated in (
            (((False, NEW + 1),), {ZONE}),
            (((False, NEW + 1), (True, NEW + 2)), set()),
            (((True, NEW + 1),), set()),
        ):
            with self.subTest(steps):
                self.setUp()
                self._change(steps)
                self.assertEqual(self.zones.evacuated, evacuated)
                self.zones.release_expired(LATER)
                self.assertEqual(self.zones.evacuated, evacuated)

    def test_twice(self) -> None:
        """A second restore during the hold extends it."""
        self.zones.take((), stamps.stamp(3, 1), 'store', LATER - 1)
        self.zones.release_expired(LATER)
        self.assertEqual(self.zones.evacuated, {ZONE})

    def _change(self, steps: Iterable[tuple[bool, int]]) -> None:
        for is_gone, stamped in steps:
            stored = store_data.StoredObject(ZONE, stamped, {}, None, False)
            change = store_data.Change(stored, is_gone)
            self.zones.changed(store_data.Changes((change,), stamped), NOW)


class OrdersTest(unittest.TestCase):
    """A roll-out order had replaced another one before the restore."""

    def setUp(self) -> None:
        self.orders = order_list.OrderList(_EventRecorder())
        for number, target in enumerate(('v2', 'v3')):
            self._list(order_of(target), OLD + number)

    def test_copy(self) -> None:
        """An order that had been replaced is not accepted from the copy."""
        table: tuple[tuple[Any, str], ...] = (
            (order_of('v2'), 'v3'),
            (order_of('v3'), 'v3'),
            (order_of('v4'), 'v4'),
            ([], 'v3'),
            ('v2', 'v3'),
            (order_of('v2') | {'target': []}, 'v3'),
        )
        for spec, target in table:
            with self.subTest(spec):
                self.setUp()
                self._list(spec, NEW)
                self.assertEqual(self._target(), target)

    def test_other_time(self) -> None:
        """A change of an order's duration does not mark it as replaced."""
        self._list(order_of('v3') | {'duration_s': 9}, OLD + 2)
        self._list(order_of('v3'), NEW)
        self.assertGreater(self.orders.revision(), OLD + 2)

    def test_ordered_again(self) -> None:
        """A version that is ordered again no longer counts as replaced."""
        self._list(order_of('v2'), OLD + 2)
        self._list(order_of('v2'), NEW)
        self.assertGreater(self.orders.revision(), OLD + 2)

    def _list(self, spec: Any, stamped: int) -> None:
        stored = store_data.StoredObject('pool', stamped, spec, None, False)
        self.orders.listed(store_data.Listing((stored,), stamped), NOW)

    def _target(self) -> str:
        order = self.orders.orders['pool']
        target: str = order.spec['target']
        return target


class ErasTest(unittest.TestCase):
    """How a process handles the eras that it learns of."""

    def test_returns(self) -> None:
        """Each new era counts once as a restore, except for the first."""
        lines = _EventRecorder()
        eras = store_era.StoreEra()
        returns = store_returns.StoreReturns(eras, lines)
        told: list[int] = []
        returns.on_returned = lambda: told.append(eras.era)
        for answer in ('4', '', '5', '5', 'x', '6'):
            eras.check_response(answer)
        eras.advance(5)
        eras.advance(7)
        self.assertEqual(told, [5, 6, 7])
        self.assertEqual(lines.events.count('store_returned'), 3)
        self.assertEqual(lines.events.count('store_era_unreadable'), 1)
        self.assertEqual(returns.dump(), {'era': 7, 'returns': 3})


if __name__ == '__main__':
    unittest.main()
