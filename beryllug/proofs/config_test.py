"""Tests that accepted configurations take effect quickly and never revert."""

import asyncio
import time
import unittest
from collections import defaultdict
from typing import Any

from beryllug.core import config_data
from beryllug.standins import fleet_settings, harness, sample

HOSTS = 3
FIRST_CONTROL = fleet_settings.control_name(0)
FIRST_ENTRY = fleet_settings.entry_name(0)
CONVERGENCE_TIMEOUT_S = 13.0
POLL_S = 0.05
WRITE_ROOT = 'PUT /v1/objects/beryllug/config/root'


def _weighted(weight: int) -> config_data.Document:
    declared = sample.document()
    first = declared.accounts[0]._replace(weight=weight)
    return declared._replace(accounts=(first, *declared.accounts[1:]))


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    """Reads the revisions of real processes from their dumps."""

    async def asyncSetUp(self) -> None:
        self.fleet = harness.Fleet(sample.plan(HOSTS))
        self.observed: dict[str, list[int]] = defaultdict(list)
        self.current: dict[str, int] = {}
        self.names = [
            name(index)
            for index in range(HOSTS)
            for name in (
                fleet_settings.control_name,
                fleet_settings.entry_name,
            )
        ]
        await self.fleet.start()
        self.polling = asyncio.create_task(self._poll_all())

    async def asyncTearDown(self) -> None:
        self.polling.cancel()
        await asyncio.gather(self.polling, return_exceptions=True)
        await self.fleet.stop()

    async def test_faults(self) -> None:
        """Configurations are applied under a sequence of faults.

        After each fault every process reaches the latest revision, and the
        revision that a process reports never decreases.
        """
        for weight, (title, fault) in enumerate(
            (
                ('frozen control', self._apply_with_control_frozen),
                ('frozen entry', self._apply_with_entry_frozen),
                ('lost answer', self._apply_with_reply_lost),
                ('slow platform', self._apply_with_slow_platform),
                ('restart in an outage', self._restart_in_outage),
                ('killed control', self._apply_with_control_killed),
            ),
            start=10,
        ):
            with self.subTest(title):
                await fault(_weighted(weight))
                await self._wait_all_current()
        for name, revisions in self.observed.items():
            with self.subTest(name):
                self.assertEqual(revisions, sorted(revisions))

    async def _apply_with_control_frozen(
        self, document: config_data.Document
    ) -> None:
        """A control process is frozen while a document is applied."""
        self.fleet.processes.pause(FIRST_CONTROL)
        await self.fleet.apply(document)
        await self._wait_current(name for name in self.names if name[-1] != '0')
        self.fleet.processes.resume(FIRST_CONTROL)

    async def _apply_with_entry_frozen(
        self, document: config_data.Document
    ) -> None:
        """An entry process is frozen while a document is applied."""
        self.fleet.processes.pause(FIRST_ENTRY)
        await self.fleet.apply(document)
        await self._wait_current(
            name for name in self.names if name != FIRST_ENTRY
        )
        self.fleet.processes.resume(FIRST_ENTRY)

    async def _apply_with_reply_lost(
        self, document: config_data.Document
    ) -> None:
        """The platform's reply to the write is lost after it took effect."""
        self.fleet.platform.put_faults(
            drop_answer=True, only=WRITE_ROOT, times=1
        )
        expected = self.fleet.revision + 1
        self.assertEqual(await self.fleet.apply(document), expected)
        self.fleet.platform.put_faults()

    async def _apply_with_slow_platform(
        self, document: config_data.Document
    ) -> None:
        """Every call to the platform is delayed."""
        self.fleet.platform.put_faults(delay_s=0.5)
        await self.fleet.apply(document)
        await self._wait_all_current()
        self.fleet.platform.put_faults()

    async def _restart_in_outage(self, document: config_data.Document) -> None:
        """A host restarts in a platform outage and syncs from its peers."""
        await self.fleet.apply(document)
        await self._wait_all_current()
        self.fleet.platform.put_faults(refuse=True)
        await self.fleet.platform.settle()
        for name in (FIRST_CONTROL, FIRST_ENTRY):
            await self._kill(name)
        for name in (FIRST_CONTROL, FIRST_ENTRY):
            await self.fleet.spawn(name)
        await self._wait_all_current()
        await self.fleet.wait_ready(FIRST_ENTRY)
        self.fleet.platform.put_faults()
        await self.fleet.platform.settle()

    async def _apply_with_control_killed(
        self, document: config_data.Document
    ) -> None:
        """A control process is killed; its entry process uses another one."""
        await self._kill(FIRST_CONTROL)
        await self.fleet.apply(document)
        await self._wait_current(
            name for name in self.names if name != FIRST_CONTROL
        )
        await self.fleet.spawn(FIRST_CONTROL)

    async def _kill(self, name: str) -> None:
        """Kill a process and discard its observed revision."""
        await self.fleet.processes.kill(name)
        self.current.pop(name, None)

    async def _wait_all_current(self) -> None:
        await self._wait_current(self.names)

    async def _wait_current(self, names: Any) -> None:
        """Wait until processes have the latest revision, up to a timeout."""
        pending = set(names)
        deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while pending:
            self.assertLess(time.monotonic(), deadline, pending)
            await asyncio.sleep(POLL_S)
            pending = {
                name
                for name in pending
                if self.current.get(name, 0) < self.fleet.revision
            }

    async def _poll_all(self) -> None:
        """Poll the revision of every process."""
        await asyncio.gather(*map(self._poll_revision, self.names))

    async def _poll_revision(self, name: str) -> None:
        service = 'control_link' if name.startswith('entry') else 'config'
        while True:
            await asyncio.sleep(POLL_S)
            try:
                async with asyncio.timeout(1):
                    state = await self.fleet.dump(name)
            except TimeoutError:
                continue
            revision = state[service]['revision']
            # A process that has just started has no revision yet.
            if revision:
                self.observed[name].append(revision)
                self.current[name] = revision


if __name__ == '__main__':
    unittest.main()
