"""What a control process believes of the others.

Members pass on what they learn with their heartbeats. For each member the
higher incarnation holds, and within one incarnation the worse news: only the
member itself raises its incarnation, to contradict a false report. Whether a
member is live only decides who is asked first; a lease is never taken from a
holder because it is believed dead.
"""

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from types import MappingProxyType

from beryllug.core import member_data

SENDS_FACTOR = 3
NEWS_LIMIT = 8
SUSPICION_ROUNDS = 3
FORGET_S = 7200.0
MAX_NOTES = 4096

Status = member_data.Status

_WORSE = MappingProxyType(
    {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 3}
)
_LIVE = frozenset((Status.ALIVE, Status.SUSPECT))


@dataclass(slots=True)
class Known:
    """One member and since when it is believed to be so."""

    member: member_data.Member
    since: float


@dataclass(slots=True)
class Table:
    """All that a process believes of members, and what it passes on.

    Attributes:
        own: This process.
        known: The others by name.
        notes: Facts by key.
        sends: How often each news is still to be passed on: of members by
            name, of notes by key.
        ring: Names of live members in the order of their hashes, this
            process first.
        round: Counts the probes made.
        digest: Digest over members and notes.
    """

    own: member_data.Member
    known: dict[str, Known] = field(default_factory=dict)
    notes: dict[str, member_data.Note] = field(default_factory=dict)
    sends: dict[str, int] = field(default_factory=dict)
    ring: list[str] = field(default_factory=list)
    round: int = 0
    digest: int = 0


def merge(table: Table, member: member_data.Member, now: float) -> None:
    """Take in what is said of a member; `now` is monotonic."""
    if member.name == table.own.name:
        _refute(table, member)
        return
    known = table.known.get(member.name)
    if known is not None and not _is_news(known.member, member):
        return
    if known is None and member.status not in _LIVE:
        return
    before = known.member.status in _LIVE if known else False
    _believe(table, member, now)
    if before != (member.status in _LIVE):
        _build_ring(table)


def merge_note(table: Table, note: member_data.Note) -> bool:
    """Take in a fact; False when it is old."""
    known = table.notes.get(note.key)
    if known is not None and known.number >= note.number:
        return False
    if known is None and len(table.notes) >= MAX_NOTES:
        return False
    table.digest ^= _hash(known) ^ _hash(note)
    table.notes[note.key] = note
    table.sends[note.key] = _sends(table)
    return True


def suspect(table: Table, name: str, now: float) -> None:
    """Take in that neither this process nor others reached a member."""
    known = table.known.get(name)
    if known is not None and known.member.status is Status.ALIVE:
        suspected = known.member._replace(status=Status.SUSPECT)
        _believe(table, suspected, now)


def expire(table: Table, heartbeat_s: float, now: float) -> None:
    """Believe long suspected members dead, and forget long dead ones."""
    bound_s = heartbeat_s * (SUSPICION_ROUNDS + _log(table))
    for name, known in list(table.known.items()):
        age_s = now - known.since
        match known.member.status:
            case Status.SUSPECT if age_s > bound_s:
                merge(table, known.member._replace(status=Status.DEAD), now)
            case Status.DEAD | Status.LEFT if age_s > FORGET_S:
                table.digest ^= _hash(known.member)
                table.known.pop(name)
                table.sends.pop(name, None)


def next_target(table: Table) -> member_data.Member | None:
    """Choose whom to probe next.

    A process probes the members 1, 2, 4, 8... places after it on the ring,
    one a round. So each is probed about once a round whatever the size of
    the fleet, connections stay few and last, and news that jumps such
    distances reaches all in a number of rounds that grows as the logarithm.
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
    """Return what is believed of a member, this process included."""
    if name == table.own.name:
        return table.own
    known = table.known.get(name)
    return known.member if known else None


def gone(table: Table) -> list[member_data.Member]:
    """Return the members that are believed dead."""
    return [
        known.member
        for known in table.known.values()
        if known.member.status is Status.DEAD
    ]


def take_news(
    table: Table, about: str
) -> tuple[tuple[member_data.Member, ...], tuple[member_data.Note, ...]]:
    """Return news to pass on and count them as sent.

    Args:
        table: The table.
        about: Name of the receiver: what is believed of it is always told,
            so that it can contradict.
    """
    freshest = sorted(table.sends, key=table.sends.__getitem__, reverse=True)
    chosen = freshest[:NEWS_LIMIT]
    for sent in chosen:
        table.sends[sent] -= 1
        if not table.sends[sent]:
            table.sends.pop(sent)
    names = dict.fromkeys((about, *chosen))
    news = (table.known[name].member for name in names if name in table.known)
    notes = (table.notes[key] for key in chosen if key in table.notes)
    return tuple(news), tuple(notes)


def everything(
    table: Table,
) -> tuple[tuple[member_data.Member, ...], tuple[member_data.Note, ...]]:
    """Return all members and notes, for one that joins or fell behind."""
    members = (known.member for known in table.known.values())
    return tuple(members), tuple(table.notes.values())


def digest(table: Table) -> int:
    """Return a digest, equal in two processes that believe the same."""
    return table.digest ^ _hash(table.own)


def leave(table: Table) -> None:
    """Let this process say that it leaves."""
    table.own = table.own._replace(status=Status.LEFT)


def merge_all(
    table: Table, members: Iterable[member_data.Member], now: float
) -> None:
    """Take in what is said of several members."""
    for member in members:
        merge(table, member, now)


def _refute(table: Table, told: member_data.Member) -> None:
    """Contradict a false report about this process."""
    own = table.own
    wrong = told.status is not Status.ALIVE or told.address != own.address
    if wrong and told.incarnation >= own.incarnation:
        table.own = own._replace(incarnation=told.incarnation + 1)


def _is_news(known: member_data.Member, told: member_data.Member) -> bool:
    if told.incarnation != known.incarnation:
        return told.incarnation > known.incarnation
    return _WORSE[told.status] > _WORSE[known.status]


def _believe(table: Table, member: member_data.Member, now: float) -> None:
    known = table.known.get(member.name)
    if known is not None:
        table.digest ^= _hash(known.member)
    table.digest ^= _hash(member)
    table.known[member.name] = Known(member, now)
    table.sends[member.name] = _sends(table)


def _build_ring(table: Table) -> None:
    own = table.own.name
    names = [own]
    for name, known in table.known.items():
        if known.member.status in _LIVE:
            names.append(name)
    names.sort(key=_place)
    start = names.index(own)
    table.ring = names[start:] + names[:start]


def _place(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name


def _sends(table: Table) -> int:
    return SENDS_FACTOR * _log(table)


def _log(table: Table) -> int:
    return max(1, math.ceil(math.log2(len(table.ring) + 1)))


def _hash(told: member_data.Member | member_data.Note | None) -> int:
    """Return a digest of what counts: live members and notes.

    A suspicion passes soon, and the dead are forgotten at unlike times.
    """
    match told:
        case member_data.Note(key, number, _):
            return zlib.crc32(f'note {key} {number}'.encode())
        case member_data.Member(name=name, incarnation=incarnation):
            if told.status in _LIVE:
                return zlib.crc32(f'member {name} {incarnation}'.encode())
    return 0
