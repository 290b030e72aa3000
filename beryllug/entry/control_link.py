"""The view of the fleet, received as updates from a control process.

One update stream is open at a time. A broken stream is reopened at the next
control process; the view is kept and never replaced by an older one.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from absl import logging

from beryllug.core import (
    rpc_data,
    settings_data,
    suspects_data,
    view_index,
    view_merge,
)
from beryllug.drivers import methods, rpc
from beryllug.entry import control_calls

RECONNECT_DELAY_S = 0.2
CONFIRM_TIMEOUT_S = 1.0

Listener = Callable[[view_merge.EntryState], None]


class ControlLink:
    """Service 'control_link' of an entry process.

    Attributes:
        known: Merged state of all updates received.
        index: Lookup tables over the view.
    """

    def __init__(
        self,
        request: rpc_data.ViewRequest,
        cfg: settings_data.Entry,
        calls: control_calls.ControlCalls,
    ) -> None:
        """Initialize; `start` connects.

        Args:
            request: Identifies this run of the process, which receives
                shares of the exposure budgets.
            cfg: Settings.
            calls: Calls to control processes.
        """
        self.known = view_merge.EntryState()
        self.index = view_index.build(self.known.view)
        self._cfg = cfg
        self._watch_request = request
        self._calls = calls
        self._fresh_at = float('-inf')
        self._task: asyncio.Task[None] | None = None
        self._listeners: list[Listener] = []
        self._confirm_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start receiving view updates."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self, grace_s: float) -> None:
        """Stop receiving updates and disconnect."""
        for task in self._confirm_tasks:
            task.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._calls.close()

    def dump(self) -> dict[str, Any]:
        """Return the state of the link, without keys and documents."""
        view = self.known.view
        return {
            'control': self._calls.address,
            'revision': view.revision,
            'accept': self.known.accept,
            'servers': [server._asdict() for server in view.servers],
            'rollouts': [status._asdict() for status in view.rollouts],
            'suspects': len(self.known.suspects),
            'budgets': [share._asdict() for share in self.known.budgets],
        }

    def subscribe(self, listener: Listener) -> None:
        """Register a function to call after each update."""
        self._listeners.append(listener)

    def may_accept(self, now: float) -> bool:
        """Return whether new requests may be accepted.

        An entry without updates from a control process cannot learn of a
        withdrawal. It continues for a bounded time only, which bounds how
        long a version withdrawn meanwhile remains in use.

        Args:
            now: Seconds of the monotonic clock.
        """
        is_stale = now - self._fresh_at > self._cfg.blind_s
        configured = self.known.view.revision > 0
        return configured and self.known.accept and not is_stale

    async def _follow(self) -> None:
        while True:
            async for update in self._calls.updates(self._watch_request):
                self._apply_update(update)
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _apply_update(self, update: rpc_data.ViewUpdate) -> None:
        # After a freeze, the socket holds messages as old as the freeze. If
        # they counted as new, the process could dispatch to a version that
        # was withdrawn meanwhile, so freshness follows the sending time.
        age_s = max(0, time.time() - update.sent_at)
        fresh_at = time.monotonic() - age_s
        self._fresh_at = max(self._fresh_at, fresh_at)
        before = self.known
        self.known = view_merge.merge(before, update)
        if self.known.view != before.view:
            self.index = view_index.build(self.known.view)
        for listener in self._listeners:
            listener(self.known)
        if update.suspects is not None:
            seen = suspects_data.SuspectsApplied(
                self._watch_request.entry, update.number
            )
            task = asyncio.create_task(self._confirm(seen))
            self._confirm_tasks.add(task)
            task.add_done_callback(self._confirm_tasks.discard)

    async def _confirm(self, seen: suspects_data.SuspectsApplied) -> None:
        try:
            await self._calls.call(methods.VIEW_SEEN, seen, CONFIRM_TIMEOUT_S)
        except rpc.RpcError as exc:
            # Not retried: the control process waits for it with a timeout.
            logging.warning('event=suspects_not_confirmed error=%s', exc)
