"""Tests of large numbers in messages between processes."""

import unittest

from hypothesis import given, strategies

from beryllug.core import stamps
from beryllug.core.canary import canary_data
from beryllug.core.peering import peering_data, stamp_fields

NUMBERS = strategies.integers(0, 2**70) | strategies.integers(
    0, 2**stamps.REVISION_BITS - 1
)
STAMPS = strategies.builds(stamps.stamp, NUMBERS, NUMBERS)
MAX_PACKED = 2**64
# An earlier release packs all revisions with 40 bits.
OLD_BITS = 40
OLD = 1 << OLD_BITS
# What an older release has packed, the newest stamp here, and what is read.
AMBIGUOUS: tuple[tuple[str, int, int, int], ...] = (
    ('no era here', 3 * OLD + 5, 0, 3 * OLD + 5),
    ('same era', 3 * OLD + 5, stamps.stamp(3, 9), stamps.stamp(3, 5)),
    ('restored', 4 * OLD + 5, stamps.stamp(3, 9), stamps.stamp(4, 5)),
    ('spilled', 3 * OLD + 2 * OLD, stamps.stamp(3, 2 * OLD), 0),
    ('spills now', 3 * OLD + OLD + 1, stamps.stamp(3, OLD - 1), 0),
    (
        'not yet',
        3 * OLD + OLD - 1,
        stamps.stamp(3, OLD - 2),
        stamps.stamp(3, OLD - 1),
    ),
)
PACKED: tuple[tuple[int, int], ...] = (
    (0, 5),
    (1, 1),
    (2**24 - 1, OLD - 1),
)


class StampFieldsTest(unittest.TestCase):
    """Notes and digests as they are sent and received."""

    @given(NUMBERS, strategies.lists(STAMPS, min_size=6, max_size=6))
    def test_same(self, table: int, stamped: list[int]) -> None:
        """Peers take a stamp for another one, as it has over 64 bits."""
        versions = peering_data.Versions(table, *stamped[:3])
        rollout = peering_data.RolloutProgress(
            'pool', 'v2', canary_data.Phase.TRIAL, 0, *stamped[3:5]
        )
        note = peering_data.PeerNote('a', '', versions=versions)
        note = note._replace(rollouts=(rollout,), since=stamped[5])
        sent = stamp_fields.pack_note(note)
        numbers = (*sent.versions, sent.since, *sent.rollouts[0][-2:])
        self._check_packed(numbers)
        received = stamp_fields.unpack_note(sent, stamped[0])
        self.assertEqual(received._replace(large=None), note)
        digest = peering_data.Digest('a', '', '', versions=versions)
        answered = stamp_fields.pack_digest(digest)
        self._check_packed(answered.versions)
        unpacked = stamp_fields.unpack_digest(answered, 0)
        self.assertEqual(unpacked._replace(large=None), digest)

    def test_older_release(self) -> None:
        """The store is refused, as an older release beside spills revisions."""
        for title, packed, newest, expected in AMBIGUOUS:
            with self.subTest(title):
                note = peering_data.PeerNote('a', '', since=packed)
                read = stamp_fields.unpack_note(note, newest)
                self.assertEqual(read.since, expected)

    def test_packed_as_before(self) -> None:
        """An older release can't read stamps that it could read before."""
        for era, revision in PACKED:
            with self.subTest(era=era, revision=revision):
                packed = stamps.pack(stamps.stamp(era, revision))
                self.assertEqual(packed, era * OLD + revision)

    def test_unreadable(self) -> None:
        """A note ends the handling of others, as its text is no number."""
        for text in ('', '1', 'x/1', '1/-1', '9' * 5000, '1/%d' % 2**1025):
            with self.subTest(text[:9]):
                large = (
                    peering_data.LargeNumber('since', text),
                    peering_data.LargeNumber('table', f'{text}x'),
                )
                note = peering_data.PeerNote('a', '', large=large)
                read = stamp_fields.unpack_note(note, 0)
                self.assertEqual((read.since, read.versions.table), (0, 0))

    def _check_packed(self, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            self.assertGreaterEqual(number, 0)
            self.assertLess(number, MAX_PACKED)


if __name__ == '__main__':
    unittest.main()
