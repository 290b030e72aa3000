"""The newest state of every rollout, pushed by the lease holders.

A state is pushed to all live members at each change and published to the
entries of this process. States are ordered by the version of the record in
the platform, so a late or repeated message changes nothing.
"""

import asyncio
import time
from typing import Any, Protocol

from absl import logging

from beryllug.control import config
from beryllug.core import config_data, rpc_data, view_data
from beryllug.drivers import methods, rpc, rpc_peers

PUSH_TIMEOUT_S = 1.0


class Members(Protocol):
    """Interface of the membership."""

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members."""

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""


class RolloutStates:
    """The newest known states of all rollouts."""

    def __init__(
        self,
        address: str,
        calls: rpc_peers.PeerCaller,
        members: Members,
        view: config.Config,
    ) -> None:
        """Bind the services; `address` is this process's own."""
        self._address = address
        self._calls = calls
        self._members = members
        self._view = view
        self._latest: dict[str, rpc_data.RolloutState] = {}
        self._pushes: set[asyncio.Task[None]] = set()

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the method by which peers push states."""
        server.unary(methods.ROLLOUT_PUSH, self.on_push)

    async def stop(self) -> None:
        """Cancel pushes in progress."""
        for task in self._pushes:
            task.cancel()
        await asyncio.gather(*self._pushes, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        """Return the state of each rollout."""
        return {
            model: known.status._asdict()
            for model, known in self._latest.items()
        }

    async def on_push(self, state: rpc_data.RolloutState) -> rpc_data.Empty:
        """Process a state that its lease holder pushed."""
        self.update(state)
        return rpc_data.Empty()

    def broadcast(self, state: rpc_data.RolloutState) -> None:
        """Publish a new state to this process's entries and push it to peers.

        A state that is not newer than the known one is ignored.
        """
        if not self.update(state):
            return
        for member in self._members.live(time.monotonic()):
            address = self._members.address_of(member)
            if address and address != self._address:
                task = asyncio.create_task(self._push(address, state))
                self._pushes.add(task)
                task.add_done_callback(self._pushes.discard)

    def update(self, state: rpc_data.RolloutState) -> bool:
        """Accept a state if it is newer; tell whether it was."""
        known = self._latest.get(state.status.model)
        if known is not None and not is_newer(known, state):
            return False
        self._latest[state.status.model] = state
        self._publish()
        return True

    async def _push(self, address: str, state: rpc_data.RolloutState) -> None:
        try:
            await self._calls.call(
                address, methods.ROLLOUT_PUSH, state, PUSH_TIMEOUT_S
            )
        except rpc.RpcError as exc:
            logging.info(
                'event=rollout_push_failed peer=%s error=%s', address, exc
            )

    def _publish(self) -> None:
        states = [self._latest[model] for model in sorted(self._latest)]
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
    """Tell whether an offered state replaces the known one.

    A late message or a process that was paused must not revert a stop. Of two
    states of one version a stop is the newer one, since it is published before
    it is durable.
    """
    if offered.version != known.version:
        return offered.version > known.version
    stops = offered.status.verdict is view_data.Verdict.STOPPED
    return stops and known.status.verdict is not view_data.Verdict.STOPPED
