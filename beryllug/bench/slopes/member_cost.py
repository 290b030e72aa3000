"""Messages and processor time of membership at sizes of the future.

The functions run on tables of those sizes in this process.
"""

import time
from collections.abc import Callable
from typing import Any

from beryllug.bench.slopes import fit, ledger, member_tables
from beryllug.core import lease_spread, member_data, membership, rendezvous
from beryllug.drivers import wire

SIZES = (8, 80, 890)
SHARDS = 48
LEASES = tuple(f'journal/{shard}' for shard in range(SHARDS))
REPEATS = 5
LEAST_S = 0.02
MS = 1000
PER = 'a process'

Work = Callable[[], Any]


async def run(shown: ledger.Ledger) -> None:
    """Measure each size."""
    shown.section(f'one control among {SIZES}: messages and decisions')
    shown.sweep(
        'bytes of a whole table in a heartbeat',
        'B',
        PER,
        [fit.Point(size, (len(wire.encode(_whole(size))),)) for size in SIZES],
    )
    for title, prepare in DECISIONS:
        points = [
            fit.Point(
                size, tuple(_took_ms(prepare(size)) for _ in range(REPEATS))
            )
            for size in SIZES
        ]
        shown.sweep(f'processor time: {title}', 'ms', PER, points)


def _whole(size: int) -> member_data.Heartbeat:
    table = member_tables.table_of(member_tables.members(size))
    return member_data.Heartbeat(table.own, *membership.everything(table))


def _took_ms(work: Work) -> float:
    """Return the processor time of a piece of work, done often enough."""
    work()
    count = 0
    began = time.process_time()
    spent_s = 0.0
    while spent_s < LEAST_S:
        work()
        count += 1
        spent_s = time.process_time() - began
    return spent_s / count * MS


def _news(size: int) -> Work:
    table = member_tables.table_of(member_tables.members(size))
    table.sends.clear()
    return lambda: membership.take_news(table, member_tables.name_of(1))


def _whole_table(size: int) -> Work:
    known = member_tables.members(size)
    return lambda: member_tables.table_of(known)


def _return(size: int) -> Work:
    """A member is believed dead and comes back: the ring is built twice."""
    table = member_tables.table_of(member_tables.members(size))
    name = member_tables.name_of(1)

    def work() -> None:  # noqa: WPS430
        member = table.known[name].member
        dead = member._replace(status=member_data.Status.DEAD)
        membership.merge(table, dead, 0)
        back = member._replace(incarnation=member.incarnation + 1)
        membership.merge(table, back, 0)

    return work


def _order(size: int) -> Work:
    names = [member_tables.name_of(number) for number in range(size)]
    return lambda: rendezvous.order('config watchers', names)


def _look(size: int) -> Work:
    names = [member_tables.name_of(number) for number in range(size)]
    spread = lease_spread.Spread()
    return lambda: lease_spread.update(spread, LEASES, names)


def _look_anew(size: int) -> Work:
    """One member leaves and comes back."""
    names = [member_tables.name_of(number) for number in range(size)]
    spread = lease_spread.Spread()

    def work() -> None:  # noqa: WPS430
        lease_spread.update(spread, LEASES, names[:-1])
        lease_spread.update(spread, LEASES, names)

    return work


DECISIONS: tuple[tuple[str, Callable[[int], Work]], ...] = (
    ('choose news for a heartbeat, none to tell', _news),
    ('a new process takes in the whole table', _whole_table),
    ('a member is lost and comes back', _return),
    ('order all members by rendezvous', _order),
    (f'look who should hold which of {len(LEASES)} leases', _look),
    ('the same when a member left and came back', _look_anew),
)
