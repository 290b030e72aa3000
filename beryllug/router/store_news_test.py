"""Tests of how store data spreads through a fleet."""

import unittest
import uuid
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

import msgspec

from beryllug.core import settings_data
from beryllug.core.peering import (
    aggregation,
    members,
    peering_data,
    watcher_election,
)
from beryllug.drivers import store_era
from beryllug.kernel import log_lines
from beryllug.platform import documents
from beryllug.router import (
    store_exchange,
    server_list,
    store_news,
    store_liveness,
    zone_list,
)

ZONES = 5
# Client accounts whose keys do not fit a datagram.
MANY_TENANTS = 100
ENTRY = MappingProxyType(
    {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'z0',
        'version': 'v1',
        'slots': 16,
        'state': 'ready',
    }
)


class _Known:
    """A directory that follows the store or does not."""

    def __init__(self, *, is_current: bool) -> None:
        lines = log_lines.LineWriter(1)
        self.servers = server_list.ServerList(1, lines)
        self.servers.apply_specs({}, 5, 'p9', 0)
        self.table: Any = None
        self.table_spec: Any = None
        self._listener: Any = None
        self.eras = store_era.StoreEra()
        self.orders = self
        self.zones = zone_list.ZoneList(lines)
        api: Any = None
        self.liveness = store_liveness.StoreLiveness(api, ())
        self._is_current = is_current
        self.followed: list[bool] = []

    def is_current(self) -> bool:
        return self._is_current

    def on_table(self, listener: Any) -> None:
        self._listener = listener

    def put_in_force(self, spec: dict[str, Any]) -> None:
        """Put a table in force as if it came from the store."""
        self.take_table_spec(spec, 'store')

    def take_table_spec(self, spec: Any, source: str) -> None:
        self.table = documents.table(spec)
        self.table_spec = spec
        self._listener(self.table)

    def on_order(self, listener: Any) -> None:
        """Have no orders."""

    def revision(self) -> int:
        return 0

    async def update_following(self, *, should_follow: bool) -> None:
        self.followed.append(should_follow)


class _Peers:
    """Known peers; records which are asked for data."""

    def __init__(
        self, known: members.Members, shared: store_exchange.StoreExchange
    ) -> None:
        self.members = known
        self.store_exchange = shared
        self.asked: list[str] = []

    async def compare(self, address: str, max_delay_s: float = 0) -> None:
        self.asked.append(address)


class _Process:
    """One process of a fleet, with what it sends."""

    def __init__(
        self, name: str, size: int = 195, *, is_current: bool = False
    ) -> None:
        self.known = _Known(is_current=is_current)
        self.members = members.Members(name)
        for number in range(size):
            each = f'p{number}'
            zone = f'z{number % ZONES}'
            seen = members.KnownPeer(f'{each}:1', f'{each}:2', 0, zone)
            members.record_peer(self.members, each, seen)
        zone = f'z{int(name[1:]) % ZONES}'
        directory: Any = self.known
        self.peers = _Peers(
            self.members, store_exchange.StoreExchange(directory)
        )
        self.sent: list[tuple[list[str], peering_data.PeerNote]] = []
        peers: Any = self.peers
        self.news = store_news.StoreNews(
            settings_data.Router('', '', f'{name}:1', f'{name}:2', '', ()),
            zone,
            peers,
            directory,
            self._send,
        )

    def receivers(self) -> set[str]:
        """Return the receivers of all notes so far, and forget the notes."""
        addresses = {name for chosen, _ in self.sent for name in chosen}
        self.sent.clear()
        return {each.removesuffix(':2') for each in addresses}

    def _send(self, chosen: Iterable[str], note: peering_data.PeerNote) -> None:
        self.sent.append((list(chosen), note))


def _aggregators(zone: str) -> list[str]:
    known = _Process('p0').members
    return aggregation.aggregators(known, zone, 'z0')


def _table(tenants: int) -> dict[str, Any]:
    """Return a route table with a number of client accounts."""
    accounts = [
        {'name': f'tenant-{number}', 'api_keys': [uuid.uuid4().hex]}
        for number in range(tenants)
    ]
    return {'version': 3, 'routes': [], 'services': [], 'tenants': accounts}


def _change(revision: int, sender: str = 'p9') -> peering_data.PeerNote:
    """Return the note of a process that has seen a new server."""
    return peering_data.PeerNote(
        sender,
        f'{sender}:1',
        is_watching=True,
        versions=peering_data.Versions(servers=revision),
        since=revision - 1,
        entries=msgspec.json.encode((('s1', dict(ENTRY)),)),
    )


