"""Messages between processes of the role `router`.

Records are encoded as MessagePack arrays, so fields may only be appended, each
with a default.
"""

from typing import Any, NamedTuple

from beryllug.core.canary import canary_data, sessions
from beryllug.core.placement import poison_requests, load_sums


class Peer(NamedTuple):
    """A known process.

    Attributes:
        name: Its name; unique in the fleet.
        address: Address for calls.
        notes: Address for datagrams.
        heard_ago_s: Seconds since its last sign of life.
        zone: Its availability zone, or empty.
    """

    name: str
    address: str
    notes: str
    heard_ago_s: float
    zone: str = ''


class LargeNumber(NamedTuple):
    """A number of over 64 bits in a message.

    Attributes:
        name: Names the number in its message.
        text: The number, or a stamp as ``ERA/REVISION``.
    """

    name: str
    text: str


class RolloutProgress(NamedTuple):
    """The progress of a roll-out, as known to the sender.

    Attributes:
        service: Its service.
        target: The version being rolled out.
        phase: Its phase.
        age_s: Seconds since its order, as far as the sender knows.
        announced_on: Stamp of the order on which the sender is about to
            write the result, or has begun to; 0 for none.
        written_on: Newest stamp of the order on which the result is known
            to be written; 0 for none.
    """

    service: str
    target: str
    phase: canary_data.Phase
    age_s: float
    announced_on: int = 0
    written_on: int = 0


class RolloutTally(NamedTuple):
    """What the sender has observed of a roll-out since its order.

    Attributes:
        service: Its service.
        target: The version being rolled out.
        requests: Number of requests for the service.
        tried: Number of those that were sent to the new version.
        by_route: The evidence on each route.
        run: Identifies the counts of the sender: they start anew with another
            one as it restarts. Older releases send none.
    """

    service: str
    target: str
    requests: int
    tried: int
    by_route: dict[str, canary_data.Evidence]
    run: int = 0


class Versions(NamedTuple):
    """How recent a process's data is.

    Attributes:
        table: Version of its route table, 0 for none.
        servers: Stamp of its list of backend servers.
        orders: Stamp of the latest change of a roll-out order.
        zones: Stamp of its list of evacuated availability zones.
    """

    table: int = 0
    servers: int = 0
    orders: int = 0
    zones: int = 0


NOTHING_KNOWN = Versions()


class WatcherReport(NamedTuple):
    """A process that watches the store, as known to the sender.

    Attributes:
        name: Name of the process that watches the store.
        ago_s: Seconds since it announced that.
    """

    name: str
    ago_s: float


class Report(NamedTuple):
    """The load that one process causes at servers.

    Attributes:
        number: Sequence number of the report, per process.
        part: The load, or a slice of it.
    """

    number: int
    part: load_sums.Slice


class ZoneSum(NamedTuple):
    """The load caused by the processes of an availability zone.

    Attributes:
        zone: The zone.
        reports: Number of reports added up.
        part: A slice of the sum.
    """

    zone: str
    reports: int
    part: load_sums.Slice


class Total(NamedTuple):
    """The load caused by all processes, sent to those of one zone.

    Attributes:
        holds: Numbers of the included reports of that zone, by the key of the
            process; only those of the receivers.
        part: A slice of the total.
        reports: Number of included reports of that zone, of all processes.
    """

    holds: dict[int, int]
    part: load_sums.Slice
    reports: int = 0


class RateLimitReport(NamedTuple):
    """The rate limit that a server was last known to state.

    Attributes:
        instance: The server.
        per_s: Requests a second that it accepts from all processes together;
            None if it states no limit.
        ago_s: Seconds since it was known to state that.
    """

    instance: str
    per_s: float | None
    ago_s: float


class PermitRequest(NamedTuple):
    """A request for a permit to send one request to a rate-limited server.

    Attributes:
        number: Id of this claim.
        limit: The server's limit, as known to the sender.
    """

    number: int
    limit: RateLimitReport


