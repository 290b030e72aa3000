"""A control process that owns every shard, on an in-memory object store.

The store responds after a few milliseconds, like the platform, and counts its
calls. No sockets are opened, so only the journal is measured.
"""

import asyncio
import time
from collections import Counter

from beryllug.bench import recorder
from beryllug.control import journal, leases, membership, shards
from beryllug.core import (
    journal_data,
    lease_data,
    rpc_data,
    settings_data,
)
from beryllug.drivers import fleet_key, object_data, rpc_peers
from beryllug.standins import object_store

DELAY_S = 0.003
ADDRESS = '127.0.0.1:1'
NAME = 'control-0'
BOOT = 'boot'
POLL_S = 0.02
TOKENS_IN = 800
TOKENS_OUT = 400
COST_MICRO = 1200
MICRO = 1000000


class MemoryApi:
    """An in-memory implementation of `ObjectApi` with a fixed delay.

    Attributes:
        calls: Number of calls by kind.
        bytes_written: Bytes written.
    """

    def __init__(self) -> None:
        """Make an empty store."""
        self.calls: Counter[str] = Counter()
        self.bytes_written = 0
        self._store = object_store.ObjectStore()

    async def read(self, key: str) -> object_data.Object | None:
        """Read an object."""
        await self._count_call('read')
        return self._store.read(key)

    async def list_keys(self, prefix: str) -> object_data.Listing:
        """List keys."""
        await self._count_call('list')
        return self._store.list_keys(prefix)

    async def write(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int:
        """Write an object."""
        self.bytes_written += len(value)
        await self._count_call('write')
        return self._store.write(key, value, expected_version)

    async def delete(self, key: str, expected_version: int | None) -> int:
        """Delete an object."""
        await self._count_call('delete')
        return self._store.delete(key, expected_version)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> object_data.WatchBatch:
        """Return an empty batch; leases and the journal do not watch."""
        await asyncio.sleep(wait_s)
        return object_data.WatchBatch(after, ())

    async def _count_call(self, kind: str) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(DELAY_S)


class JournalHarness:
    """A control process and the client that sends rows to its journal.

    Attributes:
        api: The object API.
        journal: The journal.
        begin_us: Added latency of an intent, in microseconds.
        finish_us: Time until an outcome is acknowledged, in microseconds.
        refused: Intents that were not granted.
    """

    def __init__(self, cfg: settings_data.Control) -> None:
        """Make the process without starting it."""
        self.api = MemoryApi()
        members = membership.Membership(NAME, ADDRESS)
        owner = lease_data.Owner(NAME, BOOT, ADDRESS)
        calls = rpc_peers.Peers(fleet_key.KeyRing(('key',)))
        self._leases = leases.Leases(self.api, owner, cfg.lease_s, members)
        shard_parts = shards.JournalServices(self.api, self._leases, calls)
        self.journal = journal.Journal(shard_parts, cfg, BOOT)
        self._shards = cfg.shards
        self.begin_us = recorder.new_histogram()
        self.finish_us = recorder.new_histogram()
        self.refused = 0

    async def start(self) -> None:
        """Start and wait until every shard is serving."""
        await self._leases.start()
        await self.journal.start()
        while self._served() < self._shards:
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Stop the journal, then the leases."""
        await self.journal.stop(1)
        await self._leases.stop(1)

    async def request(self, name: str) -> None:
        """Record one non-repeatable request, from intent to outcome."""
        row = intent(name)
        started = time.perf_counter()
        batch = rpc_data.IntentBatch((row,))
        reply = await self.journal.begin(batch)
        granted = reply.grants[0].kind is journal_data.GrantKind.GRANTED
        self.refused += not granted
        begun = time.perf_counter()
        await self.journal.finish(rpc_data.OutcomeBatch((outcome(row),)))
        finished = time.perf_counter()
        self.begin_us.record_value(round((begun - started) * MICRO))
        self.finish_us.record_value(round((finished - begun) * MICRO))

    def _served(self) -> int:
        owners = self.journal.owners().values()
        return sum(owner.serving for owner in owners)


def intent(name: str) -> journal_data.Row:
    """Make an intent with ids of the usual length."""
    family = f'{name:0>24}'
    return journal_data.Row(
        journal_data.RowKind.INTENT,
        f'{family}-0123456789ab',
        'kesarvan-wellness',
        family,
        f'{name:0>64}',
        at=time.time(),
        entry='entry-host-12-0/0123456789ab',
    )


def outcome(row: journal_data.Row) -> journal_data.Row:
    """Make the outcome of an intent, with the usage of one stage."""
    stage = journal_data.StageUse(
        'desk-small',
        '2026-11-30',
        'engine-server-1234',
        TOKENS_IN,
        TOKENS_OUT,
        COST_MICRO,
    )
    return row._replace(
        kind=journal_data.RowKind.OUTCOME,
        state=journal_data.OutcomeState.DONE,
        stages=(stage,),
    )
