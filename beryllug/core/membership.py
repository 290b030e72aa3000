"""Gossip membership of the control processes.

Members spread updates with their heartbeats. For each member the higher
incarnation wins, and within one incarnation the more severe status: only the
member itself raises its incarnation, to refute a false report. Whether a
member is live only decides which one is asked first; a lease is never taken
over because its holder is believed dead.
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from types import MappingProxyType

from beryllug.core import member_data

RETRANSMIT_FACTOR = 3
MAX_UPDATES = 8
SUSPICION_ROUNDS = 3
DEAD_MEMBER_TTL_S = 7200.0
MAX_NOTES = 4096

Status = member_data.Status

_SEVERITY = MappingProxyType(
    {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 3}
)
_LIVE = frozenset((Status.ALIVE, Status.SUSPECT))


@dataclass(slots=True)
class MemberEntry:
    """One member and the time of its last change."""

    member: member_data.Member
    since: float


@dataclass(slots=True)
class Table:
    """Members known to a process, and the updates it still has to send.

    Attributes:
        own: This process.
        known: The other members by name.
        notes: Notes by key.
        sends: Remaining sends of each update: of members by name, of notes
            by key.
        ring: Names of live members in the order of their hashes, this
            process first.
        round: Number of probes made.
        digest: Digest over members and notes.
    """

    own: member_data.Member
    known: dict[str, MemberEntry] = field(default_factory=dict)
    notes: dict[str, member_data.GossipNote] = field(default_factory=dict)
    sends: dict[str, int] = field(default_factory=dict)
    ring: list[str] = field(default_factory=list)
    round: int = 0
    digest: int = 0


def merge(table: Table, member: member_data.Member, now: float) -> None:
    """Merge a report about a member; `now` is monotonic."""
    if member.name == table.own.name:
        _refute(table, member)
        return
    known = table.known.get(member.name)
    if known is not None and not _supersedes(known.member, member):
        return
    if known is None and member.status not in _LIVE:
        return
    was_live = known.member.status in _LIVE if known else False
    _store_member(table, member, now)
    if was_live != (member.status in _LIVE):
        _build_ring(table)


def merge_note(table: Table, note: member_data.GossipNote) -> bool:
    """Merge a note; False if it is not newer, or there are too many."""
    known = table.notes.get(note.key)
    if known is not None and known.number >= note.number:
        return False
    if known is None and len(table.notes) >= MAX_NOTES:
        return False
    table.digest ^= _hash(known) ^ _hash(note)
    table.notes[note.key] = note
    table.sends[note.key] = _send_count(table)
    return True


def suspect(table: Table, name: str, now: float) -> None:
    """Mark a member suspect that could not be reached, even indirectly."""
    known = table.known.get(name)
    if known is not None and known.member.status is Status.ALIVE:
        suspected = known.member._replace(status=Status.SUSPECT)
        _store_member(table, suspected, now)


def expire(table: Table, heartbeat_s: float, now: float) -> None:
    """Mark members dead after long suspicion, and remove long dead ones."""
    suspicion_s = heartbeat_s * (SUSPICION_ROUNDS + _log_ring_size(table))
    for name, known in list(table.known.items()):
        age_s = now - known.since
        match known.member.status:
            case Status.SUSPECT if age_s > suspicion_s:
                merge(table, known.member._replace(status=Status.DEAD), now)
            case Status.DEAD | Status.LEFT if age_s > DEAD_MEMBER_TTL_S:
                table.digest ^= _hash(known.member)
                table.known.pop(name)
                table.sends.pop(name, None)


def next_target(table: Table) -> member_data.Member | None:
    """Choose the next member to probe.

    A process probes the members 1, 2, 4, 8... places after it on the ring,
    one per round. So each member is probed about once a round whatever the
    size of the fleet, connections are few and long-lived, and an update
    reaches all members in a number of rounds that is logarithmic in the size
    of the fleet.
    """
    size = len(table.ring)
    if size < 2:
        return None
    steps = max(1, math.ceil(math.log2(size)))
    distance = 2 ** (table.round % steps)
    table.round += 1
    return table.known[table.ring[distance % size]].member


def others(table: Table) -> list[member_data.Member]:
    """Return the live members other than this process."""
    return [table.known[name].member for name in table.ring[1:]]


def live(table: Table) -> tuple[str, ...]:
    """Return the names of live members, this process included."""
    return tuple(table.ring) or (table.own.name,)


def find(table: Table, name: str) -> member_data.Member | None:
    """Return the record of a member, this process included."""
    if name == table.own.name:
        return table.own
    known = table.known.get(name)
    return known.member if known else None


def dead_members(table: Table) -> list[member_data.Member]:
    """Return the members with status DEAD."""
    return [
        known.member
        for known in table.known.values()
        if known.member.status is Status.DEAD
    ]


def pop_updates(
    table: Table, receiver: str
) -> tuple[tuple[member_data.Member, ...], tuple[member_data.GossipNote, ...]]:
    """Return the updates to send next and count them as sent.

    Args:
        table: The table.
        receiver: Name of the receiver. Its own record is always included, so
            that it can refute it.
    """
    by_sends_left = sorted(
        table.sends, key=table.sends.__getitem__, reverse=True
    )
    chosen = by_sends_left[:MAX_UPDATES]
    for sent in chosen:
        table.sends[sent] -= 1
        if not table.sends[sent]:
            table.sends.pop(sent)
    names = dict.fromkeys((receiver, *chosen))
    updates = (
        table.known[name].member for name in names if name in table.known
    )
    notes = (table.notes[key] for key in chosen if key in table.notes)
    return tuple(updates), tuple(notes)


def full_state(
    table: Table,
) -> tuple[tuple[member_data.Member, ...], tuple[member_data.GossipNote, ...]]:
    """Return all members and notes, for a member that joins or lags."""
    members = (known.member for known in table.known.values())
    return tuple(members), tuple(table.notes.values())


def digest(table: Table) -> int:
    """Return a digest, equal in two processes with the same state."""
    return table.digest ^ _hash(table.own)


def leave(table: Table) -> None:
    """Mark this process as leaving."""
    table.own = table.own._replace(status=Status.LEFT)


def merge_all(
    table: Table, members: Iterable[member_data.Member], now: float
) -> None:
    """Merge reports about several members."""
    for member in members:
        merge(table, member, now)


def _refute(table: Table, reported: member_data.Member) -> None:
    """Refute a false report about this process."""
    own = table.own
    is_false = (
        reported.status is not Status.ALIVE or reported.address != own.address
    )
    if is_false and reported.incarnation >= own.incarnation:
        table.own = own._replace(incarnation=reported.incarnation + 1)


def _supersedes(
    known: member_data.Member, reported: member_data.Member
) -> bool:
    if reported.incarnation != known.incarnation:
        return reported.incarnation > known.incarnation
    return _SEVERITY[reported.status] > _SEVERITY[known.status]


def _store_member(table: Table, member: member_data.Member, now: float) -> None:
    known = table.known.get(member.name)
    if known is not None:
        table.digest ^= _hash(known.member)
    table.digest ^= _hash(member)
    table.known[member.name] = MemberEntry(member, now)
    table.sends[member.name] = _send_count(table)


def _build_ring(table: Table) -> None:
    own = table.own.name
    names = [own]
    for name, known in table.known.items():
        if known.member.status in _LIVE:
            names.append(name)
    names.sort(key=_ring_position)
    start = names.index(own)
    table.ring = names[start:] + names[:start]


def _ring_position(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name


def _send_count(table: Table) -> int:
    return RETRANSMIT_FACTOR * _log_ring_size(table)


def _log_ring_size(table: Table) -> int:
    return max(1, math.ceil(math.log2(len(table.ring) + 1)))


def _hash(reported: member_data.Member | member_data.GossipNote | None) -> int:
    """Return the hash of a note or a live member; 0 for all others.

    The hash ignores suspicions, which are short-lived, and dead members,
    which each process removes at a different time.
    """
    match reported:
        case member_data.GossipNote(key, number, _):
            return zlib.crc32(f'note {key} {number}'.encode())
        case member_data.Member(name=name, incarnation=incarnation):
            if reported.status in _LIVE:
                return zlib.crc32(f'member {name} {incarnation}'.encode())
    return 0
