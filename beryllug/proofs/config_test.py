"""An accepted configuration is in force within seconds and never reverts."""

import asyncio
import time
import unittest
from collections import defaultdict
from typing import Any

from beryllug.core import config_data
from beryllug.standins import fleet_settings, harness, sample

HOSTS = 3
SEED_CONTROL = fleet_settings.control_name(0)
SEED_ENTRY = fleet_settings.entry_name(0)
WITHIN_S = 13.0
POLL_S = 0.05
WRITE_ROOT = 'PUT /v1/objects/beryllug/config/root'


def _weighted(weight: int) -> config_data.Document:
    declared = sample.document()
    first = declared.accounts[0]._replace(weight=weight)
    return declared._replace(accounts=(first, *declared.accounts[1:]))


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    """Real processes; what they hold is read from their dumps."""

    async def asyncSetUp(self) -> None:
        self.fleet = harness.Fleet(sample.plan(HOSTS))
        self.seen: dict[str, list[int]] = defaultdict(list)
        self.present: dict[str, int] = {}
        self.names = [
            name(index)
            for index in range(HOSTS)
            for name in (
                fleet_settings.control_name,
                fleet_settings.entry_name,
            )
        ]
        await self.fleet.start()
        self.watching = asyncio.create_task(self._watch())

    async def asyncTearDown(self) -> None:
        self.watching.cancel()
        await asyncio.gather(self.watching, return_exceptions=True)
        await self.fleet.stop()

    async def test_faults(self) -> None:
        """One deployment meets the faults one after the other.

        Whatever fails, every process has the last revision in the end, and
        none is ever seen with a lower one than it had before.
        """
        for weight, (title, fault) in enumerate(
            (
                ('frozen control', self._over_frozen_control),
                ('frozen entry', self._over_frozen_entry),
                ('lost answer', self._with_lost_answer),
                ('slow platform', self._over_slow_platform),
                ('restart in an outage', self._restart_in_outage),
                ('killed control', self._over_killed_control),
            ),
            start=10,
        ):
            with self.subTest(title):
                await fault(_weighted(weight))
                await self._reach_all()
        for name, revisions in self.seen.items():
            with self.subTest(name):
                self.assertEqual(revisions, sorted(revisions))

    async def _over_frozen_control(
        self, document: config_data.Document
    ) -> None:
        """A control is frozen while a document is applied, then wakes."""
        self.fleet.processes.freeze(SEED_CONTROL)
        await self.fleet.apply(document)
        await self._reach(name for name in self.names if name[-1] != '0')
        self.fleet.processes.thaw(SEED_CONTROL)

    async def _over_frozen_entry(self, document: config_data.Document) -> None:
        """An entry is frozen while a document is applied, then wakes."""
        self.fleet.processes.freeze(SEED_ENTRY)
        await self.fleet.apply(document)
        await self._reach(name for name in self.names if name != SEED_ENTRY)
        self.fleet.processes.thaw(SEED_ENTRY)

    async def _with_lost_answer(self, document: config_data.Document) -> None:
        """The answer to the apply is lost after its effect."""
        self.fleet.platform.put_faults(
            drop_answer=True, only=WRITE_ROOT, times=1
        )
        expected = self.fleet.revision + 1
        self.assertEqual(await self.fleet.apply(document), expected)
        self.fleet.platform.put_faults()

    async def _over_slow_platform(self, document: config_data.Document) -> None:
        """Each call of the platform takes long."""
        self.fleet.platform.put_faults(delay_s=0.5)
        await self.fleet.apply(document)
        await self._reach_all()
        self.fleet.platform.put_faults()

    async def _restart_in_outage(self, document: config_data.Document) -> None:
        """A host is replaced while the platform is away: peers know all."""
        await self.fleet.apply(document)
        await self._reach_all()
        self.fleet.platform.put_faults(refuse=True)
        await self.fleet.platform.settle()
        for name in (SEED_CONTROL, SEED_ENTRY):
            await self._kill(name)
        for name in (SEED_CONTROL, SEED_ENTRY):
            await self.fleet.spawn(name)
        await self._reach_all()
        await self.fleet.wait_ready(SEED_ENTRY)
        self.fleet.platform.put_faults()
        await self.fleet.platform.settle()

    async def _over_killed_control(
        self, document: config_data.Document
    ) -> None:
        """A control is killed; its entry follows another one."""
        await self._kill(SEED_CONTROL)
        await self.fleet.apply(document)
        await self._reach(name for name in self.names if name != SEED_CONTROL)
        await self.fleet.spawn(SEED_CONTROL)

    async def _kill(self, name: str) -> None:
        """Kill a process; what it held counts no more."""
        await self.fleet.processes.kill(name)
        self.present.pop(name, None)

    async def _reach_all(self) -> None:
        await self._reach(self.names)

    async def _reach(self, names: Any) -> None:
        """Wait until processes hold the last revision, for some seconds."""
        waiting = set(names)
        until = time.monotonic() + WITHIN_S
        while waiting:
            self.assertLess(time.monotonic(), until, waiting)
            await asyncio.sleep(POLL_S)
            waiting = {
                name
                for name in waiting
                if self.present.get(name, 0) < self.fleet.revision
            }

    async def _watch(self) -> None:
        """Read the revision of every process, again and again."""
        await asyncio.gather(*map(self._watch_one, self.names))

    async def _watch_one(self, name: str) -> None:
        service = 'control_link' if name.startswith('entry') else 'config'
        while True:
            await asyncio.sleep(POLL_S)
            try:
                async with asyncio.timeout(1):
                    state = await self.fleet.dump(name)
            except TimeoutError:
                continue
            revision = state[service]['revision']
            # A process that was just started has nothing yet.
            if revision:
                self.seen[name].append(revision)
                self.present[name] = revision


if __name__ == '__main__':
    unittest.main()
