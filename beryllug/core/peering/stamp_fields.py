"""Stamps and versions in messages between processes.

In a process they are numbers of any size. MessagePack has 64 bits, so a message
contains 0 for a larger one, and the number itself as a text under its name.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from beryllug.core import stamps
from beryllug.core.peering import peering_data

_VERSION_BITS = 64
_TABLE = 'table'
_SERVERS = 'servers'
_ORDERS = 'orders'
_ZONES = 'zones'
_SINCE = 'since'
_ANNOUNCED = 'announced'
_WRITTEN = 'written'

Numbers = tuple[peering_data.LargeNumber, ...]
Message = TypeVar('Message', peering_data.PeerNote, peering_data.Digest)


class Reader(NamedTuple):
    """Reads the numbers of a message.

    Attributes:
        large: Those of over 64 bits by name; None for an older release.
        newest: The newest stamp that is known here.
    """

    large: Mapping[str, str] | None
    newest: int

    def stamp(self, packed: int, *name: str) -> int:
        """Return a stamp; 0 if it can't be told."""
        if self.large is None:
            return stamps.unpack_ambiguous(packed, self.newest)
        text = self.large.get(_join(name))
        if text is None:
            return stamps.unpack(packed)
        return _parse(stamps.parse_stamp, text)

    def version(self, number: int, *name: str) -> int:
        """Return a version."""
        text = (self.large or {}).get(_join(name))
        return number if text is None else _parse(int, text)


class _Writer:
    """Packs the numbers of a message.

    Attributes:
        large: Those of over 64 bits.
    """

    def __init__(self) -> None:
        self.large: list[peering_data.LargeNumber] = []

    def stamp(self, stamped: int, *name: str) -> int:
        packed = stamps.pack(stamped)
        if packed is None:
            self._add(name, stamps.format_stamp(stamped))
        return packed or 0

    def version(self, number: int, *name: str) -> int:
        if number.bit_length() < _VERSION_BITS:
            return number
        self._add(name, str(number))
        return 0

    def _add(self, name: Iterable[str], text: str) -> None:
        self.large.append(peering_data.LargeNumber(_join(name), text))


def reader(large: Numbers | None, newest: int) -> Reader:
    """Return a reader of a message with these large numbers."""
    return Reader(None if large is None else dict(large), newest)


def pack_note(note: peering_data.PeerNote) -> peering_data.PeerNote:
    """Return a note as it is sent."""
    writer = _Writer()
    packed = _map_numbers(note, writer.stamp, writer.version)
    return packed._replace(
        since=writer.stamp(note.since, _SINCE), large=tuple(writer.large)
    )


def unpack_note(
    note: peering_data.PeerNote, newest: int
) -> peering_data.PeerNote:
    """Return a note that has been received.

    Args:
        note: The note.
        newest: The newest stamp that is known here.
    """
    numbers = reader(note.large, newest)
    unpacked = _map_numbers(note, numbers.stamp, numbers.version)
    return unpacked._replace(since=numbers.stamp(note.since, _SINCE))


def pack_digest(digest: peering_data.Digest) -> peering_data.Digest:
    """Return a digest as it is sent."""
    writer = _Writer()
    packed = _map_numbers(digest, writer.stamp, writer.version)
    return packed._replace(large=tuple(writer.large))


def unpack_digest(
    digest: peering_data.Digest, newest: int
) -> peering_data.Digest:
    """Return a digest that has been received; see `unpack_note`."""
    numbers = reader(digest.large, newest)
    return _map_numbers(digest, numbers.stamp, numbers.version)


def pack_stamps(
    stamped: Mapping[str, int],
) -> tuple[dict[str, int], Numbers]:
    """Return stamps as they are sent, and those of over 64 bits, by name."""
    writer = _Writer()
    packed = {name: writer.stamp(each, name) for name, each in stamped.items()}
    return packed, tuple(writer.large)


def _map_numbers(
    message: Message, stamp: Callable[..., int], version: Callable[..., int]
) -> Message:
    known = message.versions
    return message._replace(
        versions=peering_data.Versions(
            version(known.table, _TABLE),
            stamp(known.servers, _SERVERS),
            stamp(known.orders, _ORDERS),
            stamp(known.zones, _ZONES),
        ),
        rollouts=tuple(
            each._replace(
                announced_on=stamp(each.announced_on, _ANNOUNCED, each.service),
                written_on=stamp(each.written_on, _WRITTEN, each.service),
            )
            for each in message.rollouts
        ),
    )


def _join(name: Iterable[str]) -> str:
    return '/'.join(name)


def _parse(parse: Callable[[str], int], text: str) -> int:
    try:
        return parse(text)
    except ValueError:
        return 0
