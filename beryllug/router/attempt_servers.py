"""The choice of a server for each attempt of a request."""

from beryllug.core.placement import backlog
from beryllug.router import attempts, crash_watch, flow_parts, pool
from beryllug.router import call as call_data


class AttemptServers:
    """Chooses the servers to which a request is sent in turn."""

    def __init__(self, parts: flow_parts.FlowParts) -> None:
        """Bind to the services of the flow."""
        self._pool = parts.pool
        self._crashes = parts.crashes
        self._log = parts.log

    async def choose(
        self,
        call: call_data.Call,
        progress: attempts.Progress,
        prompt: backlog.Prompt | None = None,
    ) -> pool.Choice | None:
        """Return the server of the next attempt; None if there is none.

        Servers may have been lost under the request since it was accepted, by
        its own attempts or by those of another process.
        """
        if self._crashes.refused_s(call):
            progress.reason = crash_watch.LOST
            return None
        choice = await self._pool.choose(
            attempts.criteria(call, progress, prompt)
        )
        if choice is None:
            attempts.record_no_server(call, progress, self._pool, self._log)
        return choice
