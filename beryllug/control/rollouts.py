"""Service 'rollouts': evidence to the lease holder, states to every entry.

The holder of the lease `rollouts/<model>` decides about each declared rollout.
Every control process forwards its entries' reports to the holders, and
publishes the newest known states to its entries. The holder pushes a state at
each change; periodic pulls make up for a missed push.
"""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from beryllug.control import (
    config,
    leases,
    rollout_controller,
    rollout_states,
)
from beryllug.core import (
    config_data,
    lease_data,
    rpc_data,
    view_data,
)
from beryllug.drivers import methods, object_api, rpc, rpc_peers

LEASE_PREFIX = 'rollouts/'
POLL_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 2.0


class Rollouts:
    """The rollouts that this process decides about, and the states of all."""

    def __init__(
        self,
        address: str,
        api: object_api.ObjectApi,
        held: leases.Leases,
        calls: rpc_peers.PeerCaller,
        members: rollout_states.Members,
        view: config.Config,
    ) -> None:
        """Bind the services; `address` is this process's own."""
        self._address = address
        self._api = api
        self._leases = held
        self._calls = calls
        self._view = view
        self._controllers: dict[str, rollout_controller.RolloutController] = {}
        self._states = rollout_states.RolloutStates(
            address, calls, members, view
        )
        self._requested: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the methods with this process's server."""
        server.unary(methods.EVIDENCE, self.on_evidence)
        server.unary(methods.EVIDENCE_HELD, self.on_forwarded_evidence)
        self._states.serve(server)
        server.unary(methods.ROLLOUT_PULL, self.on_pull)

    async def start(self) -> None:
        """Start to follow the declared rollouts."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self, grace_s: float) -> None:
        """Stop deciding; the lease service releases the leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for controller in self._controllers.values():
            await controller.stop()
        await self._states.stop()

    def dump(self) -> dict[str, Any]:
        """Return the local rollouts and the known states of all."""
        return {
            'judged_here': {
                model: controller.dump()
                for model, controller in self._controllers.items()
            },
            'states': self._states.dump(),
        }

    async def on_lease(self, name: str, fencing: int) -> None:
        """Start or stop deciding about a rollout."""
        model = name.removeprefix(LEASE_PREFIX)
        controller = self._controllers.pop(model, None)
        if controller is not None:
            await controller.stop()
        if fencing:
            self._start_controller(model)

    async def before_release(self, name: str) -> bool:
        """Stop deciding about a rollout whose lease is handed over."""
        await self.on_lease(name, 0)
        return True

    async def on_evidence(
        self, report: rpc_data.EvidenceReport
    ) -> rpc_data.Empty:
        """Forward an entry's report to the lease holders of its models.

        Returns:
            Whether all of them acknowledged it; else it must be sent again.
        """
        models = self._models_of(report)
        taken = await asyncio.gather(
            *(self._forward(model, report) for model in models)
        )
        return rpc_data.Empty(ok=all(taken))

    async def on_forwarded_evidence(
        self, report: rpc_data.EvidenceReport
    ) -> rpc_data.Empty:
        """Process a forwarded report; `ok` tells if it is durable."""
        models = [
            model
            for model in self._models_of(report)
            if model in self._controllers
        ]
        taken = await asyncio.gather(
            *(self._controllers[model].add_report(report) for model in models)
        )
        return rpc_data.Empty(ok=bool(taken) and all(taken))

    async def on_pull(
        self, ask: rpc_data.RolloutRequest
    ) -> rpc_data.RolloutReply:
        """Return the state of a rollout whose lease is held here."""
        controller = self._controllers.get(ask.model)
        return rpc_data.RolloutReply(controller.state() if controller else None)

    def _models_of(self, report: rpc_data.EvidenceReport) -> list[str]:
        """Return the models of the declared rollouts that a report is for.

        A report without counts goes to all: it shows them that the entry is
        alive and may be allocated a share.
        """
        declared = [item.model for item in self._view.document.rollouts]
        counted = {counts.version.model for counts in report.counts}
        if not counted:
            return declared
        return [model for model in declared if model in counted]

    async def _forward(
        self, model: str, report: rpc_data.EvidenceReport
    ) -> bool:
        controller = self._controllers.get(model)
        if controller is not None:
            return await controller.add_report(report)
        holder = await self._find_holder(model)
        if holder is None:
            return False
        try:
            reply = await self._calls.call(
                holder.address, methods.EVIDENCE_HELD, report, CALL_TIMEOUT_S
            )
        except rpc.RpcError:
            return False
        return reply.ok

    async def _find_holder(self, model: str) -> lease_data.Lease | None:
        found = await self._leases.owner_of(LEASE_PREFIX + model)
        if found is None or found.address in {'', self._address}:
            return None
        return found

    async def _follow(self) -> None:
        while True:
            declared = {item.model for item in self._view.document.rollouts}
            for model in declared - self._requested:
                self._requested.add(model)
                self._leases.keep_acquiring(LEASE_PREFIX + model, self)
            for model in sorted(declared):
                await self._pull(model)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _pull(self, model: str) -> None:
        if model in self._controllers:
            return
        holder = await self._find_holder(model)
        if holder is None:
            return
        ask = rpc_data.RolloutRequest(model)
        try:
            reply = await self._calls.call(
                holder.address, methods.ROLLOUT_PULL, ask, CALL_TIMEOUT_S
            )
        except rpc.RpcError:
            return
        if reply.state is not None:
            self._states.update(reply.state)

    def _start_controller(self, model: str) -> None:
        name = LEASE_PREFIX + model
        controller = rollout_controller.RolloutController(
            model,
            self._api,
            lambda: _declared(self._view.document, model),
            lambda: self._leases.held(name, time.monotonic()) is not None,
            lambda ref: _can_run(ref, self._view.feed.parts.loads),
            self._states.broadcast,
        )
        self._controllers[model] = controller
        controller.start()


def _can_run(
    ref: config_data.VersionRef, loads: Iterable[view_data.ServerLoad]
) -> bool:
    """Tell whether an engine serves a version.

    An engine that lists no loaded versions can serve any.
    """
    return any(not load.loaded or ref in load.loaded for load in loads)


def _declared(
    document: config_data.Document, model: str
) -> config_data.Rollout | None:
    for item in document.rollouts:
        if item.model == model:
            return item
    return None
