"""Memory of a process before it holds any state: what importing takes."""

import asyncio
import sys

from beryllug.bench.slopes import ledger

REPEATS = 3
MB = 1048576
GROUPS = (
    ('the interpreter', 'sys'),
    ('asyncio', 'asyncio'),
    ('grpc.aio', 'grpc.aio'),
    ('msgspec, h11, absl.logging', 'msgspec, h11, absl.logging'),
    (
        'OpenTelemetry SDK and its Prometheus exporter',
        'opentelemetry.sdk.metrics, opentelemetry.exporter.prometheus',
    ),
    ('pydantic', 'pydantic'),
    ('our modules', 'beryllug.scripts.compose'),
)
_PROBE = """
import os
{imports}
with open('/proc/self/statm') as file:
    pages = file.read().split()
print(int(pages[1]) * os.sysconf('SC_PAGE_SIZE'))
"""


async def run(shown: ledger.Ledger) -> None:
    """Measure resident memory after each group, on top of those before."""
    shown.section('imports: resident memory, each group after those above it')
    before = [0.0 for _ in range(REPEATS)]
    for count, (title, _) in enumerate(GROUPS, start=1):
        after = [await _resident(count) for _ in range(REPEATS)]
        grown = [now - then for now, then in zip(after, before)]
        shown.figure(title, 'MB', grown)
        before = after
    shown.figure('all of them', 'MB', before)


async def _resident(count: int) -> float:
    """Return the memory of a process that imported the first groups."""
    names = ', '.join(modules for _, modules in GROUPS[:count])
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        _PROBE.format(imports=f'import {names}'),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await started.communicate()
    return int(output) / MB
