"""The series of faults that a seed draws."""

import random
from enum import StrEnum
from typing import NamedTuple

# Seconds in which faults begin, and the longest that one lasts.
LENGTH_S = 8.0
LEAST_S = 0.3
MOST_S = 3.0
FEWEST = 6
MOST = 14


class Kind(StrEnum):
    """What happens; to a router, its path to the store, or a server."""

    STOP = 'stop'
    KILL = 'kill'
    FREEZE = 'freeze'
    RELOAD = 'reload'
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
    SERVER_STATES_LEAVING = 'server_states_leaving'
    SERVER_BACKS_OFF = 'server_backs_off'
    TABLE = 'table'
    KEY = 'key'
    GOOD_VERSION = 'good_version'
    BAD_VERSION = 'bad_version'
    ZONE_EVACUATED = 'zone_evacuated'


# Faults of routers, of the store for one router, and of servers.
OF_ROUTERS = frozenset((Kind.STOP, Kind.KILL, Kind.FREEZE, Kind.RELOAD))
OF_LINKS = frozenset((Kind.STORE_CUT, Kind.STORE_HALF_CUT, Kind.STORE_SILENT))
OF_STORE = frozenset(
    (
        Kind.STORE_DOWN,
        Kind.STORE_SLOW,
        Kind.STORE_LOST,
        Kind.STORE_FORGETS,
        Kind.STORE_RETURNS,
    )
)
ROLLOUTS = frozenset((Kind.GOOD_VERSION, Kind.BAD_VERSION))
CHANGES = frozenset((Kind.TABLE, Kind.KEY))
OF_ZONES = frozenset((Kind.ZONE_EVACUATED,))
OF_ALL = OF_STORE | ROLLOUTS | CHANGES | OF_ZONES
OF_SERVERS = frozenset(Kind) - OF_ROUTERS - OF_LINKS - OF_ALL


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at_s: Seconds after the begin.
        kind: What happens.
        target: Number of the router or server that it hits.
        for_s: How long it lasts, where it does.
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float


class Sizes(NamedTuple):
    """How many routers and backend servers there are."""

    routers: int = 3
    models: int = 3
    desks: int = 3

    @property
    def servers(self) -> int:
        """Return the number of backend servers."""
        return self.models + self.desks


def draw(seed: int, sizes: Sizes) -> tuple[Fault, ...]:
    """Return the faults of a seed, in their order."""
    rng = random.Random(seed)
    faults = [_draw_one(rng, sizes) for _ in range(rng.randint(FEWEST, MOST))]
    return tuple(sorted(faults))


def _draw_one(rng: random.Random, sizes: Sizes) -> Fault:
    kind = rng.choice(list(Kind))
    targets = sizes.servers
    if kind in OF_ROUTERS | OF_LINKS:
        targets = sizes.routers
    return Fault(
        round(rng.uniform(0, LENGTH_S), 2),
        kind,
        0 if kind in OF_ALL else rng.randrange(targets),
        round(rng.uniform(LEAST_S, MOST_S), 2),
    )
