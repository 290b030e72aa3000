"""Service 'rollouts': evidence to the holder, states to every entry.

For each declared roll-out the holder of the lease `rollouts/<model>` judges.
Every control process passes its entries' reports on to the holders, and shows
its entries the newest state it has: pushed by the holder at each change, and
asked for now and then, which mends a push that was missed.
"""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from beryllug.control import (
    config,
    leases,
    rollout_judge,
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
FOLLOW_S = 2.0
CALL_S = 2.0


class Rollouts:
    """The roll-outs that this process judges, and the states of all."""

    def __init__(
        self,
        address: str,
        api: object_api.ObjectApi,
        held: leases.Leases,
        calls: rpc_peers.Caller,
        members: rollout_states.Members,
        view: config.Config,
    ) -> None:
        """Bind the services; `address` is this process's own."""
        self._address = address
        self._api = api
        self._leases = held
        self._calls = calls
        self._view = view
        self._judges: dict[str, rollout_judge.RolloutJudge] = {}
        self._states = rollout_states.RolloutStates(
            address, calls, members, view
        )
        self._wanted: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def serve(self, server: rpc.RpcServer) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.EVIDENCE, self.take)
        server.unary(methods.EVIDENCE_HELD, self.take_held)
        self._states.serve(server)
        server.unary(methods.ROLLOUT_PULL, self.give)

    async def start(self) -> None:
        """Start to follow the declared roll-outs."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self, grace_s: float) -> None:
        """Stop judging; the leases are given back by their own service."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for judge in self._judges.values():
            await judge.stop()
        await self._states.stop()

    def dump(self) -> dict[str, Any]:
        """Return what is judged here and what is known of the others."""
        return {
            'judged_here': {
                model: judge.dump() for model, judge in self._judges.items()
            },
            'states': self._states.dump(),
        }

    async def on_lease(self, name: str, fencing: int) -> None:
        """Begin or end to judge a roll-out."""
        model = name.removeprefix(LEASE_PREFIX)
        judge = self._judges.pop(model, None)
        if judge is not None:
            await judge.stop()
        if fencing:
            self._judge(model)

    async def before_release(self, name: str) -> bool:
        """End to judge a roll-out whose lease is handed over."""
        await self.on_lease(name, 0)
        return True

    async def take(self, report: rpc_data.EvidenceReport) -> rpc_data.Empty:
        """Pass an entry's report on to those who judge its models.

        Returns:
            Whether all of them have taken it; else it is to be sent again.
        """
        models = self._models_of(report)
        taken = await asyncio.gather(
            *(self._pass_on(model, report) for model in models)
        )
        return rpc_data.Empty(ok=all(taken))

    async def take_held(
        self, report: rpc_data.EvidenceReport
    ) -> rpc_data.Empty:
        """Take a report that a peer passed on; `ok` tells if it was taken."""
        models = [
            model for model in self._models_of(report) if model in self._judges
        ]
        taken = await asyncio.gather(
            *(self._judges[model].take(report) for model in models)
        )
        return rpc_data.Empty(ok=bool(taken) and all(taken))

    async def give(self, ask: rpc_data.RolloutAsk) -> rpc_data.RolloutReply:
        """Give the state of a roll-out that is judged here."""
        judge = self._judges.get(ask.model)
        return rpc_data.RolloutReply(judge.state() if judge else None)

    def _models_of(self, report: rpc_data.EvidenceReport) -> list[str]:
        """Return the declared roll-outs that a report is for.

        A report without counts goes to all: it tells them that the entry is
        there and may be dealt a share.
        """
        declared = [item.model for item in self._view.document.rollouts]
        counted = {counts.version.model for counts in report.counts}
        if not counted:
            return declared
        return [model for model in declared if model in counted]

    async def _pass_on(
        self, model: str, report: rpc_data.EvidenceReport
    ) -> bool:
        judge = self._judges.get(model)
        if judge is not None:
            return await judge.take(report)
        holder = await self._holder(model)
        if holder is None:
            return False
        try:
            reply = await self._calls.call(
                holder.address, methods.EVIDENCE_HELD, report, CALL_S
            )
        except rpc.RpcError:
            return False
        return reply.ok

    async def _holder(self, model: str) -> lease_data.Lease | None:
        found = await self._leases.owner_of(LEASE_PREFIX + model)
        if found is None or found.address in {'', self._address}:
            return None
        return found

    async def _follow(self) -> None:
        while True:
            declared = {item.model for item in self._view.document.rollouts}
            for model in declared - self._wanted:
                self._wanted.add(model)
                self._leases.want(LEASE_PREFIX + model, self)
            for model in sorted(declared):
                await self._pull(model)
            await asyncio.sleep(FOLLOW_S)

    async def _pull(self, model: str) -> None:
        if model in self._judges:
            return
        holder = await self._holder(model)
        if holder is None:
            return
        ask = rpc_data.RolloutAsk(model)
        try:
            reply = await self._calls.call(
                holder.address, methods.ROLLOUT_PULL, ask, CALL_S
            )
        except rpc.RpcError:
            return
        if reply.state is not None:
            self._states.learn(reply.state)

    def _judge(self, model: str) -> None:
        name = LEASE_PREFIX + model
        judge = rollout_judge.RolloutJudge(
            model,
            self._api,
            lambda: _declared(self._view.document, model),
            lambda: self._leases.held(name, time.monotonic()) is not None,
            lambda ref: _can_run(ref, self._view.feed.parts.loads),
            self._states.show,
        )
        self._judges[model] = judge
        judge.start()


def _can_run(
    ref: config_data.VersionRef, loads: Iterable[view_data.ServerLoad]
) -> bool:
    """Tell whether an engine runs a version; one that lists none runs any."""
    return any(not load.loaded or ref in load.loaded for load in loads)


def _declared(
    document: config_data.Document, model: str
) -> config_data.Rollout | None:
    for item in document.rollouts:
        if item.model == model:
            return item
    return None
