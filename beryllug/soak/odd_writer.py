"""Another writer beside the system: odd entries, and a store that was in use.

Its entries are those of a server in which bytes are missing, doubled or drawn
at random, so most are no JSON. Revisions and eras may begin at large numbers.
"""

import asyncio
import random
from typing import NamedTuple

import msgspec

from beryllug.platform import store
from beryllug.soak import site
from beryllug.standins import platform_store

# Fractions of the seeds with odd entries, and whose store was in use before.
ODD_FRACTION = 0.5
USED_STORE_FRACTION = 0.5
# Fraction of the writes that remove an entry.
REMOVED_FRACTION = 0.2
# Seconds within which odd entries are written.
LAST_START_S = 10.0
MAX_ENTRIES = 8
MAX_CHANGES = 3
MAX_BYTES = 12
# Bits of the first revision and of the first era, at most; some runs cross the
# next power of two.
MAX_REVISION_BITS = 70
MAX_ERA_BITS = 30
NEAR = 64
FIRST = b'{"service":"desk","address":"127.0.0.1:9","zone":"a","version":"v1",'
LAST = b'"slots":4,"state":"ready","born":0,"cold_remaining_ms":0}'


class OddEntry(NamedTuple):
    """An entry among those of the servers.

    Attributes:
        at_s: Seconds after the start of the run.
        name: Its name.
        raw: Its bytes; None if it is removed.
    """

    at_s: float
    name: str
    raw: bytes | None


def draw_entries(seed: int) -> tuple[OddEntry, ...]:
    """Return the odd entries of a seed by time."""
    rng = random.Random(f'{seed}/odd entries')
    if rng.random() >= ODD_FRACTION:
        return ()
    entries = (
        OddEntry(
            # Some are there as the first router starts.
            max(round(rng.uniform(-1, LAST_START_S), 2), 0),
            f'{rng.choice("0mz")}-odd-{rng.randrange(3)}',
            _draw_bytes(rng) if rng.random() > REMOVED_FRACTION else None,
        )
        for _ in range(rng.randint(1, MAX_ENTRIES))
    )
    return tuple(sorted(entries, key=lambda entry: entry.at_s))


def draw_store(seed: int) -> platform_store.PlatformStoreCfg:
    """Return the options of the store of a seed."""
    rng = random.Random(f'{seed}/store')
    if rng.random() >= USED_STORE_FRACTION:
        return platform_store.PlatformStoreCfg()
    bits = rng.randint(1, MAX_REVISION_BITS)
    return platform_store.PlatformStoreCfg(
        first_revision=max(2**bits - rng.randint(-1, NEAR), 1),
        first_era=max(2 ** rng.randint(0, MAX_ERA_BITS) - 1, 1),
    )


async def write(
    deployment: site.SoakSite, entries: tuple[OddEntry, ...]
) -> None:
    """Write odd entries; those of the start are there already."""
    elapsed_s = 0.0
    for entry in entries:
        await asyncio.sleep(entry.at_s - elapsed_s)
        elapsed_s = entry.at_s
        put(deployment.site.store_behaviour, entry)


def put(party: platform_store.PlatformStore, entry: OddEntry) -> None:
    """Write or remove an entry."""
    stored = party.take_snapshot().stored
    if entry.raw is not None:
        party.put(store.SERVERS, entry.name, msgspec.Raw(entry.raw))
    elif (store.SERVERS, entry.name) in stored:
        party.remove(store.SERVERS, entry.name)


def _draw_bytes(rng: random.Random) -> bytes:
    raw = FIRST + LAST
    for _ in range(rng.randint(1, MAX_CHANGES)):
        at = rng.randrange(len(raw))
        cut = raw[at : at + rng.randrange(MAX_BYTES)]
        kept = raw[at + len(cut) :]
        inserted = rng.choice((b'', cut * 2, rng.randbytes(MAX_BYTES)))
        raw = raw[:at] + inserted + kept or b'-'
    # The bytes may still be those of a server, of which there must be none.
    return b'x%b' % raw if _is_json(raw) else raw


def _is_json(raw: bytes) -> bool:
    try:
        msgspec.json.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return False
    return True
