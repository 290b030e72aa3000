"""Bytes that went over TCP connections, by the kernel's own counters.

``ss`` shows them for every open connection. Counted is what TCP carried, so
HTTP/2 framing and headers are in it, but IP and TCP headers are not. Each
connection is counted once, at the side that listens. A connection that was
closed inside the window is missed; connections between our processes last.
"""

import asyncio
import re
import shutil
from collections.abc import Collection, Mapping
from typing import NamedTuple

TOOL = 'ss'
_PORT = re.compile(r':(\d+)$')
_COUNTER = re.compile(r'\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)')


class Traffic(NamedTuple):
    """What went over connections in both directions."""

    carried: int = 0
    packets: int = 0


Ends = tuple[str, str]
Connections = Mapping[Ends, Traffic]


def available() -> bool:
    """Tell whether connections can be counted on this machine."""
    return shutil.which(TOOL) is not None


async def read(ports: Collection[int]) -> Connections:
    """Return all connections that were accepted on some ports."""
    started = await asyncio.create_subprocess_exec(
        TOOL,
        '-tinHO',
        'state',
        'established',
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await started.communicate()
    return parse(output.decode(), ports)


def parse(text: str, ports: Collection[int]) -> Connections:
    """Return the connections of `ss -tinHO` that were accepted on ports."""
    found = {}
    for row in text.splitlines():
        # Received and sent bytes in the queues, both ends, the counters.
        fields = row.split()
        port = _PORT.search(fields[2])
        if port is not None and int(port.group(1)) in ports:
            found[fields[2], fields[3]] = _traffic(row)
    return found


def on(connections: Connections, ports: Collection[int]) -> Connections:
    """Return those of the connections that were accepted on some ports."""
    return {
        ends: traffic
        for ends, traffic in connections.items()
        if int(ends[0].rpartition(':')[2]) in ports
    }


def between(before: Connections, after: Connections) -> Traffic:
    """Return what went over connections between two readings."""
    nothing = Traffic()
    grown = [(now, before.get(ends, nothing)) for ends, now in after.items()]
    return Traffic(
        sum(now.carried - then.carried for now, then in grown),
        sum(now.packets - then.packets for now, then in grown),
    )


def _traffic(row: str) -> Traffic:
    counters = {name: int(number) for name, number in _COUNTER.findall(row)}
    return Traffic(
        counters.get('bytes_sent', 0) + counters.get('bytes_received', 0),
        counters.get('segs_out', 0) + counters.get('segs_in', 0),
    )
