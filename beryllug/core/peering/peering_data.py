"""Messages between processes of the role `router`.

They travel as MessagePack arrays, so fields are only added at the end and
with a default.
"""

from typing import Any, NamedTuple

from beryllug.core.canary import canary_data, sessions
from beryllug.core.placement import crashers, load_sums


class Peer(NamedTuple):
    """A process that was heard of.

    Attributes:
        name: Its name; unique in the fleet.
        address: Where it is called.
        notes: Where it takes datagrams.
        heard_ago_s: Seconds since a sign of life of it.
        zone: Its availability zone, or empty.
    """

    name: str
    address: str
    notes: str
    heard_ago_s: float
    zone: str = ''


class RolloutNews(NamedTuple):
    """How far a roll-out has come, as the sender knows.

    Attributes:
        service: Its service.
        target: Its version.
        phase: How far it has come.
        age_s: Seconds since its order, as far as the sender knows.
    """

    service: str
    target: str
    phase: canary_data.Phase
    age_s: float


class TallyNews(NamedTuple):
    """What the sender has seen of a roll-out since its order."""

    service: str
    target: str
    requests: int
    tried: int
    by_route: dict[str, canary_data.Evidence]


class Versions(NamedTuple):
    """How new a process's knowledge is.

    Attributes:
        table: Version of its route table, 0 for none.
        servers: Revision of the store that its list of backend servers is of.
        orders: Revision of the newest change of a roll-out order.
        zones: Revision of the store that its list of evacuated zones is of.
    """

    table: int = 0
    servers: int = 0
    orders: int = 0
    zones: int = 0


NOTHING_KNOWN = Versions()


class Follower(NamedTuple):
    """That a process follows the store, as another one has heard.

    Attributes:
        name: Name of the process that follows the store.
        ago_s: Seconds since it said so.
    """

    name: str
    ago_s: float


class Report(NamedTuple):
    """What one process has at servers.

    Attributes:
        number: Number of the report, by its process.
        part: What it has, or a slice of it.
    """

    number: int
    part: load_sums.Slice


class ZoneSum(NamedTuple):
    """What the processes of an availability zone have.

    Attributes:
        zone: The zone.
        reports: Reports that were added up.
        part: A slice of the sum.
    """

    zone: str
    reports: int
    part: load_sums.Slice


class Total(NamedTuple):
    """What all processes have, for those of one availability zone.

    Attributes:
        holds: Numbers of the zone's reports that it holds, by the key of the
            process; those of the receivers.
        part: A slice of the total.
        reports: Reports of the zone that it holds, of all processes.
    """

    holds: dict[int, int]
    part: load_sums.Slice
    reports: int = 0


class LimitNews(NamedTuple):
    """What a server was last known to say of its limit.

    Attributes:
        instance: The server.
        per_s: Requests a second that it takes from all processes together;
            None where it names no limit.
        ago_s: Seconds since it was known to say so.
    """

    instance: str
    per_s: float | None
    ago_s: float


class Claim(NamedTuple):
    """A question whether a request may be sent to a server.

    Attributes:
        number: Number of the question.
        limit: The server's limit, as the sender knows it.
    """

    number: int
    limit: LimitNews


class Permit(NamedTuple):
    """The answer to a claim.

    Attributes:
        number: Number of the question.
        wait_s: Seconds until the next request is due; 0 where this one may be
            sent now.
        limit: The server's limit, as the sender knows it.
    """

    number: int
    wait_s: float
    limit: LimitNews


