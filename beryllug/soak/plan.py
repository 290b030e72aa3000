"""The series of faults that is determined by a seed."""

import random
from enum import StrEnum
from typing import NamedTuple

# Seconds within which faults begin, the shortest and longest duration of a
# fault, and the smallest and largest number of faults.
LAST_START_S = 8.0
MIN_DURATION_S = 0.3
MAX_DURATION_S = 3.0
MIN_FAULTS = 6
MAX_FAULTS = 14
# Fraction of the seeds with a request that crashes its servers, and seconds
# within which it is first sent.
CRASH_REQUEST_FRACTION = 0.4
LAST_CRASH_START_S = 3.0
# Fraction of these whose requests are never alike, but for a prompt segment.
SEGMENT_FRACTION = 0.5
# Segments before and after that one, up to what a header can hold.
SEGMENTS_BEFORE = (1, 70, 600)
SEGMENTS_AFTER = (1, 1, 600)
# Fraction of the seeds in which all routers of a zone are cut off from all
# servers, and fraction of the routers that are in another zone then.
ZONE_CUT_FRACTION = 0.3
# Fraction of the seeds in which a server joins whose answers never end, and
# seconds between its bytes if it is slow.
ENDLESS_FRACTION = 0.4
ENDLESS_PAUSES_S = (0, 0, 0.02)
ENDLESS_FORMS = (
    'head',
    'interim',
    'body',
    'chunks',
    'small_chunks',
    'line',
    'comments',
    'comment_events',
)
OTHER_ZONE_FRACTION = 0.25
# Fraction of the seeds in which a server joins that closes its connections in
# the middle of its answers, and the bytes of an answer that it sends.
CUTTING_FRACTION = 0.4
CUTTING_BYTES = (0, 12, 20, 60, 90, 110, 140)
# Fraction of the seeds in which a router that forwards answers without a length
# is killed, and how often.
RELAY_LOSS_FRACTION = 0.4
RELAY_KILLS = (1, 2, 3)
# Fraction of the seeds in which an account sends ten times its usual load.
FLOOD_FRACTION = 0.4
# Fraction of the seeds in which the limit of bodies is raised.
RAISED_LIMIT_FRACTION = 0.4


class Kind(StrEnum):
    """What happens to a router, its connection to the store, or a server."""

    STOP = 'stop'
    KILL = 'kill'
    FREEZE = 'freeze'
    RELOAD = 'reload'
    LINKS_HANG = 'links_hang'
    LINKS_RESET = 'links_reset'
    LINKS_REFUSE = 'links_refuse'
    STORE_DOWN = 'store_down'
    STORE_SLOW = 'store_slow'
    STORE_LOST = 'store_lost'
    STORE_FORGETS = 'store_forgets'
    STORE_RETURNS = 'store_returns'
    STORE_CUT = 'store_cut'
    STORE_HALF_CUT = 'store_half_cut'
    STORE_SILENT = 'store_silent'
    SERVER_CRASH = 'server_crash'
    SERVER_LEAVES = 'server_leaves'
    SERVER_RESETS = 'server_resets'
    SERVER_LOSES = 'server_loses'
    SERVER_FAILS = 'server_fails'
    SERVER_SLOW = 'server_slow'
    SERVER_CUT = 'server_cut'
    SERVER_SILENT = 'server_silent'
    SERVER_FAR = 'server_far'
    SERVER_COLD = 'server_cold'
    SERVER_LIMITED = 'server_limited'
    SERVER_BRITTLE = 'server_brittle'
    SERVER_PAUSES = 'server_pauses'
    SERVER_STATES_LEAVING = 'server_states_leaving'
    SERVER_BACKS_OFF = 'server_backs_off'
    TABLE = 'table'
    KEY = 'key'
    GOOD_VERSION = 'good_version'
    BAD_VERSION = 'bad_version'
    ZONE_EVACUATED = 'zone_evacuated'


# Faults of routers, and of the connection of one router to the store.
ROUTER_FAULTS = frozenset((Kind.STOP, Kind.KILL, Kind.FREEZE, Kind.RELOAD))
STORE_LINK_FAULTS = frozenset(
    (Kind.STORE_CUT, Kind.STORE_HALF_CUT, Kind.STORE_SILENT)
)
# Faults of the links of one router to all backend servers.
SERVER_LINK_FAULTS = frozenset(
    (Kind.LINKS_HANG, Kind.LINKS_RESET, Kind.LINKS_REFUSE)
)
STORE_FAULTS = frozenset(
    (
        Kind.STORE_DOWN,
        Kind.STORE_SLOW,
        Kind.STORE_LOST,
        Kind.STORE_FORGETS,
        Kind.STORE_RETURNS,
    )
)
ROLLOUT_FAULTS = frozenset((Kind.GOOD_VERSION, Kind.BAD_VERSION))
TABLE_CHANGES = frozenset((Kind.TABLE, Kind.KEY))
ZONE_FAULTS = frozenset((Kind.ZONE_EVACUATED,))
UNTARGETED_FAULTS = STORE_FAULTS | ROLLOUT_FAULTS | TABLE_CHANGES | ZONE_FAULTS
ONE_ROUTER_FAULTS = ROUTER_FAULTS | STORE_LINK_FAULTS | SERVER_LINK_FAULTS
SERVER_FAULTS = frozenset(Kind) - ONE_ROUTER_FAULTS - UNTARGETED_FAULTS


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at_s: Seconds after the start of the run.
        kind: What happens.
        target: Number of the router or server that is affected.
        for_s: Its duration in seconds, if it has one.
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float