class Permit(NamedTuple):
    """The answer to a claim.

    Attributes:
        number: Id of the claim.
        wait_s: Seconds until the next request is due; 0 if this one may be
            sent now.
        limit: The server's limit, as known to the sender.
    """

    number: int
    wait_s: float
    limit: RateLimitReport


class FullServer(NamedTuple):
    """A brittle server that has turned a request away for want of room.

    Attributes:
        instance: The server.
        seconds: For how long it is sent nothing.
    """

    instance: str
    seconds: float


class LossReport(NamedTuple):
    """A server that was lost while a request ran on it.

    Attributes:
        instance: The server.
        ago_s: Seconds since the run there ended.
        trial_id: Trial that ran there; empty for an ordinary run.
        is_cleared: Whether the request has been answered elsewhere since.
        together: Keys that the trial accuses together; empty for the request.
        lost_servers: Servers lost under the least suspected of these.
    """

    instance: str
    ago_s: float
    trial_id: str = ''
    is_cleared: bool = False
    together: tuple[str, ...] = ()
    lost_servers: int = 0


class TrialReport(NamedTuple):
    """One run of a suspected request, to test it.

    Attributes:
        trial_id: Its id.
        instance: The server.
        left_s: Seconds until it must have ended; negative if it has.
        is_ended: Whether it is known to have ended.
    """

    trial_id: str
    instance: str
    left_s: float
    is_ended: bool = False


