"""A small queueing fake of a backend server.

It batches continuously up to its slots, keeps prompt prefixes in a limited
cache, honours priorities in its queue and reports its load with a lag. What
it leaves out is everything that no decision of the router reads.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.bench import clock
from beryllug.core import retry

TOKEN_S = 0.01
PREFILL_TOKEN_S = 0.00025
BATCH_SLOWDOWN = 1.0
PLAIN_UNIT_S = 0.001
REFUSE_S = 0.001


class Job(NamedTuple):
    """One attempt at a backend server.

    Attributes:
        priority: Lower goes first in the queue.
        tokens_in: Tokens of the prompt; 0 for a plain service.
        tokens_out: Tokens of the answer, or milliseconds of a plain call.
        prefixes: Cacheable beginnings of the prompt with their tokens, the
            longest first.
        first: Called at the first token.
        done: Called at the end.
        failed: Called when it fails, with how.
    """

    priority: int
    tokens_in: int
    tokens_out: int
    prefixes: tuple[tuple[str, int], ...]
    first: Callable[[], None]
    done: Callable[[], None]
    failed: Callable[[retry.Failure], None]


@dataclass(slots=True)
class Engine:
    """State of one backend server.

    Attributes:
        clock: The virtual clock.
        slots: Requests in its batch at once.
        cached: Most prefixes in its cache.
        pace: Factor on all of its times; 10 for a server ten times slower.
        up: False while it refuses connections.
        running: Jobs in the batch.
        queue: Jobs that wait.
        cache: Cached prefixes, the least lately used first.
        prefilled: Prompt tokens that it computed.
        prompted: Prompt tokens that it was sent.
        served: Jobs that it finished.
    """

    clock: clock.Clock
    slots: int
    cached: int
    pace: float = 1.0
    up: bool = True
    running: dict[int, Job] = field(default_factory=dict)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    numbers: 'itertools.count[int]' = field(default_factory=itertools.count)
    prefilled: int = 0
    prompted: int = 0
    served: int = 0


def submit(engine: Engine, job: Job) -> None:
    """Take a job: run it, queue it, or refuse the connection."""
    if not engine.up:
        engine.clock.after(REFUSE_S, job.failed, retry.Failure.NOT_SENT)
        return
    number = next(engine.numbers)
    heapq.heappush(engine.queue, (job.priority, number, job))
    _fill(engine)


def crash(engine: Engine) -> None:
    """Lose every job and refuse connections from now on."""
    engine.up = False
    lost = [*engine.running.values(), *(item[2] for item in engine.queue)]
    engine.running.clear()
    engine.queue.clear()
    engine.cache.clear()
    for job in lost:
        job.failed(retry.Failure.BROKEN)


def restart(engine: Engine) -> None:
    """Take jobs again, with an empty cache."""
    engine.up = True


def _fill(engine: Engine) -> None:
    while engine.queue and len(engine.running) < engine.slots:
        _, number, job = heapq.heappop(engine.queue)
        engine.running[number] = job
        first_s, rest_s = _times(engine, job)
        engine.clock.after(first_s, _first, engine, number)
        engine.clock.after(first_s + rest_s, _done, engine, number)


def _times(engine: Engine, job: Job) -> tuple[float, float]:
    """Return seconds to the first token, and from it to the end."""
    if not job.tokens_in:
        return job.tokens_out * PLAIN_UNIT_S * engine.pace, 0
    crowd = 1 + BATCH_SLOWDOWN * len(engine.running) / engine.slots
    pace = crowd * engine.pace
    prefill = _uncached(engine, job)
    engine.prefilled += prefill
    engine.prompted += job.tokens_in
    first_s = (prefill * PREFILL_TOKEN_S + TOKEN_S) * pace
    return first_s, (job.tokens_out - 1) * TOKEN_S * pace


def _uncached(engine: Engine, job: Job) -> int:
    hits = [tokens for prefix, tokens in job.prefixes if prefix in engine.cache]
    for prefix, tokens in job.prefixes:
        engine.cache[prefix] = tokens
        engine.cache.move_to_end(prefix)
    while len(engine.cache) > engine.cached:
        engine.cache.popitem(last=False)
    return job.tokens_in - max(hits, default=0)


def _first(engine: Engine, number: int) -> None:
    job = engine.running.get(number)
    if job is not None:
        job.first()


def _done(engine: Engine, number: int) -> None:
    job = engine.running.pop(number, None)
    if job is not None:
        engine.served += 1
        job.done()
        _fill(engine)
