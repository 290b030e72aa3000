"""Tests of probes between processes, in virtual time."""

import unittest
from collections.abc import Iterable
from typing import Any

from beryllug.core import settings_data
from beryllug.core.peering import members, peering_data
from beryllug.drivers import answer_timeouts
from beryllug.kernel import log_lines
from beryllug.router import probes, roster


class _Peers:
    """Known processes; records which are called."""

    def __init__(self, name: str) -> None:
        self.roster = roster.Roster(name, log_lines.LineWriter(1))
        self.members = self.roster.members
        self.called: list[str] = []
        self.timeouts = answer_timeouts.AnswerTimeouts()

    def call_later(self, address: str) -> None:
        self.called.append(address)


class _Trials:
    """No roll-outs."""

    def rollouts(self) -> tuple[()]:
        return ()


class _Process:
    """A process that records what it sends."""

    def __init__(self, name: str) -> None:
        self.peers = _Peers(name)
        peers: Any = self.peers
        trials: Any = _Trials()
        cfg = settings_data.Router('', '', f'{name}:1', f'{name}:2', '', ())
        self.probes = probes.Probes(cfg, 'z1', peers, trials, self._send)
        self.state_note = peering_data.PeerNote(name, f'{name}:1')
        self.sent: list[tuple[str, peering_data.PeerNote]] = []

    def add_known(self, name: str, at: float) -> None:
        seen = members.KnownPeer(f'{name}:1', f'{name}:2', at, 'z1')
        members.record_peer(self.peers.members, name, seen)

    def _send(self, chosen: Iterable[str], note: peering_data.PeerNote) -> None:
        self.sent.extend((address, note) for address in chosen)


class ProbesTest(unittest.TestCase):
    """One process probes another."""

    def setUp(self) -> None:
        self.one = _Process('one')
        self.two = _Process('two')
        self.one.add_known('two', 0)
        self.two.add_known('six', 9)

    def test_answered(self) -> None:
        """A process that answers is not called, and both learn new peers."""
        self.one.probes.ask('two', self.one.state_note, 10)
        address, probe = self.one.sent.pop()
        self.assertEqual(address, 'two:2')
        self.two.probes.answer(probe, self.two.state_note, 10.01)
        self.two.probes.handle_note(probe, 10.01)
        address, answer = self.two.sent.pop()
        self.assertEqual(address, 'one:2')
        self.one.probes.handle_note(answer, 10.02)
        self.one.probes.call_overdue(11)
        self.assertEqual(self.one.peers.called, [])
        self.assertIn('six', self.one.peers.members.known)

    def test_lost(self) -> None:
        """A process that does not answer in time is called once, by RPC.

        A datagram may be lost. Declaring a process gone after one lost datagram
        would make all others forget it for a moment.
        """
        self.one.probes.ask('two', self.one.state_note, 10)
        for now, called in (
            (10.3, []),
            (10.5, ['two:1']),
            (10.8, ['two:1']),
        ):
            with self.subTest(now):
                self.one.probes.call_overdue(now)
                self.assertEqual(self.one.peers.called, called)

    def test_late(self) -> None:
        """An answer that is late or duplicated changes nothing."""
        self.one.probes.ask('two', self.one.state_note, 10)
        _, probe = self.one.sent.pop()
        self.two.probes.answer(probe, self.two.state_note, 10.01)
        self.two.probes.handle_note(probe, 10.01)
        _, answer = self.two.sent.pop()
        self.one.probes.call_overdue(10.5)
        for now in (10.6, 10.7):
            self.one.probes.handle_note(answer, now)
        self.one.probes.call_overdue(12)
        self.assertEqual(self.one.peers.called, ['two:1'])


if __name__ == '__main__':
    unittest.main()