class SuspectReport(NamedTuple):
    """What the sender knows of a key under which servers were lost."""

    fingerprint: str
    losses: tuple[LossReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()


class SegmentsReport(NamedTuple):
    """Prompt segments under which a server was lost, or that were answered.

    Attributes:
        ago_s: Seconds since the last of the runs, or the first of the answers.
        segments: Keys of the segments, without their prefix, joined by commas.
        instance: The lost server; empty for answers.
    """

    ago_s: float
    segments: str
    instance: str = ''


class PeerNote(NamedTuple):
    """A datagram, sent several times a second by each process.

    Attributes:
        name: Name of the sender.
        address: Its address for calls.
        running: Versions that sessions run on, of those sessions that a
            roll-out may send to its new version.
        is_watching: Whether the sender watches the store and is answered.
        versions: How recent its data is.
        returned_ago_s: Seconds since the store came back from an outage.
        since: Stamp that `entries` follow on.
        entries: Changes of the list of backend servers up to its revision,
            as JSON, or empty.
        rollouts: Progress of roll-outs that has just changed.
        losses: Servers lost while serving requests, for older releases; those
            of `suspects`.
        gone: Processes that were just found gone, or that are stopping.
        report: Its load at backend servers, for the aggregators of its zone.
        zone_sum: The load of its zone's processes, for other zones.
        total: The load of all processes, for those of its zone.
        followers: The processes that watch the store, as known to the sender.
        notes: Its address for datagrams; set by a process that its zone may
            not know yet, else empty.
        zone: Its availability zone, likewise.
        asks: Id of a probe that the receiver should answer; 0 for none.
        answers: Id of the probe that this answers; 0 for none.
        peers: Some of the processes it knows.
        evacuated: The evacuated availability zones, if `versions` covers them.
            As they are few, they are included whenever `versions` is, which
            saves a call to fetch them.
        limits: Rate limits of servers that have just begun or ended; in a
            probe or its answer, some of those known to the sender.
        claim: A request for a permit.
        permit: The answer to a claim.
        leaving: Servers that have just announced their shutdown; in a probe
            or its answer, some of those known to the sender.
        has_lost_store: Whether it was watching the store, which has just
            stopped answering it.
        table: The stored route table as compressed JSON, if it has just come
            into force at the sender and is short.
        full: Brittle servers that have just turned away a request of the
            sender.
        suspects: Requests under which servers were lost, as far as that has
            just changed; in a probe or its answer, some that may not run
            freely.
        segments: Prompt segments of runs whose server was just lost, or that
            were answered and are suspects elsewhere.
        large: The numbers of over 64 bits, as it is sent; older releases
            send none.
    """

    name: str
    address: str
    running: tuple[sessions.SessionVersion, ...] = ()
    is_watching: bool = False
    versions: Versions = NOTHING_KNOWN
    returned_ago_s: float = 0.0
    since: int = 0
    entries: bytes = b''
    rollouts: tuple[RolloutProgress, ...] = ()
    losses: tuple[poison_requests.Loss, ...] = ()
    gone: tuple[str, ...] = ()
    report: Report | None = None
    zone_sum: ZoneSum | None = None
    total: Total | None = None
    followers: tuple[WatcherReport, ...] = ()
    notes: str = ''
    zone: str = ''
    asks: int = 0
    answers: int = 0
    peers: tuple[Peer, ...] = ()
    evacuated: tuple[str, ...] = ()
    limits: tuple[RateLimitReport, ...] = ()
    claim: PermitRequest | None = None
    permit: Permit | None = None
    leaving: tuple[str, ...] = ()
    has_lost_store: bool = False
    table: bytes = b''
    full: tuple[FullServer, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    segments: tuple[SegmentsReport, ...] = ()
    large: tuple[LargeNumber, ...] | None = None


class HeldOrder(NamedTuple):
    """A roll-out order that a restored store replaced by an older one.

    Attributes:
        revision: Stamp of the order.
        spec: The order as it was stored.
        status: Its status as it was stored.
        replaced: Versions that were ordered before it.
    """

    revision: int
    spec: Any
    status: Any
    replaced: tuple[str, ...]


class HeldState(NamedTuple):
    """State that overrides the data of a store restored from a copy.

    Attributes:
        left_s: Seconds for which it remains in force.
        instances: Servers known to be leaving, or to be gone.
        zones: Evacuated availability zones that the store does not list.
        orders: Roll-out orders by name, as JSON.
        large: Their stamps of over 64 bits by name; older releases send none.
    """

    left_s: float = 0
    instances: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    orders: bytes = b''
    large: tuple[LargeNumber, ...] | None = None


NOTHING_HELD = HeldState()


class Digest(NamedTuple):
    """What a process sends when it calls a peer, and what it gets back.

    Attributes:
        name: Name of the sender.
        address: Its address for calls.
        notes: Its address for datagrams.
        is_leaving: Whether it is stopping.
        versions: How recent its data is.
        peers: Some of the processes it knows.
        rollouts: The roll-outs it knows.
        tallies: What it has observed of those in progress.
        table: The stored route table as compressed JSON, for a peer with an
            older one.
        servers: The stored entries of backend servers by instance, as
            compressed JSON, for a peer with an older list.
        orders: The stored roll-out orders by name, as JSON, for a peer with
            older ones.
        zone: Availability zone of the sender.
        followers: The processes that watch the store, as known to the sender;
            in an answer.
        evacuated: The evacuated availability zones.
        held: State that overrides the store's data; in an answer.
        suspects: Requests that may not run freely, since servers were lost
            under them; in an answer.
        has_accusations: Whether the sender knows what the store has of them.
        large: The numbers of over 64 bits, as it is sent; older releases
            send none.
        large_orders: Stamps of over 64 bits of `orders` by name; older
            releases send none.
    """

    name: str
    address: str
    notes: str
    is_leaving: bool = False
    versions: Versions = Versions()
    peers: tuple[Peer, ...] = ()
    rollouts: tuple[RolloutProgress, ...] = ()
    tallies: tuple[RolloutTally, ...] = ()
    table: bytes = b''
    servers: bytes = b''
    orders: bytes = b''
    zone: str = ''
    followers: tuple[WatcherReport, ...] = ()
    evacuated: tuple[str, ...] = ()
    held: HeldState = NOTHING_HELD
    suspects: tuple[SuspectReport, ...] = ()
    has_accusations: bool = False
    large: tuple[LargeNumber, ...] | None = None
    large_orders: tuple[LargeNumber, ...] | None = None
