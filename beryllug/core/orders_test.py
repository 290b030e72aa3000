"""Tests of the orders that follow from a document, roll-outs and reports."""

import unittest
from typing import Any

from beryllug.core import config_data, orders, orders_data, view_data

A1 = config_data.VersionRef('a', '1')
A2 = config_data.VersionRef('a', '2')
A3 = config_data.VersionRef('a', '3')
TERMS = orders_data.OrderLimits(
    write_s=1, settle_s=7, grace_s=20, longest_s=600, at_once=2
)
NOW = 1000.0
KINDS = (orders_data.Load, orders_data.Unload, orders_data.Assert)
STOPPED = view_data.RolloutStatus('a', '2', 0, view_data.Verdict.STOPPED)


VersionRefs = set[config_data.VersionRef]
Situation = tuple[str, dict[str, VersionRefs], config_data.Document, Any]


def _pool(*, checks: bool) -> config_data.Pool:
    kind = config_data.PoolKind.ENGINE
    return config_data.Pool('p', kind, 8, checks_fencing=checks)


def _document(*withdrawn: config_data.VersionRef) -> config_data.Document:
    versions = tuple(
        config_data.Version(ref, 'p', 1, withdrawn=ref in withdrawn)
        for ref in (A1, A2)
    )
    return config_data.Document(models=(config_data.Model('a', versions),))


def _world(
    loaded: dict[str, set[config_data.VersionRef]],
    document: config_data.Document,
    busy: int = 0,
    rollouts: tuple[view_data.RolloutStatus, ...] = (),
) -> orders_data.PoolSnapshot:
    sights = tuple(
        orders_data.EngineReport(name, name, frozenset(refs), busy, NOW)
        for name, refs in loaded.items()
    )
    return orders_data.PoolSnapshot(document, rollouts, sights)


def _book(since: float = 0, withdrawn_at: float = 0) -> orders_data.SenderState:
    """Return the state of a sender whose token all engines accepted."""
    book = orders_data.SenderState(3, since, asserted={'x', 'y', 'z'})
    book.withdrawn = {A1: withdrawn_at, A2: withdrawn_at}
    return book


