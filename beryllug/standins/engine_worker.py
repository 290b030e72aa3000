"""The work of the engine stand-in: runs in a batch, without the sockets."""

import asyncio
import collections
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from beryllug.standins import (
    engine_answers,
    engine_batch,
    engine_cache,
    engine_models,
    engine_runs,
    faults,
    lagged,
)


class EngineCfg(NamedTuple):
    """Options; times in seconds.

    Attributes:
        concurrency: Places in the batch.
        queue: Requests that may wait for a place.
        token_s: Time for one token.
        prefill_s: Time for one uncached token of the prompt.
        first_s: Time before the first token, besides the prompt's.
        tokens: Tokens of an answer whose request gives no bound.
        tokens_per_event: Tokens that one event carries.
        loaded: ``model@version`` names that can run; none means any.
        load_s: Time that loading a version takes.
        quality: Mean quality of answers by version, from 0 to 1.
        quality_spread: How far a hard prompt lowers the quality.
        cache_blocks: Blocks that the prefix cache holds.
        keep_s: How long an ended answer can be resumed.
        checks_fencing: Whether an order with an old token is refused.
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
    """The runs, the batch, the cache and the models of one engine."""

    def __init__(self, cfg: EngineCfg, switches: faults.Switches) -> None:
        """Make an idle engine."""
        self.on_poison: Callable[[], None] = _no_crash
        self.models = engine_models.Models(cfg.loaded, cfg.load_s)
        self.cache = engine_cache.PrefixCache(cfg.cache_blocks)
        self._cfg = cfg
        self._switches = switches
        self._batch = engine_batch.Batch(cfg.concurrency, cfg.queue)
        self._runs: collections.OrderedDict[str, engine_runs.Run] = (
            collections.OrderedDict()
        )
        self._all: list[engine_runs.Run] = []
        self._tasks: dict[engine_runs.Run, asyncio.Task[None]] = {}
        self._loads: lagged.Lagged[dict[str, Any]] = lagged.Lagged(
            {'running': 0, 'queued': 0, **self.models.shown()}
        )

    @property
    def records(self) -> list[engine_runs.RunRecord]:
        """Every run so far, in the order in which they came."""
        return [run.record for run in self._all]

    def find(self, request_id: str) -> engine_runs.Run | None:
        """Return the latest run of a request while its answer is kept."""
        return self._runs.get(request_id)

    def is_full(self) -> bool:
        """Tell whether neither the batch nor the queue has room."""
        return self._batch.is_full()

    def load(self) -> dict[str, Any]:
        """Return the load report, as late as the switches say."""
        lag_s = self._switches.present.lag_s
        self._note_load()
        shown = self._loads.at(time.monotonic(), lag_s)
        return {**shown, 'measured_at': time.time() - lag_s}

    def crash(self) -> None:
        """Lose all runs, kept answers, loaded versions and the cache."""
        for run in self._runs.values():
            run.end(engine_runs.RunState.CRASHED)
        for task in self._tasks.values():
            task.cancel()
        self._runs.clear()
        self.cache.clear()
        self.models.restart()
        self._batch = engine_batch.Batch(self._cfg.concurrency, self._cfg.queue)
        self._note_load()

    def cancel(self, run: engine_runs.Run) -> None:
        """End a run; its place in the batch or the queue becomes free."""
        run.end(engine_runs.RunState.CANCELLED)
        task = self._tasks.get(run)
        if task is not None:
            task.cancel()

    def begin(self, ask: engine_answers.Ask) -> engine_runs.Run:
        """Begin a run; it waits for its place in the batch."""
        self._drop_old()
        run = engine_runs.Run(ask)
        self._all.append(run)
        self._runs[ask.request_id] = run
        task = asyncio.create_task(self._run(run))
        self._tasks[run] = task
        task.add_done_callback(lambda _: self._tasks.pop(run, None))
        return run

    async def _run(self, run: engine_runs.Run) -> None:
        batch = self._batch
        entering = batch.enter(run.ask.priority)
        try:
            await entering
        finally:
            self._note_load()
        try:
            await self._work(run)
        finally:
            batch.leave()
            self._note_load()

    async def _work(self, run: engine_runs.Run) -> None:
        ask = run.ask
        run.begin()
        present = self._switches.present
        if present.poison and present.poison in ask.prompt:
            self.on_poison()
            return
        await self._pass_time(self._first_s(ask))
        if self._switches.chance(present.version_errors.get(ask.version, 0)):
            run.end(engine_runs.RunState.FAILED)
            return
        tokens = engine_answers.words(ask, self._quality(ask))
        if ask.stream:
            await self._feed_events(run, tokens)
        else:
            await self._pass_time(self._cfg.token_s * len(tokens))
            text = ' '.join(tokens)
            run.feed(engine_answers.whole(ask, text, len(tokens)), len(tokens))
        run.end(engine_runs.RunState.FINISHED)

    async def _feed_events(
        self, run: engine_runs.Run, tokens: list[str]
    ) -> None:
        step = self._cfg.tokens_per_event
        for start in range(0, len(tokens), step):
            part = tokens[start : start + step]
            await self._pass_time(self._cfg.token_s * len(part))
            space = ' ' if start else ''
            text = space + ' '.join(part)
            run.feed(engine_answers.event(run.ask, text), len(part))
        run.feed(engine_answers.last_events(run.ask, len(tokens)), 0)

    async def _pass_time(self, duration_s: float) -> None:
        if duration_s:
            await asyncio.sleep(duration_s * self._switches.present.slow_factor)

    def _first_s(self, ask: engine_answers.Ask) -> float:
        blocks = engine_answers.blocks(ask.model, ask.prompt)
        hits = self.cache.use(blocks)
        cached = ask.prompt[: hits * engine_answers.BLOCK_CHARS]
        uncached = engine_answers.count_tokens(ask.prompt)
        uncached -= engine_answers.count_tokens(cached)
        return self._cfg.first_s + uncached * self._cfg.prefill_s

    def _quality(self, ask: engine_answers.Ask) -> float:
        base = self._cfg.quality.get(ask.version, 1.0)
        changed = self._switches.present.version_quality.get(ask.version, 0)
        hard = engine_answers.difficulty(ask.prompt)
        quality = base + changed - hard * self._cfg.quality_spread
        return min(max(quality, 0.0), 1.0)

    def _note_load(self) -> None:
        present = {
            'running': self._batch.running,
            'queued': self._batch.queued,
            **self.models.shown(),
        }
        self._loads.put(time.monotonic(), present)

    def _drop_old(self) -> None:
        oldest = time.time() - self._cfg.keep_s
        while self._runs:
            run = next(iter(self._runs.values()))
            if run.is_open or run.record.finished_at > oldest:
                return
            self._runs.popitem(last=False)
            run.forget()


def _no_crash() -> None:
    """Stand in for the crash until the sockets are bound."""
