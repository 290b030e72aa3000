"""Tests of fetching data of the store that peers have."""

import asyncio
import unittest
from typing import Any, NamedTuple

from beryllug.core.peering import members, peering_data
from beryllug.router import catch_up

Versions = peering_data.Versions
OWN = Versions(table=2)
CALL_S = 0.01


class _Peers:
    """Peers with a table of some version; records who is called."""

    def __init__(self, tables: dict[str, int]) -> None:
        self.members = members.Members('p0')
        self.store_exchange = self
        self.asked: list[str] = []
        self._tables = tables
        self._own = OWN

    def is_behind(self, versions: Versions) -> bool:
        return self._own.table < versions.table

    async def compare(self, address: str, max_delay_s: float = 0) -> None:
        self.asked.append(address)
        await asyncio.sleep(CALL_S)
        table = max(self._own.table, self._tables.get(address, 0))
        self._own = Versions(table=table)


class Case(NamedTuple):
    """Notes that tell of new tables, within one period.

    Attributes:
        title: What the case shows.
        tables: Version of each process's table, by address.
        told: The versions that notes tell, by address of their sender.
        first: Process that is called first.
        asked: Processes that are called, in order.
    """

    title: str
    tables: dict[str, int]
    told: tuple[tuple[str, int], ...]
    first: str
    asked: list[str]


CASES = (
    Case('the first has it', {'a': 3, 'b': 3}, (('a', 3),), 'b', ['b']),
    Case('the first lacks it', {'a': 3, 'b': 2}, (('a', 3),), 'b', ['b', 'a']),
    Case(
        'a newer one is told during the call',
        {'a': 3, 'b': 4},
        (('a', 3), ('b', 4), ('a', 3)),
        'a',
        ['a', 'b'],
    ),
    Case(
        'nobody has it any more',
        {},
        (('a', 3),),
        'b',
        ['b', 'a', 'a'],
    ),
)


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    """One process that lacks a route table."""

    async def test_calls(self) -> None:
        """A table that is pushed arrives with the push, not a round later."""
        for case in CASES:
            with self.subTest(case.title):
                double = _Peers(case.tables)
                peers: Any = double
                service = catch_up.CatchUp(peers)
                for sender, table in case.told:
                    note = peering_data.PeerNote(
                        sender, sender, versions=Versions(table=table)
                    )
                    service.start(note, case.first, 100)
                await asyncio.gather(*service.calls)
                self.assertEqual(double.asked, case.asked)


if __name__ == '__main__':
    unittest.main()
