"""Measures and prints all slopes, or those of the named sections.

``python -m beryllug.bench.slopes [SECTION...]``
"""

import asyncio
import sys
import time
import traceback
from collections.abc import Awaitable, Callable, Mapping, Sequence
from types import MappingProxyType

from beryllug.bench.slopes import (
    decision_slope,
    entry_slope,
    fleet_slope,
    heartbeat_slope,
    import_slope,
    journal_slope,
    lease_slope,
    ledger,
    member_slope,
    rollout_slope,
    runner_slope,
    state_slope,
)

EXIT_USAGE = 2
Section = Callable[[ledger.Recorder], Awaitable[None]]
# Sections of a group run concurrently: they mostly wait, and no group has more
# than 200 processes.
GROUPS: tuple[Mapping[str, Section], ...] = (
    MappingProxyType({'imports': import_slope.run}),
    MappingProxyType({'state': state_slope.run}),
    MappingProxyType({'members': member_slope.run}),
    MappingProxyType({'decisions': decision_slope.run}),
    MappingProxyType(
        {
            'fleet': fleet_slope.run,
            'all-watch': fleet_slope.run_all_watch,
            'heartbeats': heartbeat_slope.run,
            'leases': lease_slope.run,
        }
    ),
    MappingProxyType(
        {
            'runners': runner_slope.run,
            'rollouts': rollout_slope.run,
            'journal': journal_slope.run,
            'entry': entry_slope.run,
        }
    ),
)


def main(selected: Sequence[str]) -> int:
    """Measure the selected sections and return the exit code."""
    known = [name for group in GROUPS for name in group]
    unknown = [name for name in selected if name not in known]
    if unknown:
        listed = ', '.join(known)
        sys.stderr.write(f'unknown section {unknown[0]}; known are {listed}\n')
        return EXIT_USAGE
    started_at = time.monotonic()
    failed = asyncio.run(_measure(selected or known))
    elapsed_s = time.monotonic() - started_at
    sys.stdout.write(f'\nmeasured in {elapsed_s:.0f} s\n')
    if failed:
        listed = ', '.join(failed)
        sys.stdout.write(f'not measured: {listed}\n')
    return 1 if failed else 0


async def _measure(selected: Sequence[str]) -> list[str]:
    """Run sections group by group; return the names of those that failed."""
    failed: list[str] = []
    for group in GROUPS:
        wanted = [name for name in group if name in selected]
        succeeded = await asyncio.gather(
            *(_section(name, group[name]) for name in wanted)
        )
        failed += [name for name, ok in zip(wanted, succeeded) if not ok]
    return failed


async def _section(name: str, run: Section) -> bool:
    """Run one section and print it at its end; return whether it succeeded."""
    recorder = ledger.Recorder()
    try:
        await run(recorder)
    except Exception:
        traceback.print_exc()
        recorder.note(f'{name}: failed, figures are missing')
        return False
    finally:
        _print(recorder)
    return True


def _print(recorder: ledger.Recorder) -> None:
    lines = '\n'.join(recorder.lines())
    sys.stdout.write(f'{lines}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
