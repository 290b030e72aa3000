"""Measures the memory of a process after its imports, without state."""

import asyncio
import sys
from typing import NamedTuple

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
_MEMORY_SCRIPT = """
import os
{imports}
with open('/proc/self/statm') as file:
    pages = file.read().split()
size = os.sysconf('SC_PAGE_SIZE')
print(int(pages[1]) * size, (int(pages[1]) - int(pages[2])) * size)
"""


class _Memory(NamedTuple):
    """Resident memory and its unshared part, in MB."""

    resident: float
    private: float


async def run(recorder: ledger.Recorder) -> None:
    """Measure the memory that each group of imports adds to those before."""
    recorder.section(
        'imports: resident memory, each group after those above it'
    )
    before = [_Memory(0, 0) for _ in range(REPEATS)]
    for count, (title, _) in enumerate(GROUPS, start=1):
        after = [await _measure(count) for _ in range(REPEATS)]
        recorder.figure(
            title,
            'MB',
            [now.resident - then.resident for now, then in zip(after, before)],
        )
        before = after
    recorder.figure('all of them', 'MB', [now.resident for now in before])
    recorder.figure('private of it', 'MB', [now.private for now in before])


async def _measure(count: int) -> _Memory:
    """Return the memory of a process that imported the first `count` groups."""
    names = ', '.join(modules for _, modules in GROUPS[:count])
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        _MEMORY_SCRIPT.format(imports=f'import {names}'),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await child.communicate()
    resident, private = output.split()
    return _Memory(int(resident) / MB, int(private) / MB)
