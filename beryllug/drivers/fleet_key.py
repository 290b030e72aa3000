"""The key by which processes of the fleet know one another.

Each call between processes carries ``time:hmac`` over method and time. Two
keys are valid at once: the first signs, both verify, so a key is rotated by
adding it second everywhere, then moving it first, then dropping the old one.
"""

import hashlib
import hmac

METADATA_KEY = 'x-beryllug-fleet'
MAX_SKEW_S = 300.0


class KeyRing:
    """The valid fleet keys; replaced in place when settings are read anew."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        """Keep the keys, the signing one first."""
        self._keys = tuple(key.encode() for key in keys)

    def replace(self, keys: tuple[str, ...]) -> None:
        """Take new keys; open connections go on."""
        self._keys = tuple(key.encode() for key in keys)

    def sign(self, method: str, now: float) -> str:
        """Return the signature of a call made at `now`, in wall seconds."""
        stamp = f'{now:.3f}'
        return f'{stamp}:{_mac(self._keys[0], method, stamp)}'

    def verify(self, method: str, sent: str, now: float) -> bool:
        """Tell whether a signature is of a valid key and not too old."""
        stamp, _, mac = sent.partition(':')
        try:
            age = abs(now - float(stamp))
        except ValueError:
            return False
        if age > MAX_SKEW_S:
            return False
        return any(
            hmac.compare_digest(_mac(key, method, stamp), mac)
            for key in self._keys
        )


def _mac(key: bytes, method: str, stamp: str) -> str:
    text = f'{method}:{stamp}'.encode()
    return hmac.new(key, text, hashlib.sha256).hexdigest()
