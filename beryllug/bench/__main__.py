"""Run the benchmarks, print their tables and fail on a violated bound.

A benchmark is a module of this package whose name ends in ``_bench`` and
which has ``run(report)``, returning the violated bounds. Arguments select
benchmarks by name: ``python -m beryllug.bench cascade retry``.

Benchmarks on a virtual clock run in parallel in a few processes. The others
measure real time and run one at a time afterwards.
"""

import importlib
import pkgutil
import sys
from collections.abc import Iterator, Sequence
from concurrent import futures

from beryllug.bench import report

PACKAGE = 'beryllug.bench'
SUFFIX = '_bench'
VIRTUAL_CLOCK = frozenset(
    ('cascade_bench', 'latency_bench', 'overload_bench', 'rollout_bench')
)
PROCESSES = 3


def main(chosen: Sequence[str]) -> int:
    """Run the chosen benchmarks, or all, and return the exit code."""
    broken: list[str] = []
    for lines, failed in _run_all(module_names(chosen)):
        sys.stdout.write('\n'.join(lines))
        sys.stdout.write('\n')
        sys.stdout.flush()
        broken.extend(failed)
    if broken:
        listed = '\n'.join(broken)
        sys.stdout.write(f'\n{len(broken)} broken bounds:\n{listed}\n')
        return 1
    sys.stdout.write('\nAll bounds hold.\n')
    return 0


def module_names(chosen: Sequence[str]) -> list[str]:
    """Return the sorted names of the chosen benchmark modules, or of all."""
    package = importlib.import_module(PACKAGE)
    found = sorted(
        module.name
        for module in pkgutil.iter_modules(package.__path__)
        if module.name.endswith(SUFFIX)
    )
    if not chosen:
        return found
    wanted = {f'{name.removesuffix(SUFFIX)}{SUFFIX}' for name in chosen}
    return [name for name in found if name in wanted]


def run_one(name: str) -> tuple[list[str], list[str]]:
    """Run a benchmark and return its table and its violated bounds."""
    module = importlib.import_module(f'{PACKAGE}.{name}')
    figures = report.Report()
    failed: list[str] = module.run(figures)
    return figures.lines(), failed


def _run_all(found: list[str]) -> Iterator[tuple[list[str], list[str]]]:
    parallel = [name for name in found if name in VIRTUAL_CLOCK]
    with futures.ProcessPoolExecutor(PROCESSES) as executor:
        yield from executor.map(run_one, parallel)
    for name in found:
        if name not in VIRTUAL_CLOCK:
            yield run_one(name)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
