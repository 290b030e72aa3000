"""Stamps: revisions of a store that may be restored from an older copy.

A stamp combines the era of the store (high bits) with a revision in one number.
All stamps of an era are higher than those of the previous era, although the
revisions restart at a lower value. If the store reports no era, the stamp
equals the revision.
"""

# Stores begin their counts where they like, such as at the time of day.
REVISION_BITS = 1024
_REVISION_COUNT = 1 << REVISION_BITS
# In messages between processes a stamp has 64 bits, see `pack`.
PACKED_REVISION_BITS = 40
PACKED_ERA_BITS = 24
_PACKED_REVISION_COUNT = 1 << PACKED_REVISION_BITS
_PACKED_ERA_COUNT = 1 << PACKED_ERA_BITS
SEPARATOR = '/'
# Seconds after a store was restored for which the state it had acknowledged
# before takes precedence over what it reports: by then the other processes
# have written their entries again.
RESTORE_HOLD_S = 10.0


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision in an era.

    Raises:
        ValueError: The revision is negative or too large.
    """
    if not 0 <= revision < _REVISION_COUNT:
        raise ValueError(f'revision of {revision.bit_length()} bits')
    return era * _REVISION_COUNT + revision


def era(stamped: int) -> int:
    """Return the era of a stamp."""
    return stamped // _REVISION_COUNT


def revision(stamped: int) -> int:
    """Return the revision of a stamp, as the store reports it."""
    return stamped % _REVISION_COUNT


def is_restored(stamped: int, before: int) -> bool:
    """Return whether a store was restored after a known stamp."""
    return 0 < era(before) < era(stamped)


def format_stamp(stamped: int) -> str:
    """Format a stamp as ``ERA/REVISION``."""
    return f'{era(stamped)}{SEPARATOR}{revision(stamped)}'


def parse_stamp(text: str) -> int:
    """Return a stamp that `format_stamp` has formatted.

    Raises:
        ValueError: The text is no stamp.
    """
    era_text, _, revision_text = text.partition(SEPARATOR)
    return stamp(int(era_text), int(revision_text))


def pack(stamped: int) -> int | None:
    """Return a stamp in 64 bits; None if it has more.

    Releases before this limit was known pack all stamps, so their packed
    stamps are ambiguous, see `unpack_ambiguous`.
    """
    packed_era, packed_revision = era(stamped), revision(stamped)
    if not packed_era:
        return stamped if stamped < _PACKED_REVISION_COUNT else None
    if packed_era >= _PACKED_ERA_COUNT:
        return None
    if packed_revision >= _PACKED_REVISION_COUNT:
        return None
    return packed_era * _PACKED_REVISION_COUNT + packed_revision


def unpack(packed: int) -> int:
    """Return a packed stamp."""
    return stamp(*divmod(packed, _PACKED_REVISION_COUNT))


def unpack_ambiguous(packed: int, newest: int) -> int:
    """Return a stamp that an older release has packed; 0 if it can't be told.

    A large revision has spilled into the era there. If no era is known here,
    the stamp is taken for one without an era, which any other replaces.

    Args:
        packed: The packed stamp.
        newest: The newest stamp that is known here.
    """
    if not era(newest):
        return packed
    if revision(newest) < _PACKED_REVISION_COUNT // 2:
        # Revisions of a restored store go back, so the era is no spill.
        return unpack(packed)
    unpacked = unpack(packed)
    return unpacked if era(unpacked) == era(newest) else 0
