"""Connections to backend servers through peers that reach them."""

import random
import time
from collections.abc import Mapping

from beryllug.core.peering import members, relay_choice
from beryllug.drivers import answer_timeouts, fleet_key, http_link, relay

# Timeout in seconds of one peer, which itself has less time to connect, and of
# all that are asked for one connection.
PEER_TIMEOUT_S = 0.2
TOTAL_TIMEOUT_S = 0.35
BAD_GATEWAY = 502


class NotRelayedError(OSError):
    """No peer that was asked has connected to a server.

    Attributes:
        outcomes: What failed, by the address of the peer.
    """

    def __init__(self, outcomes: Mapping[str, str]) -> None:
        """Keep what failed."""
        listed = ', '.join(f'{peer}: {why}' for peer, why in outcomes.items())
        super().__init__(listed or 'no other process is known')
        self.outcomes = outcomes


class RelayPeers:
    """Opens connections through peers."""

    def __init__(
        self,
        known: members.Members,
        zone: str,
        keys: fleet_key.KeyRing,
        timeouts: answer_timeouts.AnswerTimeouts,
    ) -> None:
        """Bind to the known processes and the fleet keys."""
        self._known = known
        self._zone = zone
        self._keys = keys
        self._timeouts = timeouts
        self._state = relay_choice.RelayState()
        self._rng = random.Random(known.name)

    async def open(self, address: str) -> http_link.Link:
        """Connect to a server through a peer, some of them in turn.

        Raises:
            NotRelayedError: No peer that was asked has connected to it.
            TimeoutError: None has in time.
        """
        target = relay_choice.Target(self._zone, address)
        asked = relay_choice.choose(
            self._state, self._known, target, time.monotonic(), self._rng
        )
        outcomes: dict[str, str] = {}
        async with self._timeouts.within(TOTAL_TIMEOUT_S):
            for peer in asked:
                try:
                    link = await self._ask(peer, address)
                except OSError as exc:
                    outcomes[peer] = str(exc) or type(exc).__name__
                    self._record_failure(peer, address, exc)
                else:
                    relay_choice.forwarded(self._state, peer, time.monotonic())
                    return link
        raise NotRelayedError(outcomes)

    async def _ask(self, peer: str, address: str) -> http_link.Link:
        async with self._timeouts.within(PEER_TIMEOUT_S):
            return await relay.open_link(peer, address, self._keys)

    def _record_failure(self, peer: str, address: str, exc: OSError) -> None:
        now = time.monotonic()
        match exc:
            case relay.RefusedError(status=status) if status == BAD_GATEWAY:
                relay_choice.unreached(self._state, peer, address, now)
            case _:
                relay_choice.failed(self._state, peer, now)
