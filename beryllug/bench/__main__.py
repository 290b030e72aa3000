"""Run every benchmark, print one table, fail on a broken bound.

A benchmark is a module of this package whose name ends in ``_bench`` and
which has ``run(report)`` that returns its broken bounds. Names given on the
command line choose some of them:
``python -m beryllug.bench cascade retry``.
"""

import importlib
import pkgutil
import sys
from collections.abc import Sequence

from beryllug.bench import report

PACKAGE = 'beryllug.bench'
SUFFIX = '_bench'


def main(chosen: Sequence[str]) -> int:
    """Run the chosen benchmarks, or all, and return the exit code."""
    broken: list[str] = []
    for name in names(chosen):
        module = importlib.import_module(f'{PACKAGE}.{name}')
        figures = report.Report()
        failed: list[str] = module.run(figures)
        sys.stdout.write('\n'.join(figures.lines()))
        sys.stdout.write('\n')
        sys.stdout.flush()
        broken.extend(failed)
    if broken:
        listed = '\n'.join(broken)
        sys.stdout.write(f'\n{len(broken)} broken bounds:\n{listed}\n')
        return 1
    sys.stdout.write('\nAll bounds hold.\n')
    return 0


def names(chosen: Sequence[str]) -> list[str]:
    """Return the names of the benchmark modules, in order."""
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


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
