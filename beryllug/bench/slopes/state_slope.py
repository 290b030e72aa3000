"""Memory of what processes hold: bytes for each account, runner, request.

Each kind of state is built at three sizes, and what stays allocated is
counted. Beside it stand the bytes of what is written to the platform.
"""

import gc
import tracemalloc
from collections.abc import Sequence

from beryllug.bench import journal_world
from beryllug.bench.slopes import fit, ledger, reports, state_kinds
from beryllug.core import rollout_data
from beryllug.drivers import wire

KIB = 1024
ENTRIES = (8, 80, 890)
ACCOUNTS = (1, 16, 64)


async def run(shown: ledger.Ledger) -> None:
    """Measure every kind."""
    shown.section('state: memory of one more of it')
    for title, sizes, build in state_kinds.KINDS:
        points = [fit.Point(size, (_held(build(size)),)) for size in sizes]
        shown.sweep(title, 'KB', 'each', points)
    intent = journal_world.intent('1')
    bill = journal_world.outcome(intent)
    for name, row in (('an intent', intent), ('a bill', bill)):
        shown.figure(f'bytes in the log: {name}', 'B', [len(wire.encode(row))])
    by_entries = [reports.record(entries) for entries in ENTRIES]
    _sweep_bytes(shown, 'entries', ENTRIES, by_entries)
    by_accounts = [reports.record(1, accounts) for accounts in ACCOUNTS]
    _sweep_bytes(shown, 'accounts', ACCOUNTS, by_accounts)


def _sweep_bytes(
    shown: ledger.Ledger,
    per: str,
    sizes: Sequence[int],
    records: Sequence[rollout_data.Record],
) -> None:
    points = [
        fit.Point(size, (len(wire.encode(record)),))
        for size, record in zip(sizes, records)
    ]
    shown.sweep(f'bytes of a roll-out record, by {per}', 'B', 'each', points)


def _held(make: state_kinds.Make) -> float:
    """Return the KB that stay allocated for what a function makes."""
    gc.collect()
    tracemalloc.start()
    kept = [make()]
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return held / KIB
