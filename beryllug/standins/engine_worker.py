"""Request execution of the engine stand-in, independent of sockets."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from beryllug.standins import (
    engine_responses,
    engine_batch,
    engine_cache,
    engine_models,
    engine_runs,
    faults,
    delayed_value,
)


class EngineCfg(NamedTuple):
    """Options; times in seconds.

    Attributes:
        concurrency: Slots in the batch.
        queue: Maximum number of requests waiting for a slot.
        token_s: Time to generate one token.
        prefill_s: Time to process one uncached prompt token.
        first_s: Fixed time before the first token, excluding prefill.
        tokens: Response length in tokens if the request sets no limit.
        tokens_per_event: Tokens in one stream event.
        loaded: ``model@version`` names that can run; empty accepts any.
        load_s: Time to load a version.
        quality: Mean response quality by version, from 0 to 1.
        quality_spread: Reduction in quality for the hardest prompt.
        cache_blocks: Capacity of the prefix cache in blocks.
        keep_s: How long an ended response can be resumed.
        checks_fencing: Whether to reject orders with an outdated token.
    """

    concurrency: int = 8
    queue: int = 64
    token_s: float = 0.0
    prefill_s: float = 0.0
    first_s: float = 0.0
    tokens: int = 24
    tokens_per_event: int = 1
    loaded: tuple[str, ...] = ()
    load_s: float = 0.0
    quality: dict[str, float] = {}
    quality_spread: float = 0.3
    cache_blocks: int = 1024
    keep_s: float = 60.0
    checks_fencing: bool = True


class Worker:
    """Runs, batch, prefix cache and models of one engine."""

    def __init__(self, cfg: EngineCfg, injector: faults.FaultInjector) -> None:
        """Create an idle engine."""
        self.on_poison: Callable[[], None] = _no_crash
        self.models = engine_models.Models(cfg.loaded, cfg.load_s)
        self.cache = engine_cache.PrefixCache(cfg.cache_blocks)
        self._cfg = cfg
        self._injector = injector
        self._batch = engine_batch.Batch(cfg.concurrency, cfg.queue)
        self._runs: collections.OrderedDict[str, engine_runs.Run] = (
            collections.OrderedDict()
        )
        self._all_runs: list[engine_runs.Run] = []
        self._tasks: dict[engine_runs.Run, asyncio.Task[None]] = {}
        self._load_history: delayed_value.DelayedValue[dict[str, Any]] = (
            delayed_value.DelayedValue(
                {'running': 0, 'queued': 0, **self.models.snapshot()}
            )
        )

    @property
    def records(self) -> list[engine_runs.RunRecord]:
        """All runs so far, in order of arrival."""
        return [run.record for run in self._all_runs]

    def find(self, request_id: str) -> engine_runs.Run | None:
        """Return the latest run of a request while its response is stored."""
        return self._runs.get(request_id)

    def is_full(self) -> bool:
        """Return whether both the batch and the queue are full."""
        return self._batch.is_full()

    def load(self) -> dict[str, Any]:
        """Return the load report, delayed by the injected lag."""
        lag_s = self._injector.active.lag_s
        self._record_load()
        snapshot = self._load_history.at(time.monotonic(), lag_s)
        return {**snapshot, 'measured_at': time.time() - lag_s}

    def crash(self) -> None:
        """Lose all runs, stored responses, loaded versions and the cache."""
        for run in self._runs.values():
            run.end(engine_runs.RunState.CRASHED)
        for task in self._tasks.values():
            task.cancel()
        self._runs.clear()
        self.cache.clear()
        self.models.reset()
        self._batch = engine_batch.Batch(self._cfg.concurrency, self._cfg.queue)
        self._record_load()

    def cancel(self, run: engine_runs.Run) -> None:
        """Cancel a run and free its batch slot or queue entry."""
        run.end(engine_runs.RunState.CANCELLED)
        task = self._tasks.get(run)
        if task is not None:
            task.cancel()

    def begin(self, chat: engine_responses.ChatRequest) -> engine_runs.Run:
        """Start a run, which waits for a batch slot."""
        self._evict_expired()
        run = engine_runs.Run(chat)
        self._all_runs.append(run)
        self._runs[chat.request_id] = run
        task = asyncio.create_task(self._run(run))
        self._tasks[run] = task
        task.add_done_callback(lambda _: self._tasks.pop(run, None))
        return run

    async def _run(self, run: engine_runs.Run) -> None:
        batch = self._batch
        acquiring = batch.acquire(run.chat.priority)
        try:
            await acquiring
        finally:
            self._record_load()
        try:
            await self._execute(run)
        finally:
            batch.release()
            self._record_load()

    async def _execute(self, run: engine_runs.Run) -> None:
        chat = run.chat
        run.begin()
        active = self._injector.active
        if active.poison and active.poison in chat.prompt:
            self.on_poison()
            return
        await self._simulate_delay(self._time_to_first_token_s(chat))
        if self._injector.should_inject(
            active.version_errors.get(chat.version, 0)
        ):
            run.end(engine_runs.RunState.FAILED)
            return
        tokens = engine_responses.response_tokens(chat, self._quality(chat))
        if chat.stream:
            await self._stream_events(run, tokens)
        else:
            await self._simulate_delay(self._cfg.token_s * len(tokens))
            text = ' '.join(tokens)
            run.append_output(
                engine_responses.completion(chat, text, len(tokens)),
                len(tokens),
            )
        run.end(engine_runs.RunState.FINISHED)

    async def _stream_events(
        self, run: engine_runs.Run, tokens: list[str]
    ) -> None:
        chunk_size = self._cfg.tokens_per_event
        for start in range(0, len(tokens), chunk_size):
            chunk = tokens[start : start + chunk_size]
            await self._simulate_delay(self._cfg.token_s * len(chunk))
            separator = ' ' if start else ''
            text = separator + ' '.join(chunk)
            run.append_output(
                engine_responses.event(run.chat, text), len(chunk)
            )
        run.append_output(
            engine_responses.final_events(run.chat, len(tokens)), 0
        )

    async def _simulate_delay(self, duration_s: float) -> None:
        if duration_s:
            await asyncio.sleep(duration_s * self._injector.active.slow_factor)

    def _time_to_first_token_s(
        self, chat: engine_responses.ChatRequest
    ) -> float:
        blocks = engine_responses.blocks(chat.model, chat.prompt)
        hits = self.cache.get_or_store(blocks)
        cached = chat.prompt[: hits * engine_responses.BLOCK_CHARS]
        uncached = engine_responses.count_tokens(chat.prompt)
        uncached -= engine_responses.count_tokens(cached)
        return self._cfg.first_s + uncached * self._cfg.prefill_s

    def _quality(self, chat: engine_responses.ChatRequest) -> float:
        base = self._cfg.quality.get(chat.version, 1.0)
        quality_offset = self._injector.active.version_quality.get(
            chat.version, 0
        )
        difficulty_level = engine_responses.difficulty(chat.prompt)
        quality = (
            base + quality_offset - difficulty_level * self._cfg.quality_spread
        )
        return min(max(quality, 0.0), 1.0)

    def _record_load(self) -> None:
        current = {
            'running': self._batch.running,
            'queued': self._batch.queued,
            **self.models.snapshot(),
        }
        self._load_history.put(time.monotonic(), current)

    def _evict_expired(self) -> None:
        oldest = time.time() - self._cfg.keep_s
        while self._runs:
            run = next(iter(self._runs.values()))
            if run.is_open or run.record.finished_at > oldest:
                return
            self._runs.popitem(last=False)
            run.discard_body()


def _no_crash() -> None:
    """Ignore the crash request until the server is attached."""
