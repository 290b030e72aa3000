"""Reads processor time and memory of another process from the kernel."""

import os
import time
from pathlib import Path

PAGE_SIZE = os.sysconf('SC_PAGE_SIZE')
CPUCLOCK_BITS = 3
CPUCLOCK_SCHED = 2


def cpu_s(pid: int) -> float:
    """Return the processor time of all threads of a process, in seconds.

    ``/proc/PID/stat`` counts in ticks of 10 ms, too coarse for a process
    that is nearly idle. The clock id is derived from the process id, as
    ``clock_getcpuclockid`` does.
    """
    return time.clock_gettime(~pid << CPUCLOCK_BITS | CPUCLOCK_SCHED)


def resident(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    fields = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    return int(fields[1]) * PAGE_SIZE


def private(pid: int) -> int:
    """Return the resident memory that is not shared, in bytes.

    Shared are file-backed pages, mostly of libraries, which all processes of
    a host share.
    """
    fields = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    return (int(fields[1]) - int(fields[2])) * PAGE_SIZE