class Span(NamedTuple):
    """Seconds after the start of the run, and a duration in seconds."""

    at_s: float
    for_s: float


class Endless(NamedTuple):
    """A server whose answers never end: when, what, and how slowly."""

    fault: Fault
    form: str
    pause_s: float


class Cutting(NamedTuple):
    """A server that closes inside its answers: when, and where."""

    fault: Fault
    size: int


class RelayLoss(NamedTuple):
    """A router that reaches servers through others, which are killed.

    Attributes:
        cut: How it is cut off.
        killed: Numbers of the routers that are killed in turn.
    """

    cut: Fault
    killed: tuple[int, ...]


class Sizes(NamedTuple):
    """Numbers of routers and backend servers."""

    routers: int = 3
    models: int = 3
    desks: int = 3

    @property
    def servers(self) -> int:
        """Return the number of backend servers."""
        return self.models + self.desks

    @property
    def other_zone_routers(self) -> int:
        """Return the number of routers outside of a zone that is cut off."""
        return max(1, round(self.routers * OTHER_ZONE_FRACTION))


def draw(seed: int, sizes: Sizes) -> tuple[Fault, ...]:
    """Return the faults of a seed, ordered by time."""
    rng = random.Random(seed)
    faults = [
        _draw_one(rng, sizes)
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    return tuple(sorted(faults))


def draw_crash_request(seed: int) -> float | None:
    """Return from when a request crashes its servers; None if it does not.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/crash request')
    if rng.random() >= CRASH_REQUEST_FRACTION:
        return None
    return round(rng.uniform(0, LAST_CRASH_START_S), 2)


def draw_zone_cut(seed: int) -> Fault | None:
    """Return how all routers of a zone are cut off; None if they are not.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/zone cut')
    if rng.random() >= ZONE_CUT_FRACTION:
        return None
    return Fault(
        round(rng.uniform(0, LAST_START_S), 2),
        rng.choice(sorted(SERVER_LINK_FAULTS)),
        0,
        round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
    )


def draw_endless(seed: int, sizes: Sizes) -> Endless | None:
    """Return the server whose answers never end; None if there is none.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/endless')
    if rng.random() >= ENDLESS_FRACTION:
        return None
    return Endless(
        Fault(
            round(rng.uniform(0, LAST_START_S), 2),
            Kind.SERVER_FAILS,
            rng.randrange(sizes.servers),
            round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
        ),
        rng.choice(ENDLESS_FORMS),
        rng.choice(ENDLESS_PAUSES_S),
    )


def draw_cutting(seed: int, sizes: Sizes) -> Cutting | None:
    """Return the server that closes inside its answers; None if none does.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/cutting')
    if rng.random() >= CUTTING_FRACTION:
        return None
    return Cutting(
        Fault(
            round(rng.uniform(0, LAST_START_S), 2),
            Kind.SERVER_FAILS,
            rng.randrange(sizes.servers),
            round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
        ),
        rng.choice(CUTTING_BYTES),
    )


def draw_relay_loss(seed: int, sizes: Sizes) -> RelayLoss | None:
    """Return which routers that forward are killed; None if none is.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/relay loss')
    if rng.random() >= RELAY_LOSS_FRACTION:
        return None
    cut = Fault(
        round(rng.uniform(0, LAST_START_S), 2),
        rng.choice(sorted(SERVER_LINK_FAULTS)),
        rng.randrange(sizes.routers),
        round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
    )
    others = [each for each in range(sizes.routers) if each != cut.target]
    return RelayLoss(
        cut, tuple(rng.choice(others) for _ in range(rng.choice(RELAY_KILLS)))
    )


def draw_raised_limit(seed: int) -> float | None:
    """Return when the limit of bodies is raised; None if it is not.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/raised limit')
    if rng.random() >= RAISED_LIMIT_FRACTION:
        return None
    return round(rng.uniform(0, LAST_START_S), 2)


def draw_flood(seed: int) -> Span | None:
    """Return when an account sends ten times its usual load; None if never.

    It is drawn apart, so that a seed keeps its faults.
    """
    rng = random.Random(f'{seed}/flood')
    if rng.random() >= FLOOD_FRACTION:
        return None
    return Span(
        round(rng.uniform(0, LAST_START_S), 2),
        round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
    )


def has_crash_segment(seed: int) -> bool:
    """Return whether it is a prompt segment that crashes servers."""
    rng = random.Random(f'{seed}/crash segment')
    return rng.random() < SEGMENT_FRACTION


def draw_crash_prompt(seed: int, segment: str) -> str:
    """Return the prompt of a crash segment, with places for an own id."""
    rng = random.Random(f'{seed}/crash prompt')
    before = rng.choice(SEGMENTS_BEFORE)
    after = rng.choice(SEGMENTS_AFTER)
    parts = ['a1:300']
    parts += [f'a{{own}}{number:03x}:3' for number in range(1, before)]
    parts.append(f'{segment}:60')
    parts += [f'e{{own}}{number:03x}:3' for number in range(after)]
    return f'{",".join(parts)},f{{own}}:100'


def _draw_one(rng: random.Random, sizes: Sizes) -> Fault:
    kind = rng.choice(list(Kind))
    targets = sizes.servers
    if kind in ONE_ROUTER_FAULTS:
        targets = sizes.routers
    return Fault(
        round(rng.uniform(0, LAST_START_S), 2),
        kind,
        0 if kind in UNTARGETED_FAULTS else rng.randrange(targets),
        round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
    )
