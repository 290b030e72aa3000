"""Tests of configuration updates and of the session keys."""

import itertools
import unittest

from beryllug.core import config_data, config_state, document_parts, token_keys

NEVER = config_state.NEVER
DOCUMENT = config_data.Document(
    pools=(config_data.Pool('p', config_data.PoolKind.ENGINE, 4),)
)

# Last contact with the platform, with a peer, now, whether work is accepted.
ACCEPTS: tuple[tuple[float, float, float, bool], ...] = (
    (NEVER, NEVER, 0, False),
    (0, NEVER, 10, True),
    (0, NEVER, 10.1, False),
    (0, 500, 510, True),
    (500, 0, 510, True),
    (500, 500, 511, False),
)

# Title, age of each key in seconds, ids of the valid keys, signing key first.
KEYS: tuple[tuple[str, tuple[float, ...], tuple[str, ...]], ...] = (
    ('none', (), ()),
    ('first, just made', (0,), ('0',)),
    ('second, just made', (700, 299), ('0', '1')),
    ('second, known', (700, 300), ('1', '0')),
    ('two at once', (20, 10), ('0', '1')),
)


class StateTest(unittest.TestCase):
    """Revisions, contact with others and lists of parts."""

    def test_newer(self) -> None:
        """Only a higher revision is accepted, whatever else differs."""
        held = config_state.ProcessConfig(5)
        for revision, is_accepted in ((4, False), (5, False), (6, True)):
            with self.subTest(revision):
                offered = config_state.ProcessConfig(revision, ('x',))
                found = config_state.newer(held, offered)
                self.assertEqual(found is offered, is_accepted)

    def test_may_accept(self) -> None:
        """Contact with the platform or a peer within the bound suffices."""
        for platform_at, peer_at, now, expected in ACCEPTS:
            with self.subTest(platform=platform_at, peer=peer_at, now=now):
                contact = config_state.Contact(platform_at, peer_at)
                accepts = config_state.may_accept(contact, now, 10)
                self.assertEqual(accepts, expected)

    def test_splice(self) -> None:
        """A splice transforms any list into any other."""
        lists = [
            digits
            for length in range(4)
            for digits in itertools.product('ab', repeat=length)
        ]
        for old, new in itertools.product(lists, lists):
            change = config_state.splice(old, new)
            self.assertEqual(config_state.apply_splice(old, change), new)
        one = config_state.splice('abcde', 'abxde')
        self.assertEqual(one, config_state.Splice(2, 2, ('x',)))

    def test_hold(self) -> None:
        """A document is rebuilt from its parts; other bytes are rejected."""
        parts = document_parts.split(DOCUMENT)
        chunks = {part.digest: part.content for part in parts}
        held = config_state.build_config(
            3, chunks, config_state.ProcessConfig()
        )
        self.assertEqual((held.revision, held.document), (3, DOCUMENT))
        again = config_state.build_config(4, chunks, held)
        self.assertIs(again.document.pools[0], held.document.pools[0])
        for wrong in (b'[]', b'{"pools":[1]}', b'{"models":[{}]}', b'\xff'):
            with self.subTest(wrong), self.assertRaises(ValueError):
                config_state.build_config(
                    1, {'x': wrong}, config_state.ProcessConfig()
                )


class TokenKeysTest(unittest.TestCase):
    """Rotation of the keys of session tokens."""

    def test_in_use(self) -> None:
        """A new key verifies at once and signs once it is distributed."""
        for title, ages, expected in KEYS:
            with self.subTest(title):
                listed = token_keys.KeyList(
                    tuple(
                        token_keys.Key(f'{index:08}ff', 1000 - age)
                        for index, age in enumerate(ages)
                    )
                )
                found = token_keys.valid_keys(listed, 1000)
                ids = tuple(str(int(key.key_id)) for key in found)
                self.assertEqual(ids, expected)

    def test_rotation(self) -> None:
        """A new key is added when due; the previous one stays valid."""
        listed = token_keys.KeyList()
        self.assertTrue(token_keys.is_due(listed, 0))
        for rotation in range(3):
            now = rotation * token_keys.SIGNS_S
            self.assertTrue(token_keys.is_due(listed, now))
            listed = token_keys.add_key(listed, f'{rotation:064}', now)
            self.assertFalse(token_keys.is_due(listed, now + 1))
        creation_times = [key.made_at for key in listed.keys]
        self.assertEqual(
            creation_times, [token_keys.SIGNS_S, 2 * token_keys.SIGNS_S]
        )


if __name__ == '__main__':
    unittest.main()
