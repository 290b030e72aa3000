"""Entries of other writers: any bytes in place of an entry's value.

A process lists and watches the servers of the store's stand-in, directly and
without sockets. An odd entry names no server, and costs nothing but itself.
"""

import asyncio
import os
from typing import Any, NamedTuple
from unittest import main

import msgspec
from hypothesis import example, given, settings, strategies

from beryllug.control import virtual_time_test
from beryllug.core import stamps
from beryllug.drivers import http_data
from beryllug.kernel import log_lines
from beryllug.platform import documents, store
from beryllug.router import (
    order_list,
    server_list,
    store_listing,
    store_watch,
    zone_list,
)
from beryllug.standins import platform_store

SERVERS = store.SERVERS
PAGES = (2, 3, 50)
SOUND = ('a', 'c', 'e')
ODD = ('0', 'b', 'd', 'z')
PUNCTUATION = b'{}[]",:-%c%c%c' % (ord('\\'), 0, 255)
SURROGATE = b'%cud800' % ord('\\')
DEEP = b'[' * 6000
SETTLE_S = 2.0


class _Answer(NamedTuple):
    status: int
    headers: dict[str, str]


class _Response:
    """Keeps the response of the stand-in."""

    def __init__(self) -> None:
        self.answer: tuple[_Answer, bytes] = (_Answer(0, {}), b'')

    async def respond_json(
        self, status: int, found: Any, headers: dict[str, str]
    ) -> None:
        body = msgspec.json.encode(found)
        # Another store writes blanks between the records of a list.
        if sum(body) % 2:
            body = body.replace(b',{', b', {')
        self.answer = (_Answer(status, headers), body)

    async def respond(self, status: int, headers: dict[str, str]) -> None:
        self.answer = (_Answer(status, headers), b'')


class _Server:
    """Passes calls of the client to the stand-in."""

    def __init__(self, party: platform_store.PlatformStore) -> None:
        self._party = party

    async def call(
        self,
        outgoing: http_data.Outgoing,
        timeout_s: float,
        *,
        is_waiting: bool,
    ) -> Any:
        response: Any = _Response()
        req = http_data.Request(
            outgoing.method, outgoing.target, {}, outgoing.body, ''
        )
        await self._party.handle(req, response)
        return response.answer


def _spec(state: str = 'ready') -> dict[str, Any]:
    """Return the entry of a sound server."""
    return {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 6,
        'state': state,
    }


def _mutated(raw: bytes, at: int, cut: int, inserted: bytes) -> bytes:
    start = at % (len(raw) + 1)
    return raw[:start] + inserted + raw[start + cut :]


TOKENS = strategies.sampled_from(
    (
        *(bytes((each,)) for each in PUNCTUATION),
        *(b'1e999', b'NaN', SURROGATE, b'9' * 6000, b'null', DEEP),
    )
)
# A sound entry into which something is inserted, or in which something is
# missing, and bytes of any kind.
ODD_VALUES = strategies.one_of(
    strategies.builds(
        _mutated,
        strategies.just(msgspec.json.encode(_spec())),
        strategies.integers(0, 200),
        strategies.integers(0, 20),
        strategies.lists(TOKENS, max_size=4).map(b''.join),
    ),
    strategies.lists(TOKENS, min_size=1, max_size=8).map(b''.join),
    strategies.binary(min_size=1),
)


