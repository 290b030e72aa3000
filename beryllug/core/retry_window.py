"""How many arrivals beyond the first a process may cause at a service.

The bound holds for the whole fleet over a sliding window: a ratio of its
requests, and a slack. Each process keeps to the ratio of its own requests and
to its part of the slack, so the sum keeps to the whole without a message.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

# Part of the bound that is used. Each process's window slides as the bound's
# does, so their sum keeps to it; the rest is for clocks that run apart.
USED_PART = 0.9
# Part that larger models may use; what is left is for requests that failed,
# which would be lost without it. Parts by rank of 0.75, 0.65 and 0.5 kept the
# answers of the least urgent unsure for want of a repeat that no failure
# needed.
# Where all answers are unsure, 0.85 left too little for those that a bad new
# version failed. With half of them unsure, 0.72 refuses one in a thousand on
# eight processes and one in fifty on 72.
LARGER_PART = 0.72
# Part of the slack that each process gets is cut once more while the count of
# processes may have grown unseen.
LEAST_PROCESSES = 8


class Bound(NamedTuple):
    """Arrivals beyond the first: `ratio` of the requests, and `slack`."""

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class Window:
    """Times of a service's requests and of repeats within the window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


def asked(window: Window, now: float) -> None:
    """Count a request."""
    window.requests.append(now)


def may_repeat(
    window: Window,
    bound: Bound,
    processes: int,
    now: float,
    part: float = USED_PART,
) -> bool:
    """Tell whether one more arrival is within this process's part.

    Args:
        window: What was sent within the window.
        bound: The fleet's bound.
        processes: Processes that share it.
        now: The present second.
        part: Part of the bound that this arrival may use.
    """
    _forget(window, now - bound.window_s)
    slack = bound.slack / max(processes, LEAST_PROCESSES)
    allowed = part * (bound.ratio * len(window.requests) + slack)
    return len(window.repeats) + 1 <= allowed


def repeated(window: Window, now: float) -> None:
    """Count an arrival beyond the first."""
    window.repeats.append(now)


def _forget(window: Window, until: float) -> None:
    for times in (window.requests, window.repeats):
        while times and times[0] < until:
            times.popleft()
