"""Service 'config': the current configuration, and the view for entries.

It combines the configuration from the platform and from peers with the state
that other services of this process publish, and streams the resulting view to
the entry processes.
"""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from absl import logging

from beryllug.control import (
    config_holder,
    part_cleanup,
    config_watch,
    exchange_peers,
    view_feed,
    config_exchange,
)
from beryllug.core import (
    config_data,
    config_state,
    rpc_data,
    settings_data,
    token_keys,
    view_data,
    view_parts,
)
from beryllug.drivers import (
    rpc_peers,
    methods,
    object_api,
    object_data,
    part_collector,
    rpc,
)
from beryllug.kernel import metrics_data

START_TIMEOUT_S = 2.0
KEY_REFRESH_S = 10.0
COMPARE_HEARTBEATS = 2

Listener = Callable[[], None]


class Config:
    """The configuration, its platform watch, peer exchange and view feed.

    Attributes:
        process: Identity of this process.
        others: The other control processes.
        watch: The watch of the platform, with the store behind it.
        push: The exchange with peers.
        feed: The streams to entry processes.
    """

    def __init__(
        self,
        process: settings_data.Process,
        cfg: settings_data.Control,
        api: object_api.ObjectApi,
        calls: rpc_peers.PeerCaller,
        members: exchange_peers.Members | None = None,
    ) -> None:
        """Connect the components; `start` starts the background tasks."""
        others = exchange_peers.ExchangePeers(
            process, cfg, members, time.monotonic
        )
        self._holder = config_holder.ConfigHolder()
        self.process = process
        self._cfg = cfg
        self.others = others
        self._last_held = self._holder.held
        self._tasks: list[asyncio.Task[None]] = []
        self.watch = config_watch.ConfigWatch(
            self._holder, api, others.should_watch, cfg.cut_off_s
        )
        self.push = config_exchange.ConfigExchange(
            self._holder, calls, others, cfg.listen
        )
        self.feed = view_feed.ViewFeed(cfg.heartbeat_s, self.accepts)
        self._collector = part_collector.PartCollector(self.watch.store, api)
        self._holder.listen(self._on_change)

    @property
    def revision(self) -> int:
        """Return this process's current revision, 0 before the first."""
        return self._holder.held.revision

    @property
    def document(self) -> config_data.Document:
        """Return this process's current document."""
        return self._holder.held.document

    def listen(self, listener: Listener) -> None:
        """Call a function after each change of revision or keys."""
        self._holder.listen(listener)

    def serve(self, server: rpc.RpcServer) -> None:
        """Register the methods that entries and peers call."""
        server.stream(methods.WATCH_VIEW, self.feed.stream)
        server.unary(methods.VIEW_SEEN, self.feed.on_confirmation)
        self.push.serve(server)

    def publish(
        self,
        *,
        rollouts: tuple[view_data.RolloutStatus, ...] | None = None,
        servers: tuple[view_data.BackendServer, ...] | None = None,
        loads: tuple[view_data.ServerLoad, ...] | None = None,
        suspects: tuple[rpc_data.Suspect, ...] | None = None,
        budgets: Mapping[str, view_parts.Shares] | None = None,
    ) -> None:
        """Replace parts of the view; None leaves a part unchanged.

        Args:
            rollouts: State of every rollout.
            servers: Backend servers in the host list.
            loads: Loads reported by engines.
            suspects: Requests suspected of crashing servers.
            budgets: Exposure shares, by name of the entry process.
        """
        given = {
            'rollouts': rollouts,
            'servers': servers,
            'loads': loads,
            'suspects': suspects,
            'budgets': budgets,
        }
        changed: dict[str, Any] = {
            name: part
            for name, part in given.items()
            if part is not None and part != getattr(self.feed.parts, name)
        }
        if changed:
            self.feed.replace_parts(self.feed.parts._replace(**changed))

    async def wait_for_confirmation(self, within_s: float) -> None:
        """Wait until each entry confirmed the suspects, or time out."""
        await self.feed.wait_until_confirmed(within_s)

    def accepts(self) -> bool:
        """Tell whether entries may accept new work.

        They may while the platform or a peer was reached recently enough.
        """
        return config_state.may_accept(
            self._holder.contact, time.monotonic(), self._cfg.cut_off_s
        )

    async def start(self) -> None:
        """Load the highest revision of platform and peers, then follow it.

        Both requests have a time limit, so a slow platform does not delay a
        start from peers.
        """
        requests = [
            asyncio.create_task(self._read_platform()),
            asyncio.create_task(self.push.compare_with_sample()),
        ]
        _, unfinished = await asyncio.wait(requests, timeout=START_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        self.feed.open()
        interval_s = self._cfg.heartbeat_s * COMPARE_HEARTBEATS
        self._tasks = [
            asyncio.create_task(self.watch.run()),
            asyncio.create_task(self.watch.run_keys()),
            asyncio.create_task(self.push.run(interval_s)),
            asyncio.create_task(self._refresh_keys()),
            asyncio.create_task(
                part_cleanup.run(
                    self._collector, self.others.runs_singleton_tasks
                )
            ),
        ]

    async def stop(self, grace_s: float) -> None:
        """Stop the background tasks; the current state stays readable."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.push.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state without documents and secrets."""
        return {
            **self._holder.dump(time.monotonic()),
            'accepts': self.accepts(),
            'watches': self.others.should_watch(),
            'others': list(self.others.all_addresses()),
            'entries': self.feed.dump(),
            'rollouts': [
                status._asdict() for status in self.feed.parts.rollouts
            ],
            'suspects': len(self.feed.parts.suspects),
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return metrics of the revision, the offers and the streams."""
        yield metrics_data.Sample(
            'config_revision', self.revision, 'Revision in force here.'
        )
        yield metrics_data.Sample(
            'config_accepts', self.accepts(), 'Whether new work is taken.'
        )
        yield metrics_data.Sample(
            'config_entries',
            len(self.feed.followers()),
            'Entry processes that follow this one.',
        )
        for source, taken in self._holder.counts.items():
            yield metrics_data.Sample(
                'config_offers',
                taken,
                'Revisions that were brought here.',
                metrics_data.Kind.COUNTER,
                {'outcome': source},
            )

    async def _read_platform(self) -> None:
        try:
            await self.watch.read()
        except (object_data.ObjectApiError, ValueError) as exc:
            logging.warning('event=config_not_read error=%s', exc)

    async def _refresh_keys(self) -> None:
        """Publish the keys periodically: the signing key changes with time."""
        while True:
            self._publish_keys()
            await asyncio.sleep(KEY_REFRESH_S)

    def _publish_keys(self) -> None:
        keys = token_keys.valid_keys(self._holder.keys.listed, time.time())
        if keys != self.feed.parts.token_keys:
            self.feed.replace_parts(self.feed.parts._replace(token_keys=keys))

    def _on_change(self) -> None:
        held = self._holder.held
        before = self._last_held
        if held is not before:
            self._last_held = held
            self.feed.replace_parts(
                self.feed.parts._replace(
                    revision=held.revision, document=held.document
                )
            )
            self.push.push_to_children(before)
        self._publish_keys()
