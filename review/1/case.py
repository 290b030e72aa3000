"""Case 1: a stream that a killed process forwarded ends as if it were whole.

Eight routers and one runner whose streams have no length and end with their
connection. The opening packets of one router's connections to the runner are
dropped, as on a lossy link or with a full queue of new connections, so it has
them forwarded by the other routers of its zone. One of these is killed while
the streams run.
"""

import asyncio
import os
import pathlib
import re
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import client  # noqa: E402
import deployment  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
SERVICE = 'huvo11a'
MODEL = 'daka510000'
STREAMS = 12
ZONES = ('ahd-a',) * 3 + ('ahd-b',) * 3 + ('gnr-c',) * 2
EVENTS = 30
EVENT_S = 0.15
# Seconds from the requests to the moment at which the runner's queue of new
# connections has room again; a router tries a peer after 0.1 s.
QUEUE_FULL_S = 0.06
KILL_AFTER_S = 1.5

HELD, BROKEN, NOT_RUN = (
    deployment.HELD, deployment.BROKEN, deployment.NOT_RUN
)


class Runner:
    """A runner whose streams have neither a length nor chunks.

    It answers as HTTP/1.1 allows, with `Connection: close`, ids that increase,
    its seal, and after `Last-Event-Id` where that is given.
    """

    def __init__(self, record, host):
        self.record = record
        self.runs = []
        self._listener = socket.socket()
        self._listener.setblocking(False)
        self._listener.bind((host, 0))
        self._listener.listen(128)
        self.address = '%s:%d' % self._listener.getsockname()
        self._fillers = []
        self._accepting = None
        self._tasks = set()

    def begin(self):
        self._accepting = asyncio.create_task(self._accept())

    async def fill_queue(self):
        """Leave no room in the queue of new connections."""
        self._accepting.cancel()
        await asyncio.gather(self._accepting, return_exceptions=True)
        self._listener.listen(0)
        host, port = self._listener.getsockname()
        filler = socket.create_connection((host, port), 1)
        self._fillers.append(filler)

    def free_queue(self):
        self._listener.listen(128)
        self.begin()

    async def stop(self):
        self._accepting.cancel()
        for task in list(self._tasks):
            task.cancel()
        self._listener.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self._listener)
            reader, writer = await asyncio.open_connection(sock=conn)
            task = asyncio.create_task(self._serve(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        try:
            head = await deployment.read_head(reader)
            if head is not None:
                await deployment.read_body(reader, head[1])
                await self._stream(head[1], reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _stream(self, headers, reader, writer):
        attempt = headers['beryllug-attempt-id']
        after = int(headers.get('last-event-id') or 0)
        self.runs.append(attempt)
        self.record.write(f'runner runs {attempt} after event {after}')
        lines = [
            'HTTP/1.1 200 OK',
            f'Beryllug-Attempt-Id: {attempt}',
            f'Beryllug-Response-Seal: seal.{attempt}',
            'Beryllug-Confidence: 100',
            'Beryllug-Weight-Versions: 1',
            'Content-Type: text/event-stream',
            'Connection: close',
        ]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        gone = asyncio.create_task(reader.read(1))
        try:
            for number in range(after + 1, EVENTS + 1):
                writer.write(b'id: %d\ndata: piece-%d\n\n' % (number, number))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
                if gone.done():
                    self.record.write(
                        f'runner: connection of {attempt} is closed after '
                        f'event {number}; it drops the run'
                    )
                    return
        finally:
            gone.cancel()
        self.record.write(f'runner has ended {attempt} after event {EVENTS}')


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
        'tenants': [
            {'name': 'hule930', 'api_keys': [KEY], 'priority': 1},
        ],
    }


def entry(runner, sequence):
    return {
        'service': SERVICE, 'address': runner.address, 'zone': 'ahd-a',
        'version': 'v1', 'slots': 64, 'state': 'ready',
        'cold_remaining_ms': 0, 'stage': 'hybrid',
        'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
        'sequence': sequence,
    }


async def heartbeat(store, runner):
    sequence = 0
    while True:
        sequence += 1
        store.put('servers', 'i-7f3a91c2', entry(runner, sequence))
        await asyncio.sleep(1.2)


async def one_stream(record, address, number):
    attempt = f'{number:016x}'
    headers = {
        'Host': HOST,
        'Beryllug-Attempt-Id': attempt,
        'Beryllug-Model': MODEL,
        'Beryllug-Token-Counts': '160,80',
        'Beryllug-Prompt-Prefix': f'5c1e07a2:100,{number:08x}:60',
        'Beryllug-Deadline-Ms': '15000',
        'Authorization': f'Bearer {KEY}',
    }
    record.write(f'client sends {attempt}')
    seen = await client.ask(address, 'POST', '/lohu930/2f', headers, b'prompt')
    pieces = [int(each) for each in re.findall(rb'id: (\d+)\n', seen.body)]
    end = 'complete' if seen.is_complete else f'not complete ({seen.error})'
    last = pieces[-1] if pieces else 0
    record.write(
        f'client got {attempt}: status {seen.status}, '
        f'{len(pieces)} of {EVENTS} events, last {last}; the answer is {end}'
    )
    return seen, pieces


async def play(record, folder):
    store = deployment.Store()
    prefix = deployment.loopback_prefix()
    await store.start(f'{prefix}.200')
    runner = Runner(record, f'{prefix}.201')
    runner.begin()
    store.put('config', 'main', manifest())
    beats = asyncio.create_task(heartbeat(store, runner))
    routers = []
    try:
        routers += await deployment.start_routers(
            folder, store, prefix, len(ZONES), ZONES
        )
        record.write('all routers are ready')
        # Both machines are in touch, and know one another.
        await asyncio.sleep(6)
        first, second = routers[:2]
        if TROUBLE:
            await runner.fill_queue()
            record.write("the runner's queue of new connections is full")
        streams = [
            asyncio.create_task(one_stream(record, first.front, number + 1))
            for number in range(STREAMS)
        ]
        began = time.monotonic()
        if TROUBLE:
            await asyncio.sleep(QUEUE_FULL_S)
            runner.free_queue()
            record.write('it has room again')
            await asyncio.sleep(began + KILL_AFTER_S - time.monotonic())
            second.signal(signal.SIGKILL)
            record.write(f'{second.name} is killed (SIGKILL)')
        results = await asyncio.gather(*streams)
        for line in first.logged('attempt'):
            record.write(
                f'log of {first.name}: attempt {line["id"]} via '
                f'{line.get("via")!r}: {line["came"]}, '
                f'{line.get("events")} events'
            )
        return judge(record, results, first)
    finally:
        beats.cancel()
        for router in routers:
            router.end()
        await runner.stop()


def judge(record, results, first):
    """Hold the answers against the rules ORDER and MIXED."""
    whole = list(range(1, EVENTS + 1))
    cut = 0
    for seen, pieces in results:
        is_success = 200 <= seen.status < 300
        if is_success and seen.is_complete and pieces != whole:
            cut += 1
    if TROUBLE and not any(line.get('via') for line in first.logged('attempt')):
        record.write('no stream was forwarded by the other router')
        return NOT_RUN
    if cut:
        record.write(
            f'ORDER/MIXED broken: {cut} of {len(results)} answers look '
            'complete and lack events'
        )
        return BROKEN
    if not TROUBLE and any(
        pieces != whole or not seen.is_complete for seen, pieces in results
    ):
        record.write('without the disruption not all streams came whole')
        return NOT_RUN
    record.write('held: no answer looks complete that lacks events')
    return HELD


if __name__ == '__main__':
    deployment.run_case(HERE, play, 100)
