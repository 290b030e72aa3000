"""Session pins: the version that each session runs on, here and at peers."""

import time
from collections.abc import Iterable

from beryllug.core.canary import canary_data, plan, sessions


class Pins:
    """Keeps the versions that sessions run on, and queues some for peers.

    Attributes:
        sessions: The pinned sessions, and those that peers must be told of.
    """

    def __init__(self, bounds: canary_data.Bounds) -> None:
        """Start without sessions."""
        self.sessions = sessions.Sessions()
        self._bounds = bounds

    def dump(self) -> dict[str, int]:
        """Return the numbers of pinned and of queued sessions."""
        return {
            'sessions': len(self.sessions.pins),
            'untold': len(self.sessions.untold),
        }

    def pinned(self, service: str, session: str) -> str | None:
        """Return the version that a session runs on; None for a new one."""
        now = time.monotonic()
        session_s = self._bounds.session_s
        return sessions.pinned(self.sessions, service, session, session_s, now)

    def record_run(
        self, told: sessions.SessionVersion, sampled_part: float
    ) -> None:
        """Record the version on which a request of a session runs.

        Args:
            told: The session and the version.
            sampled_part: Largest part of the allowed share of sessions that a
                rollout of the service may sample; 0 without a rollout.
        """
        now = time.monotonic()
        sessions.record_session_run(self.sessions, *told, now)
        self._queue(told, sampled_part)

    def merge_sessions(self, told: Iterable[sessions.SessionVersion]) -> None:
        """Record the versions that sessions run on at peers."""
        now = time.monotonic()
        for each in told:
            sessions.record_session_run(self.sessions, *each, now)

    def queue_sessions(self, order: canary_data.Order) -> None:
        """Queue a service's sessions for peers when a rollout begins."""
        now = time.monotonic()
        session_s = self._bounds.session_s
        current = sessions.of_service(
            self.sessions, order.service, session_s, now
        )
        # Each session has had a request, at least, in its lifetime.
        expected = len(current) / session_s * order.duration_s
        part = plan.largest_part(expected, self._bounds)
        for told in current:
            self._queue(told, part)

    def _queue(
        self, told: sessions.SessionVersion, sampled_part: float
    ) -> None:
        """Queue a session for peers, if the rollout might select it there.

        A process that receives such a session without knowing its pin would
        select it anew and change its version. No process selects the other
        sessions.
        """
        if plan.is_sampled(told.session, self._bounds, sampled_part):
            self.sessions.untold[told] = None
