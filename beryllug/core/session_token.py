"""Session tokens: the signed version to which a session is pinned.

The caller keeps the token, so the pin survives the loss of any entry host and
a change of the roll-out's share. Its format is
``v1.<key id>.<payload>.<mac>``. Two keys are valid while a key is rotated, and
the first of the list signs.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from beryllug.core import config_data, rpc_data

FORMAT = 'v1'
PART_COUNT = 4
MAX_LENGTH = 1024


class Pin(NamedTuple):
    """The content of a token.

    Attributes:
        account_id: The client account for which it was issued.
        session_id: The caller's name of the session.
        model: The model or cascade that the caller named.
        version: The version that answered first.
    """

    account_id: str
    session_id: str
    model: str
    version: config_data.VersionRef


def sign(pin: Pin, keys: Sequence[rpc_data.TokenKey]) -> str:
    """Return the token of a pin; empty if there is no key."""
    if not keys:
        return ''
    payload = _to_text(msgspec.msgpack.encode(pin))
    mac = _mac(keys[0], payload)
    return '.'.join((FORMAT, keys[0].key_id, payload, mac))


def verify(token: str, keys: Sequence[rpc_data.TokenKey]) -> Pin | None:
    """Return the pin of a token, or None if the token is not valid."""
    parts = token.split('.')
    if (
        len(token) > MAX_LENGTH
        or len(parts) != PART_COUNT
        or parts[0] != FORMAT
    ):
        return None
    _, key_id, payload, mac = parts
    for key in keys:
        signed = key.key_id == key_id
        if signed and hmac.compare_digest(_mac(key, payload), mac):
            return _decode(payload)
    return None


def _decode(payload: str) -> Pin | None:
    try:
        return msgspec.msgpack.decode(_from_text(payload), type=Pin)
    except (msgspec.DecodeError, binascii.Error):
        return None


def _mac(key: rpc_data.TokenKey, payload: str) -> str:
    text = f'{FORMAT}.{key.key_id}.{payload}'.encode()
    return _to_text(hmac.new(key.secret, text, hashlib.sha256).digest())


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip('=')


def _from_text(text: str) -> bytes:
    padding = '=' * (-len(text) % 4)
    return base64.urlsafe_b64decode(text + padding)