class OddEntriesTest(virtual_time_test.VirtualTimeCase):
    """Sound servers and an odd entry, followed from the start."""

    @settings(deadline=None, max_examples=300)
    @example(b'"%b"' % SURROGATE, 'b', 2)
    @example(b'{"zone":"\xff"}', '0', 2)
    @example(b'"', 'z', 2)
    @given(
        ODD_VALUES, strategies.sampled_from(ODD), strategies.sampled_from(PAGES)
    )
    def test_listed(self, odd: bytes, name: str, page: int) -> None:
        """A process is never ready, as one entry spoils the whole list."""
        asyncio.run(self._list(odd, name, page))

    @settings(deadline=None, max_examples=300)
    @example(b'"%b"' % SURROGATE, 'c')
    @example(b'1e999', 'b')
    @example(b'{', 'c')
    @given(ODD_VALUES, strategies.sampled_from((*ODD, *SOUND)))
    def test_watched(self, odd: bytes, name: str) -> None:
        """Changes of servers are not known after an odd entry."""
        asyncio.run(self._watch(odd, name))

    @settings(deadline=None, max_examples=100)
    @given(ODD_VALUES)
    def test_zone(self, odd: bytes) -> None:
        """A zone's evacuation ends, as its value can't be read."""
        asyncio.run(self._evacuate(odd))

    @settings(deadline=None, max_examples=100)
    @given(ODD_VALUES)
    def test_status(self, odd: bytes) -> None:
        """A roll-out is not known, as its status can't be read."""
        asyncio.run(self._order(odd))

    async def _list(self, odd: bytes, name: str, page: int) -> None:
        party, api = _store(page)
        party.put(SERVERS, name, msgspec.Raw(odd))
        found = await store_listing.list_all(api, SERVERS)
        servers = server_list.ServerList(1, _lines())
        servers.listed(found, 0)
        self.assertEqual(set(servers.specs), {*SOUND, *_usable(name, odd)})
        self.assertEqual(stamps.revision(found.revision), party.revision)

    async def _watch(self, odd: bytes, name: str) -> None:
        party, api = _store(PAGES[-1])
        servers = server_list.ServerList(1, _lines())
        follower = store_watch.Follower(
            servers.listed, servers.changed, servers.reached
        )
        watch = store_watch.StoreWatch(api, SERVERS, follower, _lines())
        watch.start()
        await asyncio.sleep(SETTLE_S)
        party.put(SERVERS, name, msgspec.Raw(odd))
        party.put(SERVERS, 'new', _spec())
        await asyncio.sleep(SETTLE_S)
        expected = {*SOUND, 'new'} - {name}
        self.assertEqual(set(servers.specs), expected.union(_usable(name, odd)))
        party.remove(SERVERS, name)
        party.put(SERVERS, 'new', _spec('draining'))
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(set(servers.specs), expected)
        self.assertEqual(servers.specs['new']['state'], 'draining')
        self.assertTrue(watch.is_current)
        await watch.stop()

    async def _evacuate(self, odd: bytes) -> None:
        party, api = _store(PAGES[-1])
        zones = zone_list.ZoneList(_lines())
        party.put(store.EVACUATIONS, 'north', {})
        found = await store_listing.list_all(api, store.EVACUATIONS)
        zones.listed(found, 0)
        party.put(store.EVACUATIONS, 'north', msgspec.Raw(odd))
        changes = await api.watch(store.EVACUATIONS, found.revision, 0)
        zones.changed(changes, 0)
        found = await store_listing.list_all(api, store.EVACUATIONS)
        zones.listed(found, 0)
        self.assertEqual(zones.evacuated, {'north'})

    async def _order(self, odd: bytes) -> None:
        party, api = _store(PAGES[-1])
        orders = order_list.OrderList(_lines())
        order = {'service': 'pool', 'target': 'v2', 'duration_s': 24}
        party.put(store.ROLLOUTS, 'pool', order, msgspec.Raw(odd))
        found = await store_listing.list_all(api, store.ROLLOUTS)
        orders.listed(found, 0)
        self.assertEqual(list(orders.orders), ['pool'])


def _store(page: int) -> tuple[platform_store.PlatformStore, store.Store]:
    """Return the stand-in with the sound servers, and a client of it."""
    party = platform_store.PlatformStore(
        platform_store.PlatformStoreCfg(page=page)
    )
    for name in SOUND:
        party.put(SERVERS, name, _spec())
    client: Any = None
    api = store.Store(client, '', 1)
    server: Any = _Server(party)
    api.server = server
    return party, api


def _lines() -> log_lines.LineWriter:
    return log_lines.LineWriter(os.open(os.devnull, os.O_WRONLY))


def _usable(name: str, raw: bytes) -> set[str]:
    """Return the name of an entry if it is that of a server, else nothing."""
    try:
        documents.server(name, msgspec.json.decode(raw))
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return set()
    return {name}


if __name__ == '__main__':
    main()
