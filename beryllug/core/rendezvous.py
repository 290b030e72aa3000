"""Rendezvous hashing: all processes choose alike without talking.

Each member scores each name; the highest score has it. When a member joins
or leaves, only the names it wins or had are moved.
"""

import zlib
from collections.abc import Iterable

_MIX = 0x9E3779B97F4A7C15
_MASK = 0xFFFFFFFFFFFFFFFF
_SHIFT = 29
_HALF = 32


def score(name: str, member: str) -> int:
    """Return the score of a member for a name."""
    mixed = zlib.crc32(name.encode()) << _HALF | zlib.crc32(member.encode())
    for _ in range(2):
        mixed = (mixed ^ mixed >> _SHIFT) * _MIX & _MASK
    return mixed


def share(name: str) -> float:
    """Return a number from 0 to 1 that is the same for a name everywhere."""
    return score(name, '') / (_MASK + 1)


def order(name: str, members: Iterable[str]) -> list[str]:
    """Return members by their preference for a name, the first preferred."""
    return sorted(
        members, key=lambda member: (score(name, member), member), reverse=True
    )
