"""Repeats: requests that are sent to one more server of their service.

The counts are sent to the other processes together with the server loads.
"""

import time

from beryllug.core import retry_window
from beryllug.core.placement import load_sums


class Repeats:
    """Keeps this process within the fleet's bound on repeats.

    Attributes:
        processes: Number of processes in the fleet, including this one.
    """

    def __init__(
        self, bound: retry_window.Bound, others: load_sums.RemoteLoads
    ) -> None:
        """Bind to the bound, and to the counts of the other processes."""
        self.processes = 1
        self._bound = bound
        self._others = others
        self._windows: dict[str, retry_window.Window] = {}

    def count_request(self, service: str) -> None:
        """Count a request for a service."""
        retry_window.record_request(self._window(service), time.monotonic())

    def may_repeat(
        self,
        service: str,
        use: retry_window.RepeatReason = retry_window.RepeatReason.FAILED,
    ) -> bool:
        """Return whether a request may be sent to one more server.

        Args:
            service: Its service.
            use: The purpose of the further server.
        """
        now = time.monotonic()
        told = load_sums.remote_subject_load(
            self._others, _subject(service), now
        )
        return retry_window.may_repeat(
            retry_window.count_sent(self._window(service), self._bound, now),
            self._bound,
            self.processes,
            told and retry_window.SentCounts(told.counted, told.summed),
            use,
        )

    def count_repeat(self, service: str) -> None:
        """Count a request that is sent to one more server."""
        retry_window.record_repeat(self._window(service), time.monotonic())

    def shared_counts(self, now: float) -> dict[str, load_sums.Load]:
        """Return the requests and repeats of each service, to send to peers."""
        sent = {
            service: retry_window.count_sent(window, self._bound, now)
            for service, window in self._windows.items()
        }
        return {
            _subject(service): load_sums.Load(
                counted=each.asked, summed=each.repeated
            )
            for service, each in sent.items()
        }

    def _window(self, service: str) -> retry_window.Window:
        return self._windows.setdefault(service, retry_window.Window())


def _subject(service: str) -> str:
    return f'repeats of {service}'