class Note(NamedTuple):
    """What a process tells by datagram, some times a second.

    Attributes:
        name: Name of the sender.
        address: Where it is called.
        running: Versions that sessions, which may be drawn for a roll-out,
            run on.
        is_watching: Whether it follows the store, and the store answers it.
        versions: How new its knowledge is.
        returned_ago_s: Seconds since the store came back from an outage.
        since: Revision of the store that `entries` follow on.
        entries: Changes of the list of backend servers up to its revision,
            as JSON, or empty.
        rollouts: How far roll-outs have come that just changed.
        losses: Servers that were lost under requests, since its last note.
        gone: Processes that were found gone just now, or that stop.
        report: What it has at backend servers, for the aggregators of its zone.
        zone_sum: What the processes of its zone have, for other zones.
        total: What all processes have, for those of its zone.
        followers: Who follows the store, as the sender has heard.
        notes: Where it takes datagrams; told by a process that its zone may
            not know yet, else empty.
        zone: Its availability zone, likewise.
        asks: Number of the question whether the receiver is there; 0 for none.
        answers: Number of the question that is answered; 0 for none.
        peers: Some of the processes that it knows.
        evacuated: The evacuated availability zones, where `versions` tells of
            them. They are few, so they come with each word of what is known:
            nobody has to be asked for them first.
        limits: Limits of servers that have just begun or ended; in a question
            or an answer, some of those that the sender knows.
        claim: Asks for a permit.
        permit: Answers a claim.
        leaving: Servers that have just stated that they leave; in a question
            or an answer, some of those that the sender knows.
        has_lost_store: Whether it has followed the store, which has just
            fallen silent for it.
    """

    name: str
    address: str
    running: tuple[sessions.Told, ...] = ()
    is_watching: bool = False
    versions: Versions = NOTHING_KNOWN
    returned_ago_s: float = 0.0
    since: int = 0
    entries: bytes = b''
    rollouts: tuple[RolloutNews, ...] = ()
    losses: tuple[crashers.Loss, ...] = ()
    gone: tuple[str, ...] = ()
    report: Report | None = None
    zone_sum: ZoneSum | None = None
    total: Total | None = None
    followers: tuple[Follower, ...] = ()
    notes: str = ''
    zone: str = ''
    asks: int = 0
    answers: int = 0
    peers: tuple[Peer, ...] = ()
    evacuated: tuple[str, ...] = ()
    limits: tuple[LimitNews, ...] = ()
    claim: Claim | None = None
    permit: Permit | None = None
    leaving: tuple[str, ...] = ()
    has_lost_store: bool = False


class HeldOrder(NamedTuple):
    """A roll-out order that the store replaced by an older one of a copy.

    Attributes:
        revision: Stamp of the order.
        spec: The order as it was stored.
        status: Its status, likewise.
        replaced: Versions that were ordered before it.
    """

    revision: int
    spec: Any
    status: Any
    replaced: tuple[str, ...]


class Held(NamedTuple):
    """What holds against the word of a store that returned from a copy.

    Attributes:
        left_s: Seconds for which it still holds.
        instances: Servers that were known to leave, or to be gone.
        zones: Evacuated availability zones that the store does not name.
        orders: Roll-out orders by name, as JSON.
    """

    left_s: float = 0
    instances: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    orders: bytes = b''


NOTHING_HELD = Held()


class Digest(NamedTuple):
    """What a process tells when it calls a peer, and what it is answered.

    Attributes:
        name: Name of the sender.
        address: Where it is called.
        notes: Where it takes datagrams.
        is_leaving: Whether it stops.
        versions: How new its knowledge is.
        peers: Some of the processes that it knows.
        rollouts: The roll-outs that it knows.
        tallies: What it has seen of open ones.
        table: The stored route table as compressed JSON, for a peer with an
            older one.
        servers: The stored entries of backend servers by instance, as
            compressed JSON, for a peer with an older list.
        orders: The stored roll-out orders by name, as JSON, for a peer with
            older ones.
        zone: Availability zone of the sender.
        followers: Who follows the store, as the sender has heard; in an answer.
        evacuated: The evacuated availability zones.
        held: What holds against the store's word; in an answer.
    """

    name: str
    address: str
    notes: str
    is_leaving: bool = False
    versions: Versions = Versions()
    peers: tuple[Peer, ...] = ()
    rollouts: tuple[RolloutNews, ...] = ()
    tallies: tuple[TallyNews, ...] = ()
    table: bytes = b''
    servers: bytes = b''
    orders: bytes = b''
    zone: str = ''
    followers: tuple[Follower, ...] = ()
    evacuated: tuple[str, ...] = ()
    held: Held = NOTHING_HELD
