"""Server selection for ordinary attempts and trials of suspected requests.

A suspect runs alone on a server if possible, so that a crash affects no other
request. Ordinary requests avoid that server as long as there is another one.
"""

import asyncio
import time
from collections.abc import Iterator
from typing import NamedTuple

from beryllug.core import balance_data, refusal, suspects_data, view_data
from beryllug.entry import call_data, crashes, routing

MAX_TRIAL_WAIT_S = 10.0
INITIAL_DELAY_S = 0.02
MAX_DELAY_S = 0.2
RETRY_AFTER_S = 1.0

Servers = frozenset[str]


class SelectedServer(NamedTuple):
    """The server of an attempt, if any, and the id of its trial, if any."""

    server: view_data.BackendServer | None
    trial_id: str = ''


class Trials:
    """Selects the servers of attempts."""

    def __init__(
        self, routes: routing.Routing, crash_reports: crashes.Crashes
    ) -> None:
        """Use the given routing and crash report services."""
        self._routing = routes
        self._crashes = crash_reports

    async def select_server(
        self, call: call_data.Call, pick: balance_data.Pick
    ) -> SelectedServer:
        """Return the server for an attempt.

        It waits only for a suspect, or after the process was stalled.

        Raises:
            RefusedError: The call is a suspect and may not run now.
        """
        await self._crashes.suspect_sync.catch_up()
        if not self._crashes.known.needs_trial(call):
            return self._choose_ordinary(pick)
        try:
            async with asyncio.timeout_at(
                min(call.deadline, time.monotonic() + MAX_TRIAL_WAIT_S)
            ):
                return await self._place_suspect(call, pick)
        except TimeoutError:
            raise _trial_in_progress_error()

    async def _place_suspect(
        self, call: call_data.Call, pick: balance_data.Pick
    ) -> SelectedServer:
        delay_s = INITIAL_DELAY_S
        while True:
            trial_id = crashes.new_trial_id()
            server = self._choose_for_trial(pick)
            if server is None:
                return SelectedServer(None)
            match await self._request_trial(call, server.server_id, trial_id):
                case suspects_data.Verdict.TRY:
                    return SelectedServer(server, trial_id)
                case suspects_data.Verdict.RUN:
                    return self._choose_ordinary(pick)
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_DELAY_S)

    async def _request_trial(
        self, call: call_data.Call, server_id: str, trial_id: str
    ) -> suspects_data.Verdict:
        try:
            return await self._crashes.ask_trial(call, server_id, trial_id)
        except BaseException:
            # If the client disconnects, the trial may have been granted. Not
            # ended, it would block the same request until it expires.
            self._crashes.abandon_trial(call, trial_id)
            raise

    def _choose_ordinary(self, pick: balance_data.Pick) -> SelectedServer:
        tried = self._crashes.known.trial_servers()
        return SelectedServer(self._choose_avoiding(pick, (tried, frozenset())))

    def _choose_for_trial(
        self, pick: balance_data.Pick
    ) -> view_data.BackendServer | None:
        tried = self._crashes.known.trial_servers()
        busy = tried | self._routing.busy_servers()
        return self._choose_avoiding(pick, (busy, tried, frozenset()))

    def _choose_avoiding(
        self, pick: balance_data.Pick, avoided: tuple[Servers, ...]
    ) -> view_data.BackendServer | None:
        """Select a server, relaxing the exclusions until there is one."""
        for excluded in _exclusions(pick.excluded, avoided):
            found = self._routing.choose(
                pick._replace(excluded=excluded), time.monotonic()
            )
            if found is not None:
                return found
        return None


def _exclusions(
    failed: Servers, avoided: tuple[Servers, ...]
) -> Iterator[Servers]:
    """Yield exclusions by preference; failed servers are relaxed last."""
    yield from (failed | servers for servers in avoided)
    yield from avoided


def _trial_in_progress_error() -> refusal.RefusedError:
    return refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.SUSPECT,
            'the same request is being tried after the loss of a server',
            retry_after_s=RETRY_AFTER_S,
        )
    )
