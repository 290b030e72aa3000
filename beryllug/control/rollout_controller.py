"""Decides about one rollout while this process holds its lease.

The record in the platform contains the state and the sums of the evidence, so
the next lease holder resumes where this process stopped and skips no stage.
Evidence is acknowledged only after the record that contains it was written; if
this process crashes before, the entries report it again.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import msgspec
from absl import logging

from beryllug.core import (
    config_data,
    rollout,
    rollout_data,
    rpc_data,
    view_data,
)
from beryllug.drivers import object_api, object_data

PREFIX = 'beryllug/rollouts/'
STEP_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 5.0
DURABLE_TIMEOUT_S = 1.5

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(rollout_data.Record).decode

Declared = Callable[[], config_data.Rollout | None]
IsHeld = Callable[[], bool]
IsLoaded = Callable[[config_data.VersionRef], bool]
StateListener = Callable[[rpc_data.RolloutState], None]


class RolloutController:
    """The record of one rollout, its evidence and its decisions."""

    def __init__(
        self,
        model: str,
        api: object_api.ObjectApi,
        declared: Declared,
        is_held: IsHeld,
        is_loaded: IsLoaded,
        on_state: StateListener,
    ) -> None:
        """Create the controller; `start` starts its task.

        Args:
            model: The model that is rolled out.
            api: The platform.
            declared: Returns the current declaration, None without one.
            is_held: Tells whether the lease is held at this moment.
            is_loaded: Tells whether an engine can serve a version.
            on_state: Called with each new state.
        """
        self._model = model
        self._api = api
        self._declared = declared
        self._is_held = is_held
        self._is_loaded = is_loaded
        self._on_state = on_state
        self._record: rollout_data.Record | None = None
        self._written: rollout_data.Record | None = None
        self._version = 0
        self._changed = asyncio.Event()
        self._durable = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the decision loop."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; the entries report unwritten evidence again."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return the state and the exposure."""
        record = self._record
        if record is None:
            return {'version': self._version}
        return {
            'version': self._version,
            'stage': record.stage,
            'percent': record.percent,
            'verdict': record.verdict.value,
            'reason': record.reason,
            'judged': record.exposure.judged,
            'moved': record.exposure.moved,
            'lost': record.exposure.lost,
            'shares': {
                entry: share._asdict()
                for entry, share in record.exposure.shares.items()
            },
        }

    def state(self) -> rpc_data.RolloutState | None:
        """Return the state for entries, None before the record is read."""
        record = self._record
        if record is None:
            return None
        budgets = {
            entry: share.dealt
            for entry, share in record.exposure.shares.items()
        }
        return rpc_data.RolloutState(
            self._version,
            rollout.status(record)._replace(version=self._version),
            budgets,
        )

    async def add_report(self, report: rpc_data.EvidenceReport) -> bool:
        """Add an entry's report; tell whether it is durable."""
        declared = self._declared()
        if self._record is None or declared is None:
            return False
        before = self._record
        self._record = rollout.include_report(
            before, declared, report, time.time()
        )
        if self._record is before and before == self._written:
            # A report that was counted before and whose acknowledgement was
            # lost. It changes nothing, so no write would acknowledge it.
            return True
        self._changed.set()
        durable = self._durable
        try:
            async with asyncio.timeout(DURABLE_TIMEOUT_S):
                await durable.wait()
        except TimeoutError:
            return False
        return True

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except (object_data.ObjectApiError, msgspec.DecodeError) as exc:
                logging.warning(
                    'event=rollout_not_written model=%s error=%s',
                    self._model,
                    exc,
                )
                self._discard_if_overwritten(exc)
            await self._wait()

    async def _step(self) -> None:
        declared = self._declared()
        if declared is None or not self._is_held():
            return
        if self._record is None:
            await self._read(declared)
        before = self._record
        assert before is not None
        self._decide(before, declared)
        if self._record != self._written:
            await self._write()

    def _decide(
        self, before: rollout_data.Record, declared: config_data.Rollout
    ) -> None:
        record = rollout.resume(before, declared, before.accounts)
        decision = rollout.decide(record, declared)
        record = rollout.apply_decision(record, declared, decision)
        candidate = config_data.VersionRef(record.model, record.candidate)
        # If no engine has the candidate loaded, its first callers would find
        # no server, which is not evidence against the candidate.
        if self._is_loaded(candidate):
            record = rollout.allocate(record, declared, time.time())
        self._record = record
        if record.verdict is not before.verdict or record.stage != before.stage:
            logging.info(
                'event=rollout model=%s candidate=%s stage=%d verdict=%s '
                'reason=%s',
                self._model,
                record.candidate,
                record.stage,
                record.verdict.value,
                record.reason,
            )
        if record.verdict is view_data.Verdict.STOPPED:
            # A stop takes effect before it is durable: otherwise callers
            # would reach a bad version during an outage of the platform.
            self._notify()

    async def _read(self, declared: config_data.Rollout) -> None:
        stored = await self._api.read(PREFIX + self._model)
        record = _decode(stored.value) if stored else None
        self._version = stored.version if stored else 0
        self._written = record
        accounts = record.accounts if record else 1
        self._record = rollout.resume(record, declared, accounts)
        if self._record == record:
            # The record may never change again, as after a stop, and then no
            # write would publish it.
            self._notify()

    async def _write(self) -> None:
        """Write the record on the condition of its version.

        The condition fences off a former lease holder.

        Raises:
            ObjectApiError: It was not written, or the outcome is unknown.
        """
        record = self._record
        assert record is not None
        key = PREFIX + self._model
        # Reports that arrive during the write are acknowledged by the next.
        durable = self._durable
        self._durable = asyncio.Event()
        try:
            version = await self._api.write(key, _encode(record), self._version)
        except object_data.UncertainError:
            version = await self._resolve_write(record)
        self._version = version
        self._written = record
        durable.set()
        self._notify()

    async def _resolve_write(self, record: rollout_data.Record) -> int:
        """Find out whether a write whose reply was lost took effect.

        Raises:
            UnavailableError: It did not.
            ConflictError: Another holder has written since.
        """
        stored = await self._api.read(PREFIX + self._model)
        if stored is not None and stored.value == _encode(record):
            return stored.version
        version = stored.version if stored else 0
        if version == self._version:
            raise object_data.UnavailableError('the write had no effect')
        raise object_data.ConflictError(version)

    def _discard_if_overwritten(self, exc: Exception) -> None:
        """Discard the record, to be read again, if another holder wrote it."""
        if isinstance(exc, object_data.ConflictError):
            self._record = None

    def _notify(self) -> None:
        state = self.state()
        if state is not None:
            self._on_state(state)

    async def _wait(self) -> None:
        await asyncio.sleep(STEP_INTERVAL_S)
        if self._written is not None and self._written == self._record:
            try:
                async with asyncio.timeout(IDLE_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                return
        self._changed.clear()
