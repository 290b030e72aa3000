"""Runs stand-ins for external services in separate processes.

Within the measuring process they would compete with it for one processor,
and a fleet of a hundred processes would wait for it.
"""

import asyncio
import sys
from typing import Any, NamedTuple

from beryllug.drivers import http_client, http_data

START_S = 30.0


class StandInProcess(NamedTuple):
    """A running stand-in process."""

    process: asyncio.subprocess.Process
    address: str
    control: str


async def start(kind: str, **options: object) -> StandInProcess:
    """Start a stand-in with `standins.serve` and wait until it is serving.

    Args:
        kind: Kind of stand-in.
        options: Options of the stand-in and of `serve`.

    Raises:
        TimeoutError: It did not start in time.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'beryllug.standins.serve',
        kind,
        *(f'--{name}={option}' for name, option in options.items()),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    async with asyncio.timeout(START_S):
        ready = await process.stdout.readline()
    _, address, control = ready.decode().split()
    return StandInProcess(process, address, control)


async def stop(party: StandInProcess) -> None:
    """Terminate a stand-in and wait for its exit."""
    party.process.terminate()
    await party.process.wait()


async def record(
    client: http_client.HttpClient, party: StandInProcess
) -> dict[str, Any]:
    """Return what a stand-in has recorded so far."""
    outgoing = http_data.Outgoing('GET', '/record', {})
    incoming = await client.request(party.control, outgoing)
    try:
        document: dict[str, Any] = await incoming.read_json()
    finally:
        incoming.close()
    return document
