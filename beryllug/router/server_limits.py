"""Service 'server_limits': limits that backend servers name in answers."""

from collections.abc import Iterable
from typing import Any

from beryllug.core.placement import server_limits
from beryllug.kernel import log_lines, metrics_data
from beryllug.router import dispatch, refusals


class ServerLimits:
    """Knows which backend servers have named a limit, and which one."""

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Begin without a limit."""
        self._limits = server_limits.Limits()
        self._lines = lines
        self._refusals = refusals.Refusals('server_limit_unreadable', lines)

    async def start(self) -> None:
        """Do nothing: it is driven by answers."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the limits, in requests a second."""
        return {
            instance: word.per_s
            for instance, word in self._limits.words.items()
            if word.per_s is not None
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return how many servers are limited."""
        yield metrics_data.Sample(
            'servers_limited',
            len(self.dump()),
            'Backend servers that name a limit on requests a second.',
        )

    def heard(self, said: dispatch.Said) -> None:
        """Take what the head of an answer says of its server's limit."""
        instance = said.server.instance
        text = said.head.limit
        if text:
            per_s = server_limits.read(text)
            if per_s is None:
                self._refusals.refused(instance, text)
                return
            self._take(instance, server_limits.Word(per_s, said.heard_at))
        elif said.head.is_sealed:
            self._take(instance, server_limits.Word(None, said.sent_at))

    def _take(self, instance: str, word: server_limits.Word) -> None:
        before = server_limits.per_s(self._limits, instance)
        if server_limits.take(self._limits, instance, word):
            self._lines.write(
                'server_limit',
                server=instance,
                per_s=word.per_s,
                before=before,
                source='answer',
            )
