"""A plain runner: a service that answers short requests with a length."""

import asyncio

import deployment


class PlainRunner:
    """Answers each request after some work, as a sound runner does.

    Attributes:
        runs: Ids of the requests that it ran, with their headers.
    """

    def __init__(self, record, instance, host, work_s=0.02, body=b'booked'):
        self.runs = []
        self.instance = instance
        self.address = ''
        self._record = record
        self._host = host
        self._work_s = work_s
        self._body = body
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self._host}:{port}'

    def entry(self, service, zone, sequence, version='v1', state='ready'):
        """Return what it writes to the store."""
        return {
            'service': service, 'address': self.address, 'zone': zone,
            'version': version, 'slots': 6, 'state': state,
            'cold_remaining_ms': 0, 'sequence': sequence,
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await deployment.read_head(reader)
                if head is None:
                    return
                body = await deployment.read_body(reader, head[1])
                writer.write(await self._answer(head, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def _answer(self, head, body):
        line, headers = head
        attempt = headers.get('beryllug-attempt-id', '')
        expected = headers.get('beryllug-expect-instance', self.instance)
        if expected != self.instance:
            return deployment.response(
                421, {'Beryllug-Instance-Id': self.instance}
            )
        method, target, _ = line.split(' ')
        if target == '/health':
            return deployment.response(
                200, {'Beryllug-Instance-Id': self.instance}
            )
        self.runs.append((attempt, headers))
        self._record.write(
            f'{self.instance} runs {attempt} {method} {target} '
            f'({len(body)} bytes, tenant '
            f'{headers.get("beryllug-tenant", "none")})'
        )
        await asyncio.sleep(self._work_s)
        return deployment.response(
            200,
            {
                'Beryllug-Attempt-Id': attempt,
                'Beryllug-Response-Seal': f'seal.{attempt}',
            },
            self._body,
        )


async def heartbeats(store, runners):
    """Write the entries of runners, each with its service and zone."""
    sequence = 0
    while True:
        sequence += 1
        for runner, service, zone in runners:
            store.put(
                'servers', runner.instance, runner.entry(service, zone, sequence)
            )
        await asyncio.sleep(1.2)
