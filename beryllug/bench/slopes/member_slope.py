"""Simulates the membership protocol at sizes beyond a test machine.

All tables of a fleet are in this process and exchange heartbeats in rounds:
in each round every process probes one target, as it does over the network.
Rounds and bytes of messages are counted; the network is not simulated.
"""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from beryllug.bench.slopes import fit, ledger, member_tables
from beryllug.core import member_data, membership
from beryllug.drivers import wire

SIZES = (8, 80, 890)
# Smaller sizes, as each lost member takes work in every other table.
ZONE_LOSS_SIZES = (20, 100, 300)
SEED = 7
HEARTBEAT_S = 1.0
MAX_ROUNDS = 200
ZONE_DIVISOR = 20
PER = 'a process'

Tables = dict[str, membership.Table]
Predicate = Callable[[membership.Table], bool]


class Propagation(NamedTuple):
    """How a change was disseminated.

    Attributes:
        rounds: Rounds until all processes had learned of it.
        sent: Mean bytes that a process sent, over all rounds until no table
            had news to send.
        mismatched: Sum over the rounds of the fraction of processes whose probe
            connected two processes of which only one knew of the change.
    """

    rounds: int
    sent: float
    mismatched: float


async def run(recorder: ledger.Recorder) -> None:
    """Simulate a restart and the loss of a zone at each size."""
    recorder.section(f'membership of {SIZES} processes, replayed')
    restarts = [restart(size) for size in SIZES]
    _sweep(
        recorder,
        'a restart: rounds until all know of it',
        'rounds',
        SIZES,
        [found.rounds for found in restarts],
    )
    _sweep(
        recorder,
        'a restart: bytes that each process sends for it',
        'B',
        SIZES,
        [found.sent for found in restarts],
    )
    _sweep(
        recorder,
        'a restart: sum over rounds of the part of probes between unlike ends',
        'rounds',
        SIZES,
        [found.mismatched for found in restarts],
    )
    losses = [fail_zone(size) for size in ZONE_LOSS_SIZES]
    _sweep(
        recorder,
        'a zone (1 of 20) lost: rounds until all others believe it dead',
        'rounds',
        ZONE_LOSS_SIZES,
        [found.rounds for found in losses],
    )
    _sweep(
        recorder,
        'a zone lost: bytes that each other process sends for it',
        'B',
        ZONE_LOSS_SIZES,
        [found.sent for found in losses],
    )


def _sweep(
    recorder: ledger.Recorder,
    name: str,
    unit: str,
    sizes: Sequence[int],
    figures: Sequence[float],
) -> None:
    points = [
        fit.Point(size, (figure,)) for size, figure in zip(sizes, figures)
    ]
    recorder.sweep(name, unit, PER, points)


def restart(size: int) -> Propagation:
    """Simulate the restart of one process."""
    tables = member_tables.tables(size)
    name = member_tables.name_of(0)
    own = tables[name].own
    restarted = own._replace(incarnation=size + 1, started=size + 1)
    tables[name].own = restarted

    def has_learned(table: membership.Table) -> bool:  # noqa: WPS430
        found = membership.find(table, name)
        return found is not None and found.incarnation == restarted.incarnation

    return _Replay(tables, frozenset()).run(has_learned)


def fail_zone(size: int) -> Propagation:
    """Simulate the simultaneous loss of all processes of one zone."""
    tables = member_tables.tables(size)
    failed = frozenset(
        member_tables.name_of(number) for number in range(0, size, ZONE_DIVISOR)
    )
    for name in failed:
        tables.pop(name)

    def has_learned(table: membership.Table) -> bool:  # noqa: WPS430
        return all(
            table.known[name].member.status is member_data.Status.DEAD
            for name in failed
        )

    return _Replay(tables, failed).run(has_learned)


class _Replay:
    """Tables that exchange heartbeats until no news is left to send.

    Attributes:
        sent: Bytes of news that were sent.
        mismatched: Probes between two processes of which only one knew of the
            change.
    """

    def __init__(self, tables: Tables, failed: frozenset[str]) -> None:
        """Start each table at a random position in its round."""
        self._rng = random.Random(SEED)
        self._tables = tables
        self._failed = failed
        self.sent = 0
        self.mismatched = 0
        for table in tables.values():
            table.round = self._rng.randrange(MAX_ROUNDS)

    def run(self, has_learned: Predicate) -> Propagation:
        """Run rounds until all know of the change and no news is left."""
        rounds = 0
        count = len(self._tables)
        informed: frozenset[str] = frozenset()
        for number in range(1, MAX_ROUNDS):
            informed = frozenset(
                filter(self._has_learned(has_learned), self._tables)
            )
            if len(informed) < count:
                rounds = number
            elif not any(table.sends for table in self._tables.values()):
                break
            self._round(informed, number * HEARTBEAT_S)
        return Propagation(rounds, self.sent / count, self.mismatched / count)

    def _has_learned(self, has_learned: Predicate) -> Callable[[str], bool]:
        return lambda name: has_learned(self._tables[name])

    def _round(self, informed: frozenset[str], now: float) -> None:
        order = list(self._tables)
        self._rng.shuffle(order)
        for name in order:
            table = self._tables[name]
            target = membership.next_target(table)
            if target is not None:
                self._probe(table, target.name, now)
                self.mismatched += len(informed & {name, target.name}) == 1
            membership.expire(table, HEARTBEAT_S, now)

    def _probe(self, table: membership.Table, target: str, now: float) -> None:
        if target in self._failed:
            membership.suspect(table, target, now)
        else:
            self.sent += _exchange(table, self._tables[target], now)


def _exchange(
    prober: membership.Table, target_table: membership.Table, now: float
) -> int:
    """Exchange a heartbeat and its reply; return the bytes of their news."""
    request = _heartbeat(prober, target_table.own.name)
    membership.merge_all(target_table, (request.sender, *request.news), now)
    reply = _heartbeat(target_table, prober.own.name)
    membership.merge_all(prober, (reply.sender, *reply.news), now)
    return _news_bytes(request) + _news_bytes(reply)


def _heartbeat(table: membership.Table, receiver: str) -> member_data.Heartbeat:
    news, notes = membership.pop_updates(table, receiver)
    return member_data.Heartbeat(table.own, news, notes)


def _news_bytes(heartbeat: member_data.Heartbeat) -> int:
    """Return the bytes beyond the receiver's own record, always sent."""
    return sum(len(wire.encode(news)) for news in heartbeat.news[1:])
