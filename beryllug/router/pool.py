"""Service 'pool': the choice of a backend server for each attempt.

Keeps what this process observes of the servers: its own requests on each, and
their failures.
"""

import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from beryllug.core import (
    balance_data,
    ejection,
    retry_window,
    server_load,
    settings_data,
)
from beryllug.core.placement import (
    backlog,
    choose,
    kv_memory,
    lateness,
    load_sums,
    prefix_transfer,
    servers_data,
    streams,
    suspicion,
)
from beryllug.router import eligible, prefix_copies, repeats, server_capacity


# Maximum number of servers with a limit that are asked for a permit in one
# attempt; each costs a round trip.
MAX_CLAIMS = 3


Counter = Callable[[float], dict[str, load_sums.Load]]


class _Selection(NamedTuple):
    """The best server for an attempt, and the servers it was chosen from.

    Attributes:
        server: The best server.
        servers: All of them.
        with_copy: The same server with the copy it asks for, or None.
    """

    server: servers_data.Server
    servers: list[servers_data.Server]
    with_copy: prefix_copies.WithCopy | None = None


class Choice(NamedTuple):
    """A server that was chosen for an attempt.

    Attributes:
        server: The server.
        started_at: Monotonic second at which the request was counted on it.
        number: Number of the prompt in the backlog, or 0.
        first_s: Expected seconds until it begins to answer.
        kv_tokens: Tokens that it is counted to hold in the KV cache.
        copy: The copy of the prompt's prefix that it asks for, or None.
        uncached_fraction: Fraction of the shared tokens to prefill, without the
            copy.
        running: Requests that ran there, this one included.
    """

    server: servers_data.Server
    started_at: float
    number: int = 0
    first_s: float = 0.0
    kv_tokens: int = 0
    copy: prefix_transfer.Copy | None = None
    uncached_fraction: float = 1.0
    running: int = 0


def _is_never_cut(address: str) -> bool:
    """Default of `is_cut`."""
    return False


