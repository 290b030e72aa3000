"""The keys that sign session tokens, and their rotation.

All control processes hold the same list, kept in the platform. A new key is
added long before it signs: were it used at once, a process that hasn't heard
of it yet would take the session's token for a forgery and forget its version.
Which key signs follows from the list and the time, so one write rotates.
"""

from typing import NamedTuple

from beryllug.core import rpc_data

KEY = 'beryllug/keys/session'
SPREAD_S = 300.0
SIGNS_S = 604800.0
ID_LENGTH = 8


class Key(NamedTuple):
    """One key.

    Attributes:
        secret: Its hex digits; the first ones are its public id.
        made_at: When it was made, in seconds of the wall clock.
    """

    secret: str
    made_at: float


class KeyList(NamedTuple):
    """The keys in the platform, oldest first; two at most."""

    keys: tuple[Key, ...] = ()


def is_due(listed: KeyList, now: float) -> bool:
    """Tell whether a new key must be made."""
    if not listed.keys:
        return True
    return now - listed.keys[-1].made_at >= SIGNS_S


def renewed(listed: KeyList, secret: str, now: float) -> KeyList:
    """Return the list with a new key; of the old ones the latest stays.

    Args:
        listed: The present keys.
        secret: Hex digits of the new key, from a random source.
        now: Seconds of the wall clock.
    """
    return KeyList((*listed.keys[-1:], Key(secret, now)))


def in_use(listed: KeyList, now: float) -> tuple[rpc_data.TokenKey, ...]:
    """Return the keys that verify, the one that signs first.

    Args:
        listed: The keys.
        now: Seconds of the wall clock.
    """
    spread = [key for key in listed.keys if now - key.made_at >= SPREAD_S]
    # Before any key had its time to spread, the oldest is known to most.
    signing = spread[-1:] or list(listed.keys[:1])
    others = [key for key in listed.keys if key not in signing]
    return tuple(_token_key(key) for key in (*signing, *others))


def _token_key(key: Key) -> rpc_data.TokenKey:
    key_id = key.secret[:ID_LENGTH]
    return rpc_data.TokenKey(key_id, bytes.fromhex(key.secret[ID_LENGTH:]))
