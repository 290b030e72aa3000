"""Tests of lost trials that the store keeps."""

import asyncio
import time
import unittest
from typing import Any

from beryllug.core import suspects
from beryllug.core.placement import listing, poison_data, suspect_keys
from beryllug.drivers import object_data, store_data
from beryllug.kernel import log_lines
from beryllug.router import (
    accusation_documents,
    accusation_list,
    accusation_writes,
    crash_watch,
    leaving_servers,
    server_checks,
    suspect_trials,
)

NOW = 50.0
BAD, RARE = suspect_keys.segment_keys(('bad0', 'd2'))
SHARED = poison_data.Accusation('trial-1', (BAD,), 'i-1', 3, 1.0)
LONG_S = 60.0


class _Lines(log_lines.LineWriter):
    """Records the events of lines."""

    def __init__(self) -> None:
        """Open nothing."""
        self.events: list[str] = []

    def write(self, event: str, **fields: Any) -> None:
        """Record a line."""
        self.events.append(event)


class _Store:
    """A store that refuses some calls."""

    def __init__(self, *errors: Exception) -> None:
        self.calls: list[tuple[str, str]] = []
        self.specs: dict[str, Any] = {}
        self._errors = list(errors)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        self._note('create', name)
        self.specs[name] = spec

    async def delete(self, kind: str, name: str) -> None:
        self._note('delete', name)
        self.specs.pop(name, None)

    def _note(self, call: str, name: str) -> None:
        self.calls.append((call, name))
        if self._errors:
            raise self._errors.pop(0)


def _stored(name: str, spec: Any) -> store_data.StoredObject:
    return store_data.StoredObject(name, 1, spec, None, is_leaving=False)


def _spec(ago_s: float, *keys: str) -> dict[str, Any]:
    record = poison_data.Accusation('trial', keys, 'i-1', 3, ago_s)
    return accusation_documents.encode(record, time.time())


class AccusationsTest(unittest.IsolatedAsyncioTestCase):
    """A process that has just started, and one whose trial was lost."""

    def setUp(self) -> None:
        """Start without known losses."""
        self.lines = _Lines()
        absent: Any = None
        self.suspects = suspect_trials.SuspectTrials(self.lines)
        self.listed = accusation_list.AccusationList(
            crash_watch.CrashWatch(
                self.suspects,
                server_checks.ServerChecks(absent),
                leaving_servers.LeavingServers(
                    listing.ServerListing(1), self.lines
                ),
                self.lines,
            ),
            self.lines,
        )

    def take(self, *found: store_data.StoredObject) -> None:
        """Process a list from the store."""
        self.listed.listed(store_data.Listing(found, 1), NOW)

    def refused_s(self, *keys: str) -> float:
        """Return the seconds for which a new request is refused."""
        return suspect_keys.refused_s(self.suspects.state.table, keys, NOW)

    async def test_listed(self) -> None:
        """A process that starts sends on what the others refuse."""
        self.assertFalse(self.listed.is_known)
        self.take(_stored('trial-1', _spec(1, BAD, RARE)))
        self.assertTrue(self.listed.is_known)
        self.assertGreater(self.refused_s(BAD, RARE), 0)
        self.assertEqual(self.refused_s(BAD), 0)

    async def test_malformed(self) -> None:
        """One object that another writer has spoilt hides all others."""
        self.take(
            _stored('a', {'keys': []}),
            _stored('b', 'text'),
            _stored('c', {'keys': ['x'], 'server': 'i-1', 'lost_servers': -1}),
            # A note can't contain a number of over 64 bits.
            _stored('d', _spec(1, RARE) | {'lost_servers': 2**64}),
            _stored('trial-1', _spec(1, BAD)),
        )
        self.assertGreater(self.refused_s(BAD), 0)
        self.assertEqual(self.lines.events.count('accusation_refused'), 4)

    async def test_expired(self) -> None:
        """What was refused hours ago is refused again after each start."""
        self.take(
            _stored('old', _spec(suspects.SHARED_SUSPICION_S + 1, BAD)),
            _stored('own', _spec(suspects.REFUSED_S + 1, 'request')),
        )
        self.assertEqual(self.refused_s(BAD, 'request'), 0)
        self.assertEqual(self.listed.expired, ('old', 'own'))

    async def test_clock_ahead(self) -> None:
        """A writer's clock that is ahead makes a refusal last for hours."""
        self.take(_stored('trial-1', _spec(-LONG_S, BAD)))
        self.assertLessEqual(self.refused_s(BAD), suspect_keys.FIRST_REFUSED_S)

    async def test_store_away(self) -> None:
        """A lost trial in an outage of the store is never written."""
        api = _Store(
            object_data.UnavailableError('down'),
            object_data.UncertainError('no answer'),
        )
        written = await self._write(api, SHARED)
        self.assertEqual(api.calls, 3 * [('create', 'trial-1')])
        self.assertEqual(set(api.specs), {'trial-1'})
        self.assertEqual(written.dump()['waiting'], [])

    async def test_written_before(self) -> None:
        """A write that took effect without an answer is tried for ever."""
        api = _Store(object_data.ConflictError(1))
        written = await self._write(api, SHARED)
        self.assertEqual(written.dump()['waiting'], [])

    async def test_never_stored(self) -> None:
        """What the store refuses for good keeps all others from it."""
        api = _Store(object_data.ObjectApiError('status 400'))
        client: Any = api
        written = accusation_writes.AccusationWrites(
            client, self.listed, self.lines
        )
        written.store(SHARED)
        written.store(SHARED._replace(trial_id='trial-2'))
        await self._run(written, api)
        self.assertEqual(set(api.specs), {'trial-2'})
        self.assertEqual(written.dump()['dropped'], 1)

    async def test_written_late(self) -> None:
        """A write that waits for the store makes its refusal last longer."""
        api = _Store(object_data.UnavailableError('down'))
        lost_at = time.time() - SHARED.ago_s
        await self._write(api, SHARED)
        stored_at = api.specs['trial-1']['at']
        self.assertLess(stored_at - lost_at, accusation_writes.FIRST_PAUSE_S)

    async def test_cleared(self) -> None:
        """What was cleared while its write waited is stored all the same."""
        api = _Store()
        client: Any = api
        written = accusation_writes.AccusationWrites(
            client, self.listed, self.lines
        )
        written.store(SHARED)
        written.remove(('trial-1',))
        await self._run(written, api)
        self.assertEqual(api.specs, {})

    async def test_bounded(self) -> None:
        """A store that is away for hours fills the memory."""
        client: Any = _Store()
        written = accusation_writes.AccusationWrites(
            client, self.listed, self.lines
        )
        for number in range(2 * accusation_writes.MAX_WAITING):
            written.store(SHARED._replace(trial_id=f'trial-{number}'))
        self.assertEqual(
            len(written.dump()['waiting']), accusation_writes.MAX_WAITING
        )

    async def _write(
        self, api: _Store, accusation: poison_data.Accusation
    ) -> accusation_writes.AccusationWrites:
        client: Any = api
        written = accusation_writes.AccusationWrites(
            client, self.listed, self.lines
        )
        written.store(accusation)
        await self._run(written, api)
        return written

    async def _run(
        self, written: accusation_writes.AccusationWrites, api: _Store
    ) -> None:
        await written.start()
        async with asyncio.timeout(LONG_S):
            while written.dump()['waiting']:
                await asyncio.sleep(0)
        await written.stop(0)


if __name__ == '__main__':
    unittest.main()
