"""What this process holds of the configuration, for those who bring it.

The watch of the platform and the exchange with peers both bring revisions
here. Nothing here waits, so a revision is taken or refused in one step,
however many of them are on their way at once.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from absl import logging

from beryllug.core import config_state, token_keys

_decode_keys = msgspec.json.Decoder(token_keys.KeyList).decode

Listener = Callable[[], None]


class HeldKeys(NamedTuple):
    """The session keys and their version in the platform."""

    version: int = 0
    raw: bytes = b''
    listed: token_keys.KeyList = token_keys.KeyList()


class ConfigHolder:
    """The configuration and the session keys in force here.

    Attributes:
        held: The configuration.
        keys: The session keys.
        contact: When platform and peers were heard last.
        counts: Revisions brought here, by source and by what became of them.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self.held = config_state.Held()
        self.keys = HeldKeys()
        self.contact = config_state.Contact()
        self.counts: Counter[str] = Counter()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Call a function after each change of what is held."""
        self._listeners.append(listener)

    def heard_platform(self, now: float) -> None:
        """Take note that the platform answered; monotonic seconds."""
        self.contact = self.contact._replace(platform_at=now)

    def heard_peer(self, now: float) -> None:
        """Take note that a peer was reached; monotonic seconds."""
        self.contact = self.contact._replace(peer_at=now)

    def take(self, offered: config_state.Held, source: str) -> bool:
        """Take a configuration if it is newer; tell whether it was."""
        taken = config_state.newer(self.held, offered) is offered
        word = 'taken' if taken else 'refused'
        self.counts[f'{word}_from_{source}'] += 1
        if not taken:
            return False
        self.held = offered
        logging.info(
            'event=config_taken revision=%d source=%s', offered.revision, source
        )
        self._tell()
        return True

    def take_keys(self, version: int, raw: bytes) -> None:
        """Take session keys if they are newer."""
        if version <= self.keys.version or not raw:
            return
        try:
            listed = _decode_keys(raw)
        except msgspec.DecodeError:
            logging.error('event=keys_unreadable version=%d', version)
            return
        self.keys = HeldKeys(version, raw, listed)
        self._tell()

    def dump(self, now: float) -> dict[str, Any]:
        """Return what is held, without documents and secrets."""
        return {
            'revision': self.held.revision,
            'parts': len(self.held.digests),
            'bytes': sum(map(len, self.held.chunks.values())),
            'keys_version': self.keys.version,
            'platform_heard_s_ago': _age(self.contact.platform_at, now),
            'peer_heard_s_ago': _age(self.contact.peer_at, now),
            'counts': dict(self.counts),
        }

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _age(heard_at: float, now: float) -> float | None:
    return None if heard_at == config_state.NEVER else round(now - heard_at, 3)
