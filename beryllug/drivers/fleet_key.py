"""Authentication of calls between the processes of a fleet.

Each call carries ``time:hmac``, where the HMAC covers method and time. Two
keys are valid at once: the first signs, both verify. A key is rotated by
adding it second everywhere, then moving it first, then removing the old one.
"""

import hashlib
import hmac

METADATA_KEY = 'x-beryllug-fleet'
MAX_SKEW_S = 300.0


class KeyRing:
    """The valid fleet keys; replaced in place when settings are reloaded."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        """Keep the keys; the first one signs."""
        self._keys = tuple(key.encode() for key in keys)

    def replace(self, keys: tuple[str, ...]) -> None:
        """Replace the keys; open connections are kept."""
        self._keys = tuple(key.encode() for key in keys)

    def sign(self, method: str, now: float) -> str:
        """Sign a call made at `now`, in wall-clock seconds."""
        timestamp = f'{now:.3f}'
        return f'{timestamp}:{_hmac(self._keys[0], method, timestamp)}'

    def verify(self, method: str, sent: str, now: float) -> bool:
        """Return whether a signature is valid and its time close to `now`."""
        timestamp, _, mac = sent.partition(':')
        try:
            age = abs(now - float(timestamp))
        except ValueError:
            return False
        if age > MAX_SKEW_S:
            return False
        return any(
            hmac.compare_digest(_hmac(key, method, timestamp), mac)
            for key in self._keys
        )


def _hmac(key: bytes, method: str, timestamp: str) -> str:
    text = f'{method}:{timestamp}'.encode()
    return hmac.new(key, text, hashlib.sha256).hexdigest()
