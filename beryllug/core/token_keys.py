"""Keys that sign session tokens, and their rotation.

All control processes use the same list, which is stored in the platform. A new
key is added long before it signs. If it signed at once, a process that does
not have it yet would reject the session's token as forged and lose the pinned
version. The signing key follows from the list and the time, so one write
rotates the keys.
"""

from typing import NamedTuple

from beryllug.core import rpc_data

KEY = 'beryllug/keys/session'
SPREAD_S = 300.0
SIGNS_S = 604800.0
ID_LENGTH = 8


class Key(NamedTuple):
    """A signing key.

    Attributes:
        secret: Hex digits; the first 8 are its public id, the others the
            secret.
        made_at: When it was created, in seconds of the wall clock.
    """

    secret: str
    made_at: float


class KeyList(NamedTuple):
    """The stored keys, oldest first; at most two."""

    keys: tuple[Key, ...] = ()


def is_due(listed: KeyList, now: float) -> bool:
    """Return whether a new key must be created."""
    if not listed.keys:
        return True
    return now - listed.keys[-1].made_at >= SIGNS_S


def add_key(listed: KeyList, secret: str, now: float) -> KeyList:
    """Return a list of the latest old key and a new one.

    Args:
        listed: The current keys.
        secret: Hex digits of the new key, from a random source.
        now: Seconds of the wall clock.
    """
    return KeyList((*listed.keys[-1:], Key(secret, now)))


def valid_keys(listed: KeyList, now: float) -> tuple[rpc_data.TokenKey, ...]:
    """Return the valid keys, the signing one first.

    Args:
        listed: The keys.
        now: Seconds of the wall clock.
    """
    distributed = [key for key in listed.keys if now - key.made_at >= SPREAD_S]
    # Until a key has been distributed, the oldest is known to most processes.
    signing = distributed[-1:] or list(listed.keys[:1])
    others = [key for key in listed.keys if key not in signing]
    return tuple(_token_key(key) for key in (*signing, *others))


def _token_key(key: Key) -> rpc_data.TokenKey:
    key_id = key.secret[:ID_LENGTH]
    return rpc_data.TokenKey(key_id, bytes.fromhex(key.secret[ID_LENGTH:]))