class StoreNewsTest(unittest.IsolatedAsyncioTestCase):
    """A fleet of 195 processes in five zones."""

    def test_few_are_told(self) -> None:
        """A follower of the store tells ten aggregators, not 194 processes."""
        is_aggregator = 'p7' in _aggregators('z2')
        for is_current, expected in (
            (True, 2 * ZONES - is_aggregator),
            (False, 0),
        ):
            with self.subTest(is_current=is_current):
                process = _Process('p7', is_current=is_current)
                process.news.announce()
                self.assertEqual(len(process.receivers()), expected)

    async def test_change_goes_on(self) -> None:
        """A change reaches a zone through its aggregators, once from each.

        If nobody passed it on, a server that has left would get requests until
        each process's next comparison with a peer.
        """
        aggregator = _aggregators('z1')[1]
        other = next(
            f'p{number}'
            for number in range(1, 195, ZONES)
            if f'p{number}' not in _aggregators('z1')
        )
        for name, expected in ((aggregator, 38), (other, 0)):
            with self.subTest(name):
                process = _Process(name)
                for _ in range(3):
                    process.news.handle_note(_change(6), 100)
                self.assertEqual(process.known.servers.revision, 6)
                self.assertEqual(
                    sum(len(each[0]) for each in process.sent), expected
                )

    async def test_revision_of_changes(self) -> None:
        """Changes are passed on with the revision that they lead to.

        The aggregator may know of later changes by another way. Sent with its
        own revision, these changes would make its zone believe that it has the
        later ones too, and it would never ask for them.
        """
        process = _Process(_aggregators('z1')[0])
        process.news.handle_note(_change(6), 100)
        note = process.sent[-1][1]
        self.assertEqual(note.versions.servers, 6)
        self.assertEqual(note.since, 5)

    async def test_behind(self) -> None:
        """A process that lacks a change asks one that has it, load spread.

        After a note of a follower it asks any follower, after a note of an
        aggregator of its zone any of these, and after any other note the
        sender: if it asked only aggregators, and these were cut off, it would
        never get the change.
        """
        following = ('p50', 'p51', 'p52')
        near = tuple(_aggregators('z1'))
        table: tuple[tuple[str, bool, tuple[str, ...]], ...] = (
            ('p50', True, following),
            (near[0], False, near),
            ('p60', False, ('p60',)),
        )
        for sender, is_watching, expected in table:
            with self.subTest(sender):
                process = _Process('p1')
                note = peering_data.PeerNote(
                    sender,
                    f'{sender}:1',
                    is_watching=is_watching,
                    versions=peering_data.Versions(servers=9),
                )
                for now in range(100, 130):
                    _hear(process, following, now)
                    process.news.handle_note(note, now)
                await _wait_for_calls(process)
                asked = set(process.peers.asked)
                self.assertEqual(asked, {f'{name}:1' for name in expected})

    async def test_table(self) -> None:
        """A short table comes with the push, a long one by a call."""
        for tenants, is_pushed in ((1, True), (MANY_TENANTS, False)):
            with self.subTest(tenants=tenants):
                follower = _Process('p7', is_current=True)
                follower.known.put_in_force(_table(tenants))
                note = follower.sent[-1][1]
                self.assertEqual(bool(note.table), is_pushed)
                member = _Process('p1')
                member.news.handle_note(note, 100)
                self.assertEqual(member.known.table_spec is not None, is_pushed)
                self.assertEqual(
                    bool(member.news.catch_up.calls), not is_pushed
                )
                await _wait_for_calls(member)

    async def test_relayed(self) -> None:
        """A process that gets only totals learns from them who follows.

        Otherwise it would follow the store itself, and 195 processes would list
        and watch all of it.
        """
        primary = _Process(_aggregators('z1')[0])
        member = _Process('p1')
        first = [f'p{number}' for number in (50, 60, 70)]
        for step in range(40):
            now = 100 + step / 4
            for name in first:
                announced = peering_data.PeerNote(
                    name, f'{name}:1', is_watching=True
                )
                primary.news.handle_note(announced, now - 0.2)
            if step % 2:
                total = peering_data.PeerNote(primary.members.name, '')
                member.news.handle_note(
                    primary.news.with_store_state(total, now), now
                )
            await member.news.update_following(now + 0.4)
        self.assertNotIn(True, member.known.followed[8:])


def _hear(process: _Process, names: Iterable[str], now: float) -> None:
    """Make a process know which others follow the store."""
    for name in names:
        watcher_election.record_watcher(process.news.standing, name, now)


async def _wait_for_calls(process: _Process) -> None:
    """Wait for the calls, which are spread over part of a second."""
    for task in tuple(process.news.catch_up.calls):
        await task


if __name__ == '__main__':
    unittest.main()
