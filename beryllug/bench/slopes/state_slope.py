"""Measures memory of process state per account, runner or request.

Each kind of state is built at three sizes, and the memory that stays
allocated is measured. Sizes of records written to the platform are also
reported.
"""

import gc
import tracemalloc
from collections.abc import Sequence

from beryllug.bench import journal_harness
from beryllug.bench.slopes import fit, ledger, reports, state_kinds
from beryllug.core import rollout_data
from beryllug.drivers import wire

KIB = 1024
ENTRIES = (8, 80, 890)
ACCOUNTS = (1, 16, 64)


async def run(recorder: ledger.Recorder) -> None:
    """Measure every kind of state, and the size of stored records."""
    recorder.section('state: memory of one more of it')
    for title, sizes, build in state_kinds.KINDS:
        points = [
            fit.Point(size, (_allocated_kb(build(size)),)) for size in sizes
        ]
        recorder.sweep(title, 'KB', 'each', points)
    intent = journal_harness.intent('1')
    outcome_row = journal_harness.outcome(intent)
    for name, row in (('an intent', intent), ('a bill', outcome_row)):
        recorder.figure(
            f'bytes in the log: {name}', 'B', [len(wire.encode(row))]
        )
    by_entries = [reports.record(entries) for entries in ENTRIES]
    _sweep_bytes(recorder, 'entries', ENTRIES, by_entries)
    by_accounts = [reports.record(1, accounts) for accounts in ACCOUNTS]
    _sweep_bytes(recorder, 'accounts', ACCOUNTS, by_accounts)


def _sweep_bytes(
    recorder: ledger.Recorder,
    per: str,
    sizes: Sequence[int],
    records: Sequence[rollout_data.Record],
) -> None:
    points = [
        fit.Point(size, (len(wire.encode(record)),))
        for size, record in zip(sizes, records)
    ]
    recorder.sweep(f'bytes of a roll-out record, by {per}', 'B', 'each', points)


def _allocated_kb(make: state_kinds.StateFactory) -> float:
    """Return the KB that stay allocated for the state a function creates."""
    gc.collect()
    tracemalloc.start()
    kept = [make()]
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return held / KIB
