"""Case 2: a part of a long prompt crashes runner after runner.

One part of a prompt crashes each runner that begins to write an answer on it. The
requests with that part are new ones each time; sound requests share their caller
and all their other parts. The prompts have more than 64 shared parts, and the bad
one comes after the 64th.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import client  # noqa: E402
import deployment  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# For a check of the stand-ins: with 20 parts the router finds the bad one.
PARTS = int(os.environ.get('PARTS', '70'))
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
SERVICE = 'huvo11a'
MODEL = 'daka510000'
ZONES = ('ahd-a',) * 3 + ('ahd-b',) * 3 + ('gnr-c',) * 2
RUNNERS = 9
SOUND_PER_S = 10
BAD_EVERY_S = 1.0
BAD_PART = 'bad0c0de'
# Seconds until a crashed runner is back, and until the platform removes the
# entry of the one before (three heartbeats).
BACK_S = 3.0
SILENT_S = 3.6
STABLE_WINDOW_S = 3.0
CRASHES = 5
ALLOWED = 3
TRAFFIC_S = 40

HELD, BROKEN, NOT_RUN = (
    deployment.HELD, deployment.BROKEN, deployment.NOT_RUN
)


class Runner:
    """One start of a model runner, which a bad part crashes."""

    def __init__(self, site, instance, host, zone):
        self.site = site
        self.instance = instance
        self.zone = zone
        self.address = ''
        self.is_down = False
        self._host = host
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._host}:{port}'

    def crash(self):
        """Close the socket and all connections, as a process that ends."""
        self.is_down = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await deployment.read_head(reader)
                if head is None:
                    return
                await deployment.read_body(reader, head[1])
                await self._answer(head[1], writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, headers, writer):
        attempt = headers.get('beryllug-attempt-id', '')
        if headers.get('beryllug-expect-instance') != self.instance:
            writer.write(
                deployment.response(
                    421, {'Beryllug-Instance-Id': self.instance}
                )
            )
            return
        is_bad = f'{BAD_PART}:' in headers.get('beryllug-prompt-prefix', '')
        if is_bad:
            self.site.arrived(self, attempt)
        await asyncio.sleep(0.03)
        if is_bad:
            self.site.crashed(self, attempt)
            return
        head = [
            'HTTP/1.1 200 OK',
            f'Beryllug-Attempt-Id: {attempt}',
            f'Beryllug-Response-Seal: seal.{attempt}',
            'Beryllug-Confidence: 100',
            'Beryllug-Weight-Versions: 1',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write(('\r\n'.join(head) + '\r\n\r\n').encode())
        after = int(headers.get('last-event-id') or 0)
        for number in range(after + 1, 6):
            event = b'id: %d\ndata: piece\n\n' % number
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Site:
    """The runners, and what reached them."""

    def __init__(self, record, store, prefix):
        self.arrivals = []
        self.crashes = []
        self.runners = []
        self._record = record
        self._store = store
        self._prefix = prefix
        self._tasks = set()
        self._number = 0

    async def add(self, zone):
        self._number += 1
        host = f'{self._prefix}.{201 + self._number % 40}'
        runner = Runner(self, f'i-{self._number:08x}', host, zone)
        await runner.start()
        self.runners.append(runner)
        self._put(runner, 1)

    def arrived(self, runner, attempt):
        self.arrivals.append((time.monotonic(), attempt, runner.instance))

    def crashed(self, runner, attempt):
        if runner.is_down:
            return
        runner.crash()
        self.runners.remove(runner)
        self.crashes.append(time.monotonic())
        self._record.write(
            f'crash {len(self.crashes)}: {runner.instance} under {attempt}'
        )
        self._begin(self._come_back(runner))
        self._begin(self._expire(runner))

    async def beat(self):
        sequence = 1
        while True:
            sequence += 1
            for runner in self.runners:
                self._put(runner, sequence)
            await asyncio.sleep(1.2)

    def _begin(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self, runner):
        await asyncio.sleep(BACK_S)
        await self.add(runner.zone)

    async def _expire(self, runner):
        await asyncio.sleep(SILENT_S)
        self._store.delete('servers', runner.instance)

    def _put(self, runner, sequence):
        self._store.put(
            'servers', runner.instance,
            {
                'service': SERVICE, 'address': runner.address,
                'zone': runner.zone, 'version': 'v1', 'slots': 64,
                'state': 'ready', 'cold_remaining_ms': 0, 'stage': 'hybrid',
                'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
                'sequence': sequence,
            },
        )


def manifest():
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r-2yhvz3p', 'host': HOST, 'path_prefix': '/lohu930/',
                'kind': 'streaming', 'timeout_ms': 15000,
                'target_latency_ms': 3000, 'target_gap_ms': 1000,
                'priority': 0, 'service': SERVICE, 'max_attempts': 3,
                'allow_anonymous': False, 'sticky': True, 'resumable': True,
            },
        ],
        'services': [
            {
                'name': SERVICE, 'health_path': '/health',
                'max_connections': 370, 'protocol': 'h1', 'tls': False,
                'engine': {
                    'slots': 64, 'kv_capacity_tokens': 583285,
                    'kv_token_bytes': 163840, 'link_mbps': 260000.0,
                    'moves': True, 'backups': True, 'stride': 4, 'most': 12,
                    'pin_ms': 4000.0, 'hold_ms': 2000.0, 'handle_s': 5.0,
                    'models': [{'name': MODEL, 'cost': 0.0094}],
                },
            },
        ],
        'limits': deployment.MANIFEST_LIMITS,
        'tenants': [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}],
    }


class Callers:
    """Clients with new requests; each goes to any machine."""

    def __init__(self, record, routers):
        self.statuses = {'sound': {}, 'bad': {}}
        self._record = record
        self._routers = routers
        self._rng = random.Random(7)
        self._number = 0
        self._tasks = set()

    async def run(self, kind, every_s):
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            task = asyncio.create_task(self._ask(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += every_s
            await asyncio.sleep(max(due - loop.time(), 0))

    async def _ask(self, kind):
        self._number += 1
        attempt = f'{self._number:016x}'
        # The parts of a long conversation, the bad one among the last.
        parts = [f'5c1e{number:04x}:20' for number in range(PARTS)]
        if kind == 'bad':
            parts[-2] = f'{BAD_PART}:20'
        parts.append(f'{self._number:08x}:30')
        headers = {
            'Host': HOST,
            'Beryllug-Attempt-Id': attempt,
            'Beryllug-Model': MODEL,
            'Beryllug-Token-Counts': f'{PARTS * 20 + 30},80',
            'Beryllug-Prompt-Prefix': ','.join(parts),
            'Beryllug-Deadline-Ms': '15000',
            'Authorization': f'Bearer {KEY}',
        }
        router = self._rng.choice(self._routers)
        seen = await client.ask(
            router.front, 'POST', '/lohu930/2f', headers,
            f'prompt {self._number}'.encode(), 16,
        )
        found = self.statuses[kind]
        found[seen.status] = found.get(seen.status, 0) + 1
        if kind == 'bad':
            self._record.write(
                f'{router.name}: request {attempt} with the bad part: '
                f'{seen.status} {seen.error}'
            )


async def play(record, folder):
    store = deployment.Store()
    prefix = deployment.loopback_prefix()
    await store.start(f'{prefix}.200')
    store.put('config', 'main', manifest())
    site = Site(record, store, prefix)
    for number in range(RUNNERS):
        await site.add(ZONES[number % len(ZONES)])
    tasks = [asyncio.create_task(site.beat())]
    routers = []
    try:
        routers += await deployment.start_routers(
            folder, store, prefix, len(ZONES), ZONES
        )
        record.write('all routers are ready')
        await asyncio.sleep(5)
        callers = Callers(record, routers)
        tasks.append(asyncio.create_task(callers.run('sound', 1 / SOUND_PER_S)))
        await asyncio.sleep(3)
        if TROUBLE:
            tasks.append(asyncio.create_task(callers.run('bad', BAD_EVERY_S)))
        await asyncio.sleep(TRAFFIC_S)
        record.write(f'answers: {callers.statuses}')
        late = []
        if len(site.crashes) >= CRASHES:
            since = site.crashes[CRASHES - 1] + STABLE_WINDOW_S
            late = [each for each in site.arrivals if each[0] > since]
        record.write(
            f'{len(site.crashes)} runners crashed; {len(late)} requests with '
            f'the bad part reached runners later than {STABLE_WINDOW_S} s after '
            f'crash {CRASHES}, allowed are {ALLOWED}'
        )
        if len(late) > ALLOWED:
            record.write('BUDGET broken')
            return BROKEN
        if not callers.statuses['sound'].get(200):
            return NOT_RUN
        record.write('held')
        return HELD
    finally:
        for task in tasks:
            task.cancel()
        for router in routers:
            router.end()


if __name__ == '__main__':
    deployment.run_case(HERE, play, 110)
