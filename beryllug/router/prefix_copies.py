"""Service 'prefix_copies': copies of cached prefixes between model runners.

Chooses a runner that can answer in time with a copy of the prompt's shared
prefix, by `core.placement.prefix_transfer`, and records how such answers begin.
It does nothing unless the setting `prefix_transfer` is on.
"""

import math
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from beryllug.core import balance_data
from beryllug.core.placement import (
    backlog,
    choose,
    copied_prompts,
    prefix_transfer,
    servers_data,
    suspicion,
)
from beryllug.core.routes import routes_data
from beryllug.kernel import log_lines, metrics_data

MS = 1000
# Suspicion points from which on nothing is copied from a server: those that a
# broken connection leaves for 7 s, in which a lost server leaves the list.
MIN_POINTS = suspicion.STATED
SourcesOf = Callable[
    [servers_data.Requirements, float], Iterable[servers_data.Server]
]


class Observed(NamedTuple):
    """What the pool observes of the servers.

    Attributes:
        state: Failures of each server.
        known: What this process and its peers know of the servers.
        zone: Availability zone of this process.
    """

    state: balance_data.BalanceState
    known: choose.Known
    zone: str


class WithCopy(NamedTuple):
    """A server for an attempt, and the copy that it asks for."""

    server: servers_data.Server
    copy: prefix_transfer.Copy


class Deployment(NamedTuple):
    """What copies depend on, other than the observations of the pool.

    Attributes:
        sources: Returns the listed servers that may be copied from.
        is_cut: Returns whether the link to the server of an address is cut.
        lines: Log writer.
    """

    sources: SourcesOf
    is_cut: Callable[[str], bool]
    lines: log_lines.LineWriter