class Pool:
    """Chooses servers and counts the requests sent to them.

    Attributes:
        is_cut: Returns whether the link to the server of an address is cut.
        counters: Return further counts, to send to peers.
        copies: Copies of cached prefixes between model runners.
    """

    def __init__(
        self,
        servers: eligible.EligibleServers,
        zone: str,
        bound: retry_window.Bound,
        speeds: settings_data.Switch = settings_data.Switch.OFF,
    ) -> None:
        """Bind to the servers that accept requests."""
        self.eligible = servers
        self._zone = zone
        self._state = balance_data.BalanceState()
        self.peer_loads = load_sums.RemoteLoads()
        self.capacity = server_capacity.ServerCapacity(speeds, self.peer_loads)
        self.prompt_backlog = backlog.Backlog(
            others=self.peer_loads, speeds=self.capacity.speeds
        )
        self.known = choose.Known(
            self.prompt_backlog,
            suspicion.Suspicion(others=self.peer_loads),
            streams.Streams(others=self.peer_loads),
            self.capacity.memory,
            draw_name=servers.process_name if self.capacity.memory else '',
        )
        self.lateness = lateness.Lateness(others=self.peer_loads)
        self.repeats = repeats.Repeats(bound, self.peer_loads)
        self.is_cut: Callable[[str], bool] = _is_never_cut
        self.counters: list[Counter] = []
        self.copies = prefix_copies.PrefixCopies(
            prefix_copies.Observed(self._state, self.known, zone)
        )

    async def start(self) -> None:
        """Do nothing: the service is driven by requests."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the observations of each server."""
        return {
            instance: {
                'in_flight': seen.in_flight,
                'failures': seen.failures,
                'ejections': seen.ejections,
            }
            for instance, seen in self._state.server_stats.items()
        }

    def peer_counts(self, now: float) -> dict[str, load_sums.Load]:
        """Return counts other than server loads, to send to peers."""
        counts = self.repeats.shared_counts(now)
        counts |= lateness.reported(self.lateness, now)
        counts |= self.capacity.reported(now)
        for counter in self.counters:
            counts |= counter(now)
        return counts

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions that a service's servers run."""
        return self.eligible.versions(service, time.monotonic())

    async def choose(
        self, criteria: servers_data.Requirements
    ) -> Choice | None:
        """Choose a server and count the request on it; None if there is none.

        A server with a rate limit must first grant a permit; if it does not,
        other servers are asked in turn.
        """
        limits = self.eligible.limits
        for _ in range(MAX_CLAIMS):
            selection = self._best(criteria)
            if selection is None:
                return None
            instance = selection.server.instance
            if limits.per_s(instance) is None:
                return self._assign(selection, criteria)
            is_permitted = await limits.claim(instance)
            # The server's state may have changed during the claim.
            now = time.monotonic()
            if is_permitted and self.eligible.still_accepts(
                selection.server, criteria, now
            ):
                # The source of a copy may have left meanwhile.
                return self._assign(
                    selection._replace(with_copy=None), criteria
                )
        selection = self._best(criteria._replace(without_limit=True))
        return selection and self._assign(selection, criteria)

    def expected(self, criteria: servers_data.Requirements) -> backlog.Expected:
        """Return the earliest time at which a prompt's answer would begin."""
        prompt = criteria.prompt
        now = time.monotonic()
        # Servers with a limit are left out: they may refuse the permit.
        unlimited, _ = self.eligible.candidates(
            criteria._replace(without_limit=True), now
        )
        if prompt is None or not unlimited:
            return backlog.NEVER
        preferred = choose.preferred_instance(unlimited, prompt.key)
        earliest = min(
            (
                backlog.expected(
                    self.prompt_backlog,
                    server.instance,
                    prompt,
                    now,
                    is_preferred=server.instance == preferred,
                )
                for server in unlimited
            ),
            key=lambda each: each.first_s,
        )
        copies = self.copies.possible(
            criteria, unlimited, earliest.first_s, now
        )
        return min(
            (earliest, *(copy.expected for copy in copies.values())),
            key=lambda each: each.first_s,
        )

    def answer_started(self, choice: Choice) -> None:
        """Record that a server has begun to answer a prompt."""
        instance = choice.server.instance
        now = time.monotonic()
        backlog.answer_began(self.prompt_backlog, instance, choice.number, now)
        late_s = now - choice.started_at - choice.first_s
        self.copies.answer_began(choice.copy, late_s, now)

    def request_ended(self, choice: Choice) -> None:
        """Count the end of a request on a server, whatever its outcome."""
        now = time.monotonic()
        instance = choice.server.instance
        server_load.record_end(self._state, instance, now)
        backlog.end(self.prompt_backlog, instance, choice.number)
        if choice.number:
            streams.end(self.known.streams, instance)
            self.capacity.end(instance, choice.kv_tokens)

    def failed(
        self,
        choice: Choice,
        *,
        at_once: bool = False,
        points: float = suspicion.BROKEN,
    ) -> None:
        """Record a failure that the server is responsible for.

        An unreachable server is ejected at once: each further try would cost a
        request one of its few attempts. So is one that sends without end, which
        costs this process as well. What fails while its link is cut is
        not reported to peers, which reach it.

        Args:
            choice: The server.
            at_once: Whether to eject it for this failure alone.
            points: Weight of the failure in the server's suspicion score.
        """
        now = time.monotonic()
        instance = choice.server.instance
        if not self.is_cut(choice.server.address):
            suspicion.failed(self.known.failures, instance, points, now)
        seen = server_load.stats_of(self._state, instance)
        if not at_once:
            ejection.record_failure(seen, now)
        elif not ejection.is_ejected(seen, now):
            ejection.eject(seen, now, ejection.MAX_FAILING_PAUSE_S)

    def running(self, instance: str, now: float) -> int:
        """Return the known requests on a server, of all processes."""
        own = server_load.stats_of(self._state, instance).in_flight
        return max(own, streams.running(self.known.streams, instance, now))

    def forgive(self, instances: Iterable[str]) -> None:
        """Forget failures of servers whose links were found cut.

        How late their answers were says nothing about the servers, either.
        """
        for instance in instances:
            suspicion.forget_own(self.known.failures, instance)
            ejection.readmit(server_load.stats_of(self._state, instance))
        self.lateness.own.clear()

    def succeeded(self, choice: Choice) -> None:
        """Record a successful answer."""
        seen = server_load.stats_of(self._state, choice.server.instance)
        ejection.record_success(seen, 1)

    def _best(self, criteria: servers_data.Requirements) -> _Selection | None:
        """Return the best server for an attempt; None if there is none."""
        now = time.monotonic()
        for servers in self.eligible.candidates(criteria, now):
            server = choose.choose(
                self._state,
                self.known,
                servers,
                criteria,
                self._zone,
                now,
            )
            if server is not None:
                found = self.copies.best(criteria, servers, server, now)
                return _Selection(
                    found.server if found else server, servers, found
                )
        return None

    def _assign(
        self, selection: _Selection, criteria: servers_data.Requirements
    ) -> Choice:
        now = time.monotonic()
        server, servers, found = selection
        instance = server.instance
        self.eligible.count_request(instance, now)
        server_load.record_dispatch(self._state, instance, now)
        prompt = criteria.prompt
        if prompt is None:
            return Choice(server, now)
        is_home = choose.preferred_instance(servers, prompt.key) == instance
        choice = _count_prompt(self.known, server, prompt, now, is_home=is_home)
        held = kv_memory.held_tokens(
            prompt, criteria.tokens_out, choice.uncached_fraction
        )
        self.capacity.begin(instance, held)
        choice = choice._replace(kv_tokens=held)
        if found is None:
            return choice
        self.copies.begin(found, choice.number, criteria, now)
        return choice._replace(
            first_s=found.copy.expected.first_s, copy=found.copy
        )


def _count_prompt(
    known: choose.Known,
    server: servers_data.Server,
    prompt: backlog.Prompt,
    now: float,
    *,
    is_home: bool,
) -> Choice:
    """Count a prompt on the model runner that it is sent to."""
    instance = server.instance
    estimate = backlog.expected(
        known.reading, instance, prompt, now, is_preferred=is_home
    )
    number = backlog.begin(
        known.reading, instance, prompt, now, is_preferred=is_home
    )
    streams.begin(known.streams, instance)
    return Choice(
        server,
        now,
        number,
        estimate.first_s,
        uncached_fraction=estimate.uncached_fraction,
        running=streams.running(known.streams, instance, now),
    )
