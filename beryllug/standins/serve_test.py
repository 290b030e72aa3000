"""Tests of stand-ins as processes: ready line, faults and SIGTERM."""

import asyncio
import json
import sys
import unittest

from beryllug.drivers import http_client, http_data
from beryllug.standins import serve

OPTIONS = (
    ('object-api', ('--reads_per_s=5',)),
    ('host-list', ('--hosts=["s1,127.0.0.1:9,z1,small"]',)),
    ('engine', ('--loaded=["small@v1"]', '--quality={"v1":0.5}')),
    ('plain-service', ()),
    ('rating', ('--noise=0.1',)),
    ('weight-store', ()),
)


class ServeTest(unittest.IsolatedAsyncioTestCase):
    """Each kind runs as a separate process."""

    async def test_kinds(self) -> None:
        """Each prints its addresses, accepts faults and exits on SIGTERM."""
        self.assertEqual({kind for kind, _ in OPTIONS}, set(serve.KINDS))
        await asyncio.gather(*(self._run(*each) for each in OPTIONS))

    async def test_bad_options(self) -> None:
        """An invalid kind or option gives a non-zero exit code."""
        for arguments in (
            ('nothing',),
            ('engine', '--tokens=x'),
            ('engine', '--x'),
        ):
            with self.subTest(str(arguments)):
                process = await _start_process(*arguments)
                self.assertNotEqual(await process.wait(), 0)

    async def _run(self, kind: str, arguments: tuple[str, ...]) -> None:
        process = await _start_process(kind, *arguments)
        assert process.stdout is not None
        word, address, control = (await process.stdout.readline()).split()
        self.assertEqual(word, b'ready')
        await self._put_faults(control.decode(), {'unavailable': True})
        status = await _status(address.decode(), '/v1/any')
        self.assertEqual(status, 503, kind)
        process.terminate()
        self.assertEqual(await process.wait(), 0, kind)

    async def _put_faults(
        self, control: str, fault_settings: dict[str, bool]
    ) -> None:
        client = http_client.HttpClient()
        body = json.dumps(fault_settings).encode()
        outgoing = http_data.Outgoing('PUT', '/faults', {}, body)
        incoming, _ = await client.call(control, outgoing)
        self.assertEqual(incoming.status, 200)
        await client.close()


async def _start_process(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'beryllug.standins.serve',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def _status(address: str, target: str) -> int:
    client = http_client.HttpClient()
    outgoing = http_data.Outgoing('GET', target, {})
    incoming, _ = await client.call(address, outgoing)
    await client.close()
    return incoming.status


if __name__ == '__main__':
    unittest.main()
