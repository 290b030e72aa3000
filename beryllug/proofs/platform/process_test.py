"""Router processes: stopped, killed, frozen, and given new settings."""

import asyncio
import signal
import unittest
from http import HTTPStatus

from beryllug.drivers import http_client, http_data
from beryllug.platform import names
from beryllug.soak import proxy
from beryllug.standins import platform_site, processes

DRAFT = '/draft/roster'
LOOKUP = '/lookup/slot'
EVENTS = 20
EVENT_S = 0.05
# Seconds until a process uses a changed setting, and a changed table.
MOVED_S = 2.0
APPLIED_S = 2.0


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Two processes that use one store."""

    async def asyncSetUp(self) -> None:
        self.site = platform_site.Site()
        self.running = processes.Processes()
        await self.site.open()
        for instance in ('p1', 'p2'):
            await self.site.add_runner(
                platform_site.POOL, instance, events=EVENTS, event_s=EVENT_S
            )
        await self.site.add_runner(platform_site.DESK, 'd1')
        for _ in range(2):
            await self.site.spawn_router(self.running)
        self.first = self.site.routers[0]
        self.other = self.site.routers[1]

    async def asyncTearDown(self) -> None:
        await self.running.stop()
        await self.site.close()

    async def test_stop(self) -> None:
        """A planned stop cuts no stream, and readiness fails first.

        A one-second stream is running when the process is told to stop. The
        stream is completed, the balancer sees the failing readiness check at
        once, new requests are still answered, and then the process exits by
        itself.
        """
        stream = asyncio.create_task(self._draft())
        await asyncio.sleep(EVENT_S * 3)
        stopped = asyncio.create_task(self.running.terminate(self.first.name))
        await asyncio.sleep(EVENT_S * 3)
        self.assertEqual(await self._readiness(), 503)
        reply = await self.site.ask(self.first, LOOKUP)
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers['connection'], 'close')
        whole = await stream
        self.assertEqual(whole.body.count(b'id: '), EVENTS)
        self.assertEqual(await stopped, 0)

    async def test_kill(self) -> None:
        """The other process serves on; a restarted one is soon ready."""
        await self.running.kill(self.first.name)
        for _ in range(5):
            reply = await self.site.ask(self.other, LOOKUP)
            self.assertEqual(reply.status, 200)
        again = await self.site.spawn_router(self.running)
        self.assertEqual((await self.site.ask(again, LOOKUP)).status, 200)

    async def test_frozen(self) -> None:
        """A frozen process applies missed changes after it is thawed.

        A key is revoked while the process is frozen. Its first answers after
        that may follow the old table, but none does two seconds later.
        """
        self.running.pause(self.first.name)
        self.site.put_table(platform_site.table(2, tenants=[]))
        await asyncio.sleep(1)
        self.running.resume(self.first.name)
        await asyncio.sleep(2)
        reply = await self.site.ask(self.first, LOOKUP)
        self.assertEqual(reply.status, HTTPStatus.UNAUTHORIZED)

    async def test_reload(self) -> None:
        """Invalid settings stop nothing; a valid file is reloaded."""
        self.running.replace_setting(self.first.name, 'zone = a', 'zone = /')
        self.running.signal(self.first.name, signal.SIGHUP)
        await self._until_logged('settings_refused')
        self.running.replace_setting(self.first.name, 'zone = /', 'zone = a')
        self.running.signal(self.first.name, signal.SIGHUP)
        await self._until_logged('"reload"')
        self.assertEqual((await self.site.ask(self.first, LOOKUP)).status, 200)

    async def test_store_moves(self) -> None:
        """A process stays with the old address of the store for ever."""
        for version, has_signal in ((2, True), (4, False)):
            with self.subTest(has_signal=has_signal):
                await self._move_store(version, has_signal=has_signal)

    async def _move_store(self, version: int, *, has_signal: bool) -> None:
        old, new = (
            proxy.Proxy(self.site.store_stand_in.address) for _ in range(2)
        )
        for address in (old, new):
            await address.start('127.0.0.1')
        # They know of no process that follows the store elsewhere.
        routers = []
        seeds: tuple[str, ...] = ()
        for _ in range(2):
            routers.append(
                await self.site.spawn_router(
                    self.running, store=old.address, seeds=seeds
                )
            )
            seeds = (routers[0].cfg.peer_listen,)
        for router in routers:
            self.running.replace_setting(router.name, old.address, new.address)
            if has_signal:
                self.running.signal(router.name, signal.SIGHUP)
        await asyncio.sleep(MOVED_S)
        await old.stop()
        self.site.put_table(platform_site.table(version, tenants=[]))
        await asyncio.sleep(APPLIED_S)
        for moved in routers:
            reply = await self.site.ask(moved, LOOKUP)
            self.assertEqual(reply.status, HTTPStatus.UNAUTHORIZED)
            await self.running.kill(moved.name)
        self.site.put_table(platform_site.table(version + 1))
        await new.stop()

    async def _draft(self) -> platform_site.Reply:
        return await self.site.ask(self.first, DRAFT, 'POST')

    async def _readiness(self) -> int:
        client = http_client.HttpClient()
        asked = http_data.Outgoing('GET', names.READY_PATH, {})
        incoming, _ = await client.call(self.first.cfg.ready, asked, 1)
        await client.close()
        return incoming.status

    async def _until_logged(self, text: str) -> None:
        async with asyncio.timeout(platform_site.TIMEOUT_S):
            while text not in self.running.log(self.first.name):
                await asyncio.sleep(platform_site.POLL_S)


if __name__ == '__main__':
    unittest.main()