class PrefixCopies:
    """Knows which copies are possible, and counts them.

    Attributes:
        deployment: What copies depend on; None while the setting is off.
    """

    def __init__(self, observed: Observed) -> None:
        """Bind to what the pool observes of the servers."""
        self.deployment: Deployment | None = None
        self._observed = observed
        self._engines: dict[str, routes_data.Engine] = {}
        self._transfers = prefix_transfer.Transfers()
        self._copies = 0
        self._bytes = 0
        self._stops = 0

    async def start(self) -> None:
        """Do nothing: the service is driven by requests."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def take_table(self, table: routes_data.RouteTable) -> None:
        """Use the services of the route table in force."""
        self._engines = {
            name: service.engine
            for name, service in table.services.items()
            if service.engine is not None
        }

    def dump(self) -> dict[str, Any]:
        """Return the copies and the servers from which they have stopped."""
        return {
            'copies': self._copies,
            'bytes': self._bytes,
            'late_in_a_row': dict(self._transfers.late),
            'stopped_s': {
                instance: round(seconds, 2)
                for instance, seconds in self._stopped_s().items()
            },
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return counts of copies, of their bytes and of stopped servers."""
        yield metrics_data.Sample(
            'server_prefix_copies',
            self._copies,
            'Attempts that ask a model server to copy a cached prefix.',
            metrics_data.Kind.COUNTER,
        )
        yield metrics_data.Sample(
            'server_prefix_copy_bytes',
            self._bytes,
            'Bytes of these copies, if receivers have none of the prefix.',
            metrics_data.Kind.COUNTER,
        )
        yield metrics_data.Sample(
            'server_prefix_copy_stops',
            self._stops,
            'Times that copies from a server stopped after late answers.',
            metrics_data.Kind.COUNTER,
        )
        yield metrics_data.Sample(
            'servers_not_copied_from',
            len(self._stopped_s()),
            'Model servers from which nothing is copied for a while.',
        )

    def best(
        self,
        criteria: servers_data.Requirements,
        servers: Sequence[servers_data.Server],
        chosen: servers_data.Server,
        now: float,
    ) -> WithCopy | None:
        """Return the best server with a copy; None if no copy is needed.

        Args:
            criteria: Requirements of the attempt.
            servers: Servers that it may be sent to.
            chosen: The best one of them without copies.
            now: The present second.
        """
        if self.deployment is None or criteria.prompt is None:
            return None
        engine = self._engines.get(criteria.service)
        if prefix_transfer.need(engine, criteria, math.inf) is None:
            return None
        preferred = choose.preferred_instance(servers, criteria.prompt.key)
        without = backlog.expected(
            self._observed.known.reading,
            chosen.instance,
            criteria.prompt,
            now,
            is_preferred=chosen.instance == preferred,
        )
        copies = self.possible(criteria, servers, without.first_s, now)
        if not copies:
            return None
        receiver = choose.choose(
            self._observed.state,
            self._observed.known._replace(copies=copies),
            [
                each
                for each in choose.with_room(
                    self._observed.known.memory, servers, criteria, now
                )
                if each.instance in copies
            ],
            criteria,
            self._observed.zone,
            now,
        )
        return receiver and WithCopy(receiver, copies[receiver.instance])

    def possible(
        self,
        criteria: servers_data.Requirements,
        servers: Sequence[servers_data.Server],
        without_s: float,
        now: float,
    ) -> Mapping[str, prefix_transfer.Copy]:
        """Return the copies with which an answer would begin in time.

        Args:
            criteria: Requirements of the attempt.
            servers: Servers that it may be sent to.
            without_s: Seconds until its answer begins without a copy.
            now: The present second.
        """
        deployment = self.deployment
        if deployment is None:
            return prefix_transfer.NO_COPIES
        engine = self._engines.get(criteria.service)
        wanted = prefix_transfer.need(engine, criteria, without_s)
        if wanted is None:
            return prefix_transfer.NO_COPIES
        found = self._sources(deployment, criteria, wanted.prompt, now)
        if not found:
            return prefix_transfer.NO_COPIES
        estimates = self._estimates(wanted.prompt, servers, now)
        usable = choose.without_ejected(
            self._observed.state, choose.fitting(servers, criteria), now
        )
        copies = {}
        for server in usable:
            copy = prefix_transfer.plan(
                self._transfers,
                wanted,
                server,
                estimates[server.instance],
                found,
                now,
            )
            if copy is not None and not deployment.is_cut(server.address):
                copies[server.instance] = copy
        return copies

    def begin(
        self,
        chosen: WithCopy,
        number: int,
        criteria: servers_data.Requirements,
        now: float,
    ) -> None:
        """Record that an attempt asks for a copy.

        Args:
            chosen: The server that the attempt is sent to, and the copy.
            number: Number of its prompt in the backlog.
            criteria: Requirements of the attempt.
            now: The present second.
        """
        copy = chosen.copy
        receiver = chosen.server.instance
        reading = self._observed.known.reading
        copied_prompts.record_copy(
            reading, receiver, number, copy.source.uncached, copy.copy_s
        )
        prefix_transfer.begin(self._transfers, copy, receiver, now)
        self._copies += 1
        self._bytes += copy.copied_bytes
        self._log(
            'prefix_copy',
            receiver=receiver,
            source=copy.source.server.instance,
            is_preferred=copy.source.uncached > 0,
            source_age_ms=_milliseconds(copy.source.age_s),
            bytes=copy.copied_bytes,
            copy_ms=_milliseconds(copy.copy_s),
            saved_ms=_milliseconds(copy.saved_s),
            expected_ms=_milliseconds(copy.expected.first_s),
            due_ms=_milliseconds(criteria.target_left_s or 0),
            loads_age_ms=_milliseconds(now - reading.others.at),
        )

    def answer_began(
        self, copy: prefix_transfer.Copy | None, late_s: float, now: float
    ) -> None:
        """Record how late an answer begins; infinitely if it was given up."""
        if copy is None or not prefix_transfer.answer_began(
            self._transfers, copy, late_s, now
        ):
            return
        self._stops += 1
        self._log(
            'prefix_copies_stopped',
            source=copy.source.server.instance,
            for_s=prefix_transfer.STOP_S,
            late_in_a_row=prefix_transfer.MAX_LATE,
        )

    def _estimates(
        self,
        prompt: backlog.Prompt,
        servers: Sequence[servers_data.Server],
        now: float,
    ) -> dict[str, backlog.Expected]:
        """Return when each server is expected to answer without a copy."""
        preferred = choose.preferred_instance(servers, prompt.key)
        return {
            server.instance: backlog.expected(
                self._observed.known.reading,
                server.instance,
                prompt,
                now,
                is_preferred=server.instance == preferred,
            )
            for server in servers
        }

    def _sources(
        self,
        deployment: Deployment,
        criteria: servers_data.Requirements,
        prompt: backlog.Prompt,
        now: float,
    ) -> list[prefix_transfer.Source]:
        """Return the servers that very likely have a prefix cached.

        The preferred server is chosen from all listed servers, including those
        that have failed this request: only then is it the one that other
        processes prefer.
        """
        listed = choose.fitting(
            deployment.sources(criteria, now),
            criteria._replace(excluded=frozenset()),
        )
        if not listed:
            return []
        state, known, _ = self._observed
        sound = [
            each
            for each in listed
            if each.instance not in criteria.excluded
            and not deployment.is_cut(each.address)
            and not choose.is_ejected(state, each, now)
            and suspicion.points_of(known.failures, each.instance, now)
            < MIN_POINTS
        ]
        return prefix_transfer.sources(
            self._transfers,
            known.reading,
            sound,
            prompt,
            choose.preferred_instance(listed, prompt.key),
            now,
        )

    def _stopped_s(self) -> dict[str, float]:
        """Return for how long nothing is copied from servers."""
        now = time.monotonic()
        until = self._transfers.stopped_until
        return {
            instance: until[instance] - now
            for instance in tuple(until)
            if prefix_transfer.is_stopped(self._transfers, instance, now)
        }

    def _log(self, event: str, **fields: object) -> None:
        if self.deployment is not None:
            self.deployment.lines.write(event, **fields)


def _milliseconds(seconds: float) -> float | None:
    """Return rounded milliseconds; None for a report that never came."""
    return round(seconds * MS, 1) if math.isfinite(seconds) else None
