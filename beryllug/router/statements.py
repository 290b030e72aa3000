"""Service 'statements': what servers state of themselves in their answers.

Each statement in the head of an answer is passed to the component that acts on
it: the limits, the list of servers or the choice of a server. Other processes
are notified of those that concern them.
"""

import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from beryllug.core.peering import peering_data
from beryllug.core.placement import server_limits as limits_data
from beryllug.core.placement import (
    backoffs,
    full_servers,
    server_headers,
    servers_data,
)
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import dispatch, eligible, invalid_entry_log, server_list

# Maximum numbers of instances in a message that holds nothing else, and in one
# with other content, at some 30 bytes each.
MAX_CHANGED = 20
MAX_RECENT = 6
ANSWER = 'answer'


class Statements:
    """Applies statements of servers, and reports them to other processes.

    Attributes:
        on_changed: Called when there is something to report.
        on_full: Called with a brittle server that had no room, once until it
            is sent requests again.
    """

    def __init__(
        self,
        name: str,
        listed: server_list.ServerList,
        servers: eligible.EligibleServers,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the components that act on statements.

        Args:
            name: Name of the process.
            listed: The list of servers.
            servers: Which of them accept requests.
            lines: Writes log lines.
        """
        self.on_changed: Callable[[], None] = _ignore
        self.on_full: Callable[[peering_data.FullServer], None] = _ignore_full
        self._full = servers.full
        self._listed = listed
        self._limits = servers.limits
        self._backoffs = servers.backoffs
        self._lines = lines
        self._refusals = invalid_entry_log.InvalidEntryLog(
            'server_statement_unreadable', lines
        )
        self._leaving = listed.leaving
        self._changed: set[str] = set()
        self._rng = random.Random(name)

    async def start(self) -> None:
        """Do nothing: the service is driven by answers and by notes."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: the service holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return leaving servers, and the remaining backoff of others."""
        now = time.monotonic()
        return {
            'leaving': self._leaving.listed(now),
            'backing_off_s': {
                instance: round(left_s, 2)
                for instance, left_s in self._backing_off_s(now).items()
            },
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the numbers of leaving servers and of those in backoff."""
        now = time.monotonic()
        yield metrics_data.Sample(
            'servers_leaving',
            len(self._leaving.listed(now)),
            'Listed backend servers that have stated that they leave.',
        )
        yield metrics_data.Sample(
            'servers_backing_off',
            len(self._backing_off_s(now)),
            'Backend servers that this process sends nothing for a while.',
        )

    def apply_answer(self, answer_head: dispatch.AnswerHead) -> None:
        """Apply what the head of an answer states of its server."""
        found = server_headers.read(
            answer_head.head.stated,
            answer_head.head.status,
            is_sealed=answer_head.head.is_sealed,
        )
        for statement in found:
            self._apply(statement, answer_head)

    def handle_note(self, note: peering_data.PeerNote, now: float) -> None:
        """Apply what another process has observed of servers."""
        for each in note.full:
            full_servers.pause(
                self._full,
                each.instance,
                each.seconds,
                self._rng.random(),
                now,
            )
        for instance in note.leaving:
            self._leaving.record_leaving(instance, note.name, now)

    def forget(self, now: float) -> None:
        """Forget backoffs and pauses that have ended."""
        if self._backoffs.asked:
            backoffs.forget(self._backoffs, now)
        if self._full.until or self._full.brittle:
            listed, doubted = self._listed.usable(now)
            instances = {each.instance for each in (*listed, *doubted)}
            full_servers.forget(self._full, frozenset(instances), now)

    def pop_changed(self) -> tuple[str, ...]:
        """Return servers that began to leave since the last call."""
        told = sorted(self._changed)[:MAX_CHANGED]
        self._changed.difference_update(told)
        return tuple(told)

    def sample_leaving(self, now: float) -> tuple[str, ...]:
        """Return some leaving servers, to send to a peer."""
        known = self._leaving.listed(now)
        return tuple(self._rng.sample(known, min(MAX_RECENT, len(known))))

    def _apply(
        self,
        statement: server_headers.Statement,
        answer_head: dispatch.AnswerHead,
    ) -> None:
        server = answer_head.server
        match statement:
            case server_headers.RateLimit(None):
                seen = limits_data.Observation(None, answer_head.sent_at)
                self._limits.observe(server.instance, seen)
            case server_headers.RateLimit(per_s):
                seen = limits_data.Observation(per_s, answer_head.heard_at)
                self._limits.observe(server.instance, seen)
            case server_headers.Leaving():
                self._record_leaving(server, answer_head.heard_at)
            case server_headers.BackOff(seconds):
                self._back_off(server, seconds, answer_head.heard_at)
            case server_headers.Brittle(per_s):
                self._observe_brittle(server, per_s, answer_head)
            case server_headers.Unreadable(what, text):
                self._refusals.log_once(f'{server.instance} {what}', text)

    def _observe_brittle(
        self,
        server: servers_data.Server,
        per_s: float | None,
        answer_head: dispatch.AnswerHead,
    ) -> None:
        instance = server.instance
        if full_servers.observe(self._full, instance, per_s):
            self._lines.write('server_brittle', instance=instance, per_s=per_s)
        head = answer_head.head
        is_refusal = head.status in server_headers.REFUSAL_STATUSES
        if not head.is_not_run or not is_refusal:
            return
        seconds = full_servers.refused(
            self._full, instance, self._rng.random(), answer_head.heard_at
        )
        if seconds:
            self._lines.write(
                'server_full', instance=instance, seconds=round(seconds, 2)
            )
            self.on_full(peering_data.FullServer(instance, seconds))

    def _back_off(
        self, server: servers_data.Server, seconds: float, now: float
    ) -> None:
        if backoffs.back_off(self._backoffs, server.instance, seconds, now):
            self._lines.write(
                'server_backoff', instance=server.instance, seconds=seconds
            )

    def _backing_off_s(self, now: float) -> dict[str, float]:
        return backoffs.backing_off_s(self._backoffs, now)

    def _record_leaving(self, server: servers_data.Server, now: float) -> None:
        if self._leaving.record_leaving(server.instance, ANSWER, now):
            self._changed.add(server.instance)
            self.on_changed()


def _ignore_full(server: peering_data.FullServer) -> None:
    """Notify nobody of a full server."""


def _ignore() -> None:
    """Notify nobody."""
