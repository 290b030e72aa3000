"""Tests of session tokens."""

import unittest

from beryllug.core import config_data, rpc_data, session_token

PIN = session_token.Pin(
    'resort', 's1', 'rosters', config_data.VersionRef('rosters', 'v2')
)
OLD = rpc_data.TokenKey('k1', b'old secret')
NEW = rpc_data.TokenKey('k2', b'new secret')
FORGED = rpc_data.TokenKey('k1', b'another secret')

CASES: tuple[
    tuple[str, rpc_data.TokenKey, tuple[rpc_data.TokenKey, ...], bool], ...
] = (
    ('same key', OLD, (OLD,), True),
    ('while the key is rotated', OLD, (NEW, OLD), True),
    ('after the rotation', OLD, (NEW,), False),
    ('forged', FORGED, (NEW, OLD), False),
    ('no keys', OLD, (), False),
)


class SessionTokenTest(unittest.TestCase):
    """A token is accepted only unchanged and with a valid key."""

    def test_keys(self) -> None:
        """Two keys are valid while one is rotated."""
        for title, signer, valid, accepted in CASES:
            with self.subTest(title):
                token = session_token.sign(PIN, (signer,))
                pin = session_token.verify(token, valid)
                self.assertEqual(pin, PIN if accepted else None)

    def test_changed(self) -> None:
        """A token with any one character changed is refused."""
        token = session_token.sign(PIN, (OLD,))
        for index, character in enumerate(token):
            swapped = 'B' if character == 'A' else 'A'
            changed = token[:index] + swapped + token[index + 1 :]
            with self.subTest(index):
                pin = session_token.verify(changed, (OLD,))
                self.assertIsNone(pin)

    def test_garbage(self) -> None:
        """Anything else is refused without an error."""
        for token in ('', 'v1.k1..', 'v1.k1.!!.x', 'x' * 5000, '....'):
            with self.subTest(token[:9]):
                self.assertIsNone(session_token.verify(token, (OLD,)))


if __name__ == '__main__':
    unittest.main()