class StepsTest(unittest.TestCase):
    """The orders in several situations; the engines are x, y and z."""

    def test_situations(self) -> None:
        """Each situation leads to the orders in the table."""
        both = {A1, A2}
        live = _document()
        without_a2 = _document(A2)
        load_x = orders_data.Load('x', A2)
        load_y = orders_data.Load('y', A2)
        unload_x = orders_data.Unload('x', A2)
        cases: tuple[Situation, ...] = (
            ('as desired', {'x': both, 'y': both}, live, set()),
            ('candidate missing', {'x': both, 'y': {A1}}, live, {load_y}),
            ('nothing', {'x': set()}, without_a2, {orders_data.Load('x', A1)}),
            ('withdrawn', {'x': both}, without_a2, {unload_x}),
            ('not declared', {'x': {A1, A2, A3}}, live, set()),
            ('two at once', dict.fromkeys('xyz', {A1}), live, 2),
            ('unloads one by one', dict.fromkeys('xyz', both), without_a2, 1),
            ('both ways', {'x': {A1}, 'y': both}, live, {load_x}),
        )
        for title, loaded, document, expected in cases:
            with self.subTest(title):
                world = _world(loaded, document)
                chosen = orders.steps(
                    _book(), _pool(checks=True), world, TERMS, NOW
                )
                if isinstance(expected, int):
                    self.assertEqual(len(chosen), expected)
                else:
                    self.assertEqual(set(chosen), expected)

    def test_stopped_candidate_stays(self) -> None:
        """A stopped candidate is neither loaded nor unloaded."""
        loaded = {'x': {A1, A2}, 'y': {A1}}
        world = _world(loaded, _document(), rollouts=(STOPPED,))
        pool = _pool(checks=True)
        self.assertEqual(orders.steps(_book(), pool, world, TERMS, NOW), [])

    def test_draining_of_withdrawn(self) -> None:
        """A withdrawn version is not unloaded while it may have requests.

        That would truncate their answers. It is unloaded when the engine is
        idle after the grace period, or a request's longest duration later.
        """
        cases = (
            ('within the grace time', NOW - 19, 0, False),
            ('idle after it', NOW - 21, 0, True),
            ('busy after it', NOW - 21, 1, False),
            ('busy for long', NOW - 621, 1, True),
        )
        for title, withdrawn_at, busy, expected in cases:
            with self.subTest(title):
                world = _world({'x': {A1, A2}}, _document(A2), busy)
                book = _book(withdrawn_at=withdrawn_at)
                chosen = orders.steps(
                    book, _pool(checks=True), world, TERMS, NOW
                )
                self.assertEqual(bool(chosen), expected)

    def test_last_copy(self) -> None:
        """One copy is kept on engines that ignore fencing tokens."""
        loaded = {name: {A1, A2} for name in 'xyz'}
        pool = _pool(checks=False)
        for left in (3, 2, 1):
            world = _world(loaded, _document(A2))
            chosen = orders.steps(_book(), pool, world, TERMS, NOW)
            self.assertEqual(len(chosen), int(left > 1))
            for step in chosen:
                loaded[step.server_id].discard(A2)
        kept = [name for name, refs in loaded.items() if A2 in refs]
        self.assertEqual(len(kept), 1)

    def test_new_sender_waits(self) -> None:
        """A new sender waits only for engines that ignore fencing tokens."""
        world = _world({'x': {A1}}, _document())
        for checks, age_s, expected in (
            (True, 0, True),
            (False, 6.9, False),
            (False, 7, True),
        ):
            with self.subTest(checks=checks, age_s=age_s):
                book = _book(since=NOW - age_s)
                chosen = orders.steps(
                    book, _pool(checks=checks), world, TERMS, NOW
                )
                self.assertEqual(bool(chosen), expected)

    def test_repetition(self) -> None:
        """An order is repeated only on a later report, with backoff."""
        step = orders_data.Load('x', A2)
        for title, attempts, sent_at, expected in (
            ('just sent', 1, NOW - 1, False),
            ('report is later', 1, NOW - 6, True),
            ('third time', 3, NOW - 19, False),
            ('report is older', 1, NOW + 1, False),
        ):
            with self.subTest(title):
                book = _book()
                book.tried[step] = orders_data.SentOrder(
                    sent_at, attempts, True
                )
                world = _world({'x': {A1}}, _document())
                now = max(NOW, sent_at + 6 * (sent_at > NOW))
                chosen = orders.steps(
                    book, _pool(checks=True), world, TERMS, now
                )
                self.assertEqual(chosen == [step], expected)

    def test_kinds_differ(self) -> None:
        """Orders of different kinds for one engine and version differ."""
        made = {kind('x', A1) for kind in KINDS}
        self.assertEqual(len(made), len(KINDS))

    def test_is_loaded(self) -> None:
        """A version is loaded if any engine reports it."""
        loads = [view_data.ServerLoad('x', 0, 0, NOW, (A1,))]
        self.assertTrue(orders.is_loaded(A1, loads))
        self.assertFalse(orders.is_loaded(A2, loads))

    def test_token_is_sent(self) -> None:
        """An engine that needs no change is sent the new token."""
        book = orders_data.SenderState(4, 0)
        world = _world({'x': {A1, A2}}, _document())
        pool = _pool(checks=True)
        chosen = orders.steps(book, pool, world, TERMS, NOW)
        self.assertEqual(chosen, [orders_data.Assert('x', A1)])
        orders.accepted(book, chosen[0])
        self.assertEqual(orders.steps(book, pool, world, TERMS, NOW), [])


if __name__ == '__main__':
    unittest.main()
