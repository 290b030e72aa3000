"""Records of a process's settings file.

`parsing.settings` builds them from INI and reports every invalid key. Durations
are in seconds unless the name says otherwise, addresses are ``ip:port``.
"""

from enum import StrEnum
from typing import NamedTuple


class Role(StrEnum):
    """Role of a process."""

    ENTRY = 'entry'
    CONTROL = 'control'
    ROUTER = 'router'


class Switch(StrEnum):
    """Whether an optional part is in use."""

    OFF = 'off'
    ON = 'on'


class AnswerValue(StrEnum):
    """What the answers of one route are worth against one another."""

    EQUAL = 'equal'
    BY_SIZE = 'by_size'


class Process(NamedTuple):
    """Section ``[process]``: identity of this process.

    Attributes:
        name: Unique name of the process in the fleet.
        role: Entry, control or router.
        host: Name of the entry host it runs on.
        zone: Availability zone of that host.
        log_level: Minimum level that is logged.
    """

    name: str
    role: Role
    host: str
    zone: str
    log_level: str = 'info'


class Operators(NamedTuple):
    """Section ``[operators]``: health, metrics, dump, configuration.

    Attributes:
        listen: Address of the operators' interface.
        keys: Valid bearer keys; two while a key is rotated.
    """

    listen: str
    keys: tuple[str, ...]


class Fleet(NamedTuple):
    """Section ``[fleet]``: authentication between processes.

    Attributes:
        keys: Keys that sign calls between processes; two while a key is
            rotated, of which the first signs.
    """

    keys: tuple[str, ...]


class Entry(NamedTuple):
    """Section ``[entry]``: the interface for callers.

    Attributes:
        listen: Address that callers reach through the load balancer.
        controls: Control processes, that of the own host first.
        max_in_flight: Maximum concurrent requests; more are refused.
        header_bytes: Maximum size of a request's header.
        body_bytes: Maximum size of a request's body.
        read_s: Timeout for reading a whole request.
        idle_s: Timeout of a connection without a next request.
        balancer_lag_s: When stopping, how long requests are still accepted
            after the health check began to fail.
        drain_s: When stopping, how long requests in flight may continue.
        blind_s: How long new work is accepted without any control process.
        rating: Address of the rating service; empty for none.
        answer_bytes: Maximum size of an answer of a backend server that is
            read whole.
        answers_bytes: Size of all answers that are being read whole, above
            which those with more than an equal share of it fail.
    """

    listen: str
    controls: tuple[str, ...]
    max_in_flight: int = 1024
    header_bytes: int = 16384
    body_bytes: int = 4194304
    read_s: float = 10.0
    idle_s: float = 75.0
    balancer_lag_s: float = 2.0
    drain_s: float = 120.0
    blind_s: float = 10.0
    rating: str = ''
    answer_bytes: int = 4194304
    answers_bytes: int = 67108864


class Control(NamedTuple):
    """Section ``[control]``: connections to the platform and peers.

    Attributes:
        listen: Address for entry processes and peers.
        peers: Control processes of other hosts, contacted to join the fleet.
        platform: Address of the object API.
        host_list: Address of the host list.
        weight_store: Address of the weight store, or empty.
        watchers: How many control processes of a zone watch the platform;
            the others get changes from them. 0 means all.
        shards: Shards of the request journal; the same for the whole fleet.
        commits_per_s: Maximum platform writes per second of one shard.
        lease_s: How long a lease is valid without renewal.
        heartbeat_s: Interval between heartbeats to a peer.
        cut_off_s: How long new work is accepted while neither the platform
            nor a peer can be reached.
        drain_s: When stopping, how long flushing of rows may take.
        retention_s: How long sealed journal segments are kept.
        answer_bytes: Maximum size of an answer of the platform.
        answers_bytes: Size of all answers that are being read, above which
            those with more than an equal share of it fail.
    """

    listen: str
    peers: tuple[str, ...]
    platform: str
    host_list: str
    weight_store: str = ''
    watchers: int = 0
    shards: int = 8
    commits_per_s: float = 20.0
    lease_s: float = 6.0
    heartbeat_s: float = 1.0
    cut_off_s: float = 10.0
    drain_s: float = 20.0
    retention_s: float = 86400.0
    answer_bytes: int = 67108864
    answers_bytes: int = 268435456


class Router(NamedTuple):
    """Section ``[router]``: callers, backend servers, the platform's store.

    A duration that the platform states in milliseconds stays in milliseconds,
    since the platform's template cannot compute.

    Attributes:
        listen: Address that callers reach through the load balancer.
        ready: Address of the readiness check of the load balancer.
        peer_listen: Address for other processes of this role.
        notes_listen: Address for datagrams from these processes, and on TCP
            for the connections to backend servers that they can't open
            themselves.
        store: Address of the platform's store.
        seeds: Processes of this role, contacted to join the fleet.
        drain_ms: Time within which a leaving backend server must no longer
            get new work.
        grace_s: Time from the stop signal until the process is killed.
        session_s: Time within which requests of a session belong together.
        retry_ratio: Repeats that the fleet may send, as a ratio of requests.
        retry_slack: Repeats that the fleet may send in addition.
        retry_window_s: The window in which both apply.
        trial_share: Fraction of its service's requests that a bad version may
            get, fleet-wide.
        trial_slack: Requests that it may get in addition.
        regions: The region of each availability zone, as ``zone:region``.
        start_wait_s: Time after its start for which a process that is not a
            seed leaves the store to the seeds; 0 unless a whole fleet starts.
        answer_bytes: Maximum size of an answer of a backend server, or of the
            store, that is read whole.
        answers_bytes: Size of all answers that are being read whole, above
            which those with more than an equal share of it fail.
        event_bytes: Maximum size of an event of a stream.
        queue_requests: Maximum number of requests that wait in this process
            for room at a backend server; 0 to let none wait.
        queue_bytes: Maximum size of the bodies of these requests.
        account_shares: Whether client accounts share a service fairly.
        server_speeds: Whether the speed and the KV cache of each model runner
            count when one is chosen.
        answer_value: Whether long prompts and answers are worth more than short
            ones of their route.
        prefix_transfer: Whether cached prompt prefixes are copied between model
            runners.
    """

    listen: str
    ready: str
    peer_listen: str
    notes_listen: str
    store: str
    seeds: tuple[str, ...]
    drain_ms: float = 2000
    grace_s: float = 8.0
    session_s: float = 5.0
    retry_ratio: float = 0.5
    retry_slack: float = 20
    retry_window_s: float = 10.0
    trial_share: float = 0.1
    trial_slack: float = 20
    regions: tuple[str, ...] = ()
    start_wait_s: float = 0.0
    answer_bytes: int = 4194304
    answers_bytes: int = 16777216
    event_bytes: int = 262144
    queue_requests: int = 0
    queue_bytes: int = 8388608
    account_shares: Switch = Switch.OFF
    server_speeds: Switch = Switch.OFF
    answer_value: AnswerValue = AnswerValue.EQUAL
    prefix_transfer: Switch = Switch.OFF


def region_by_zone(cfg: Router) -> dict[str, str]:
    """Return the region of each availability zone."""
    pairs = (pair.partition(':') for pair in cfg.regions)
    return {zone: region for zone, _, region in pairs}


class Settings(NamedTuple):
    """A complete settings file; sections of other roles are None."""

    process: Process
    operators: Operators
    fleet: Fleet
    entry: Entry | None = None
    control: Control | None = None
    router: Router | None = None
