"""Reports of crashed backend servers, and refusal of suspected requests.

When a connection breaks and the server then refuses connections, the server
was lost, and each of our requests on it is under suspicion. The report is
answered before any of them is tried again, so that the suspicion is known to
the other entry processes before it can meet another server.
"""

import time
from collections.abc import Sequence
from typing import Any

from absl import logging

from beryllug.core import refusal, rpc_data
from beryllug.drivers import http_client, http_data, methods, rpc
from beryllug.entry import call_data, control_calls, control_link, routing

REPORT_S = 1.0
PROBE = http_data.Outgoing('GET', '/v1/load', {}, fresh=True)
MAX_CRASHES = 2


class Crashes:
    """Service 'crashes' of an entry process."""

    def __init__(
        self,
        entry: str,
        calls: control_calls.ControlCalls,
        link: control_link.ControlLink,
        client: http_client.HttpClient,
    ) -> None:
        """Bind the link to control and the client for probes."""
        self._entry = entry
        self._calls = calls
        self._link = link
        self._client = client
        self._reported = 0

    async def start(self) -> None:
        """Do nothing: it works when it is called."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the number of reported crashes."""
        return {'reported': self._reported}

    async def suspect(
        self, attempt: routing.Attempt, fingerprints: Sequence[str]
    ) -> bool:
        """Report a crash if the server of a broken attempt is gone.

        Returns:
            Whether it is gone.
        """
        if not await self._is_gone(attempt.server.address):
            return False
        self._reported += 1
        report = rpc_data.CrashReport(
            entry=self._entry,
            server_id=attempt.server.server_id,
            version=attempt.version,
            fingerprints=tuple(fingerprints),
            at=time.time(),
        )
        try:
            await self._calls.call(methods.CRASH, report, REPORT_S)
        except rpc.RpcError as exc:
            logging.warning('event=crash_report_failed error=%s', exc)
        return True

    def refuse_suspect(self, call: call_data.Call) -> None:
        """Refuse a call that has already cost too many servers.

        Raises:
            RefusedError: It is under suspicion for more than one crash.
        """
        now = time.time()
        for suspect in self._link.known.suspects:
            same = suspect.fingerprint == call.fingerprint
            if same and suspect.crashes >= MAX_CRASHES and now < suspect.until:
                raise refusal.RefusedError(
                    refusal.Refusal(
                        refusal.Code.SUSPECT,
                        'backend servers were lost while this request ran',
                        retry_after_s=suspect.until - now,
                    )
                )

    async def _is_gone(self, address: str) -> bool:
        try:
            await self._client.call(address, PROBE)
        except http_data.NotSentError:
            return True
        except http_data.BrokenError:
            return False
        return False
