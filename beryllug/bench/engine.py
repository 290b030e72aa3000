"""A queueing model of a backend server.

It models continuous batching up to a number of slots, a bounded prompt prefix
cache and a priority queue. It leaves out whatever does not affect the
decisions of the router.
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
SECONDS_PER_MS = 0.001
REFUSE_S = 0.001


class Job(NamedTuple):
    """One attempt of a request on a backend server.

    Attributes:
        priority: Lower goes first in the queue.
        tokens_in: Prompt tokens; 0 for a plain service.
        tokens_out: Tokens of the answer, or duration of a plain call in
            milliseconds.
        prefixes: Cacheable prompt prefixes with their lengths in tokens,
            longest first.
        first: Called on the first token.
        done: Called when the answer is complete.
        failed: Called with the kind of failure when the attempt fails.
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
        slots: Most requests in the batch.
        cache_size: Most prefixes in the cache.
        slowdown: Factor on all service times; 10 is ten times slower.
        up: False while it refuses connections.
        running: Jobs in the batch.
        queue: Waiting jobs by priority, then order of arrival.
        cache: Cached prefixes, least recently used first.
        job_numbers: Numbers of the jobs, in order of arrival.
        computed_tokens: Prompt tokens that were not cached.
        prompt_tokens_sent: Prompt tokens of all started jobs.
        served: Completed jobs.
    """

    clock: clock.Clock
    slots: int
    cache_size: int
    slowdown: float = 1.0
    up: bool = True
    running: dict[int, Job] = field(default_factory=dict)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    job_numbers: 'itertools.count[int]' = field(default_factory=itertools.count)
    computed_tokens: int = 0
    prompt_tokens_sent: int = 0
    served: int = 0


def submit(engine: Engine, job: Job) -> None:
    """Run a job, queue it, or refuse the connection."""
    if not engine.up:
        engine.clock.call_later(REFUSE_S, job.failed, retry.Failure.NOT_SENT)
        return
    number = next(engine.job_numbers)
    heapq.heappush(engine.queue, (job.priority, number, job))
    _start_queued(engine)


def crash(engine: Engine) -> None:
    """Fail every job and refuse connections until restarted."""
    engine.up = False
    lost = [*engine.running.values(), *(item[2] for item in engine.queue)]
    engine.running.clear()
    engine.queue.clear()
    engine.cache.clear()
    for job in lost:
        job.failed(retry.Failure.BROKEN)


def restart(engine: Engine) -> None:
    """Accept jobs again; the cache is empty after a crash."""
    engine.up = True


def _start_queued(engine: Engine) -> None:
    while engine.queue and len(engine.running) < engine.slots:
        _, number, job = heapq.heappop(engine.queue)
        engine.running[number] = job
        first_s, rest_s = _times(engine, job)
        engine.clock.call_later(first_s, _first_token, engine, number)
        engine.clock.call_later(first_s + rest_s, _done, engine, number)


def _times(engine: Engine, job: Job) -> tuple[float, float]:
    """Return the seconds to the first token and from there to the end."""
    if not job.tokens_in:
        return job.tokens_out * SECONDS_PER_MS * engine.slowdown, 0
    batch_factor = 1 + BATCH_SLOWDOWN * len(engine.running) / engine.slots
    slowdown = batch_factor * engine.slowdown
    prefill = _uncached(engine, job)
    engine.computed_tokens += prefill
    engine.prompt_tokens_sent += job.tokens_in
    first_s = (prefill * PREFILL_TOKEN_S + TOKEN_S) * slowdown
    return first_s, (job.tokens_out - 1) * TOKEN_S * slowdown


def _uncached(engine: Engine, job: Job) -> int:
    hits = [tokens for prefix, tokens in job.prefixes if prefix in engine.cache]
    for prefix, tokens in job.prefixes:
        engine.cache[prefix] = tokens
        engine.cache.move_to_end(prefix)
    while len(engine.cache) > engine.cache_size:
        engine.cache.popitem(last=False)
    return job.tokens_in - max(hits, default=0)


def _first_token(engine: Engine, number: int) -> None:
    job = engine.running.get(number)
    if job is not None:
        job.first()


def _done(engine: Engine, number: int) -> None:
    job = engine.running.pop(number, None)
    if job is not None:
        engine.served += 1
        job.done()
        _start_queued(engine)
