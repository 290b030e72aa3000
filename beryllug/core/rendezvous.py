"""Rendezvous hashing: all processes choose alike without communication.

Each member has a score for each name; the member with the highest score owns
the name. When a member joins or leaves, only the names that it gains or had
move.
"""

import zlib
from collections.abc import Iterable

_MULTIPLIER = 0x9E3779B97F4A7C15
_UINT64_MASK = 0xFFFFFFFFFFFFFFFF
_MIX_SHIFT = 29
_HALF_BITS = 32


def score(name: str, member: str) -> int:
    """Return the score of a member for a name."""
    hashed = zlib.crc32(name.encode()) << _HALF_BITS | zlib.crc32(
        member.encode()
    )
    for _ in range(2):
        hashed = (hashed ^ hashed >> _MIX_SHIFT) * _MULTIPLIER & _UINT64_MASK
    return hashed


def unit_hash(name: str) -> float:
    """Return a hash of a name in [0, 1), equal in all processes."""
    return score(name, '') / (_UINT64_MASK + 1)


def order(name: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending score for a name."""
    return sorted(
        members, key=lambda member: (score(name, member), member), reverse=True
    )
