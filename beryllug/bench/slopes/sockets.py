"""Counts bytes and packets of TCP connections from kernel counters.

``ss`` prints the counters of every open connection. They cover TCP payload:
HTTP/2 framing and headers are included, IP and TCP headers are not. Each
connection is counted once, at the listening side. A connection that closes
within the measured window is missed; connections between the processes under
test are long-lived.
"""

import asyncio
import re
import shutil
from collections.abc import Collection, Mapping
from typing import NamedTuple

SS_COMMAND = 'ss'
_PORT = re.compile(r':(\d+)$')
_COUNTER = re.compile(r'\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)')


class Traffic(NamedTuple):
    """Bytes and packets of connections, in both directions."""

    byte_count: int = 0
    packets: int = 0


Endpoints = tuple[str, str]
Connections = Mapping[Endpoints, Traffic]


def available() -> bool:
    """Return whether ``ss`` is installed."""
    return shutil.which(SS_COMMAND) is not None


async def read(ports: Collection[int]) -> Connections:
    """Return the open connections that were accepted on the given ports."""
    child = await asyncio.create_subprocess_exec(
        SS_COMMAND,
        '-tinHO',
        'state',
        'established',
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await child.communicate()
    return parse(output.decode(), ports)


def parse(text: str, ports: Collection[int]) -> Connections:
    """Parse output of ``ss -tinHO``; keep connections accepted on the ports."""
    found = {}
    for row in text.splitlines():
        # Receive queue, send queue, local and peer endpoint, counters.
        fields = row.split()
        port = _PORT.search(fields[2])
        if port is not None and int(port.group(1)) in ports:
            found[fields[2], fields[3]] = _traffic(row)
    return found


def accepted_on(
    connections: Connections, ports: Collection[int]
) -> Connections:
    """Return those connections that were accepted on the given ports."""
    return {
        ends: traffic
        for ends, traffic in connections.items()
        if int(ends[0].rpartition(':')[2]) in ports
    }


def traffic_between(before: Connections, after: Connections) -> Traffic:
    """Return the traffic of the connections between two readings."""
    zero = Traffic()
    pairs = [(now, before.get(ends, zero)) for ends, now in after.items()]
    return Traffic(
        sum(now.byte_count - then.byte_count for now, then in pairs),
        sum(now.packets - then.packets for now, then in pairs),
    )


def _traffic(row: str) -> Traffic:
    counters = {name: int(number) for name, number in _COUNTER.findall(row)}
    return Traffic(
        counters.get('bytes_sent', 0) + counters.get('bytes_received', 0),
        counters.get('segs_out', 0) + counters.get('segs_in', 0),
    )
