"""The newest state of every roll-out, pushed by those who judge them.

A state is pushed to all live members at each change and shown to the entries
of this process. The version of the record in the platform orders the states,
so a late or repeated message changes nothing.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.control import config
from beryllug.core import config_data, rpc_data, view_data
from beryllug.drivers import methods, rpc, rpc_peers

PUSH_S = 1.0


class Members(Protocol):
    """What is needed of the membership."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""


class RolloutStates:
    """What this process knows of all roll-outs."""

    def __init__(
        self,
        address: str,
        calls: rpc_peers.Caller,
        members: Members,
        view: config.Config,
    ) -> None:
        """Bind the services; `address` is this process's own."""
        self._address = address
        self._calls = calls
        self._members = members
        self._view = view
        self._known: dict[str, rpc_data.RolloutState] = {}
        self._pushes: set[asyncio.Task[None]] = set()

    def serve(self, server: rpc.RpcServer) -> None:
        """Add the method by which peers push."""
        server.unary(methods.ROLLOUT_PUSH, self.take_push)

    async def stop(self) -> None:
        """End pushes that are under way."""
        for task in self._pushes:
            task.cancel()
        await asyncio.gather(*self._pushes, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return the state of each roll-out."""
        return {
            model: known.status._asdict()
            for model, known in self._known.items()
        }

    async def take_push(self, state: rpc_data.RolloutState) -> rpc_data.Empty:
        """Take a state that its judge pushed."""
        self.learn(state)
        return rpc_data.Empty()

    def show(self, state: rpc_data.RolloutState) -> None:
        """Show a new state to this process's entries and push it to peers."""
        if not self.learn(state):
            return
        for member in self._members.live(time.monotonic()):
            address = self._members.address_of(member)
            if address and address != self._address:
                task = asyncio.create_task(self._push(address, state))
                self._pushes.add(task)
                task.add_done_callback(self._pushes.discard)

    def learn(self, state: rpc_data.RolloutState) -> bool:
        """Take a state unless a newer one is known; tell whether it was."""
        known = self._known.get(state.status.model)
        if known is not None and not is_newer(known, state):
            return False
        self._known[state.status.model] = state
        self._publish()
        return True

    async def _push(self, address: str, state: rpc_data.RolloutState) -> None:
        try:
            await self._calls.call(address, methods.ROLLOUT_PUSH, state, PUSH_S)
        except rpc.RpcError as exc:
            logging.info(
                'event=rollout_push_failed peer=%s error=%s', address, exc
            )

    def _publish(self) -> None:
        states = [self._known[model] for model in sorted(self._known)]
        budgets: dict[str, tuple[rpc_data.ExposureShare, ...]] = {}
        for known in states:
            ref = config_data.VersionRef(
                known.status.model, known.status.candidate
            )
            for entry, total in known.budgets.items():
                share = rpc_data.ExposureShare(ref, total)
                budgets[entry] = (*budgets.get(entry, ()), share)
        self._view.publish(
            rollouts=tuple(one.status for one in states), budgets=budgets
        )


def is_newer(
    known: rpc_data.RolloutState, offered: rpc_data.RolloutState
) -> bool:
    """Tell whether a state is to be taken in place of a known one.

    A late message or a process that was paused must not take a stop back; of
    one version a stop is the newer state, since it is shown before it is
    durable.
    """
    if offered.version != known.version:
        return offered.version > known.version
    stops = offered.status.verdict is view_data.Verdict.STOPPED
    return stops and known.status.verdict is not view_data.Verdict.STOPPED
