"""The current configuration of this process.

The platform watch and the peer exchange both offer revisions to it. Nothing
here awaits, so a revision is accepted or rejected atomically, however many
offers arrive concurrently.
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
    """The session keys and their object version in the platform."""

    version: int = 0
    raw: bytes = b''
    listed: token_keys.KeyList = token_keys.KeyList()


class ConfigHolder:
    """The current configuration and session keys of this process.

    Attributes:
        held: The configuration.
        keys: The session keys.
        contact: When the platform and a peer were last reached.
        counts: Offered revisions, by outcome and source.
    """

    def __init__(self) -> None:
        """Start without configuration and keys."""
        self.held = config_state.ProcessConfig()
        self.keys = HeldKeys()
        self.contact = config_state.Contact()
        self.counts: Counter[str] = Counter()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Call a function after each change of configuration or keys."""
        self._listeners.append(listener)

    def record_platform_contact(self, now: float) -> None:
        """Record that the platform answered; `now` in monotonic seconds."""
        self.contact = self.contact._replace(platform_at=now)

    def record_peer_contact(self, now: float) -> None:
        """Record that a peer was reached; `now` in monotonic seconds."""
        self.contact = self.contact._replace(peer_at=now)

    def accept_if_newer(
        self, offered: config_state.ProcessConfig, source: str
    ) -> bool:
        """Accept a configuration if it is newer; tell whether it was."""
        taken = config_state.newer(self.held, offered) is offered
        outcome = 'taken' if taken else 'refused'
        self.counts[f'{outcome}_from_{source}'] += 1
        if not taken:
            return False
        self.held = offered
        logging.info(
            'event=config_taken revision=%d source=%s', offered.revision, source
        )
        self._notify_listeners()
        return True

    def update_keys(self, version: int, raw: bytes) -> None:
        """Accept session keys if they are newer."""
        if version <= self.keys.version or not raw:
            return
        try:
            listed = _decode_keys(raw)
        except msgspec.DecodeError:
            logging.error('event=keys_unreadable version=%d', version)
            return
        self.keys = HeldKeys(version, raw, listed)
        self._notify_listeners()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state without documents and secrets."""
        return {
            'revision': self.held.revision,
            'parts': len(self.held.digests),
            'bytes': sum(map(len, self.held.chunks.values())),
            'keys_version': self.keys.version,
            'platform_heard_s_ago': _age(self.contact.platform_at, now),
            'peer_heard_s_ago': _age(self.contact.peer_at, now),
            'counts': dict(self.counts),
        }

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _age(heard_at: float, now: float) -> float | None:
    return None if heard_at == config_state.NEVER else round(now - heard_at, 3)
