"""The known processes of the role, and how they are learned."""

import time
from collections.abc import Callable, Iterable

from beryllug.core.peering import members, peering_data
from beryllug.kernel import log_lines

# Seconds since any process answered within which this one does not count as cut
# off.
RECENT_ANSWER_S = 2.0


class Roster:
    """Tracks the known processes and logs which ones come and go.

    Attributes:
        members: The known processes.
        on_gone: Called with the name of each process that this one found gone.
    """

    def __init__(self, name: str, lines: log_lines.LineWriter) -> None:
        """Start with this process alone."""
        self.members = members.Members(name)
        self.on_gone: Callable[[str], None] = _ignore_gone_peer
        self._lines = lines
        self._last_answer_at = float('-inf')

    def forget(self, now: float) -> None:
        """Drop processes that have been silent for too long."""
        for name in members.expire_peers(self.members, now):
            self._lines.write('peer_lost', peer=name, source='silence')

    def record_alive(self, name: str, seen: members.KnownPeer) -> None:
        """Record a sign of life of a process."""
        if members.record_peer(self.members, name, seen):
            self._lines.write('peer_found', peer=name, address=seen.address)

    def merge_peers(
        self, peers: Iterable[peering_data.Peer], now: float
    ) -> None:
        """Record signs of life that a peer has received from others."""
        longest_s = members.peer_timeout_s(self.members)
        for peer in peers:
            if peer.heard_ago_s < longest_s:
                at = now - peer.heard_ago_s
                seen = members.KnownPeer(
                    peer.address, peer.notes, at, peer.zone
                )
                self.record_alive(peer.name, seen)

    def record_gone(self, name: str, now: float) -> None:
        """Record that a process is gone, by its own word or another's."""
        if members.mark_gone(self.members, name, now):
            self._lines.write('peer_lost', peer=name, source='told')

    def reached(self) -> None:
        """Record that some process has answered."""
        self._last_answer_at = time.monotonic()

    def drop_unreachable(self, address: str) -> None:
        """Drop a process whose calls have failed, and report it as gone.

        A process that reaches nobody is itself cut off and reports nothing:
        over a link that is cut in one direction only, it could make others
        believe that all processes are gone.
        """
        now = time.monotonic()
        name = members.name_of(self.members, address)
        if name is None or not members.mark_gone(self.members, name, now):
            return
        self._lines.write('peer_lost', peer=name, source='called')
        if now - self._last_answer_at < RECENT_ANSWER_S:
            self.on_gone(name)


def _ignore_gone_peer(name: str) -> None:
    """Default of `on_gone`."""
