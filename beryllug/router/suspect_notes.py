"""What processes tell one another of requests that crash servers.

A change is told to all at once, before the request can be sent to the next
server or to another process. Datagrams get lost and processes start, so what
keeps requests from running freely is repeated in probes and in the answers to
calls.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from beryllug.core import suspects
from beryllug.core.peering import (
    peering_data,
    segment_reports,
    suspect_reports,
)
from beryllug.core.placement import poison_requests
from beryllug.router import crash_watch

# Reports in a probe, which leaves room for some 300 bytes, and in the answer to
# a call.
MAX_IN_PROBE = 2
MAX_IN_ANSWER = 32
# Seconds for each other process over which those that can clear a key draw
# their delay: the first one tells all, the others then need not.
VOUCH_SPREAD_S = 0.003
Reports = tuple[peering_data.SuspectReport, ...]
SegmentsReports = Iterable[peering_data.SegmentsReport]


class SuspectNotes:
    """Sends and handles reports on suspected requests."""

    def __init__(
        self,
        crashes: crash_watch.CrashWatch,
        broadcast: Callable[[Reports], None],
        broadcast_segments: Callable[[peering_data.SegmentsReport], None],
        count_others: Callable[[], int],
    ) -> None:
        """Bind to what is told.

        Args:
            crashes: Knows the requests.
            broadcast: Sends reports to all processes, in one datagram.
            broadcast_segments: The same for a report on prompt segments.
            count_others: Returns the number of other processes.
        """
        self._crashes = crashes
        self._state = crashes.suspects.state
        self._broadcast = broadcast
        self._broadcast_segments = broadcast_segments
        self._count_others = count_others
        self._rng = random.Random()
        self._is_due = False
        self._is_vouching = False
        crashes.suspects.on_changed = self._schedule

    def handle_note(self, note: peering_data.PeerNote, now: float) -> None:
        """Handle what a note tells."""
        if note.suspects:
            self.handle_reports(note.suspects, now)
        elif note.losses:
            poison_requests.take(self._state, note.losses, now)
        for report in note.segments:
            self._handle_segments(report, now)

    def handle_reports(self, reports: Reports, now: float) -> None:
        """Handle what another process knows."""
        self._crashes.merge(
            (suspect_reports.note_of(report, now) for report in reports), now
        )
        self._vouch_soon()

    def sample(self, now: float) -> Reports:
        """Return some reports for a probe, one that concerns many if any."""
        known = self._binding(now)
        shared = [each for each in known if suspect_reports.is_shared(each)]
        chosen = self._rng.sample(shared, min(1, len(shared)))
        others = [each for each in known if each not in chosen]
        count = min(MAX_IN_PROBE - len(chosen), len(others))
        return (*chosen, *self._rng.sample(others, count))

    def recent(self, now: float) -> Reports:
        """Return the reports for a process that may know of none."""
        return tuple(self._binding(now)[-MAX_IN_ANSWER:])

    def _binding(self, now: float) -> list[peering_data.SuspectReport]:
        """Return reports on requests that may not run freely.

        Those that concern many requests come last.
        """
        suspects.expire(self._state.table, now)
        parts = (
            suspect_reports.binding_part(note, now)
            for note in self._state.table.notes.values()
        )
        found = [suspect_reports.report_of(part, now) for part in parts if part]
        return sorted(found, key=suspect_reports.is_shared)

    def _schedule(self) -> None:
        """Send in the next turn of the loop what changes in this one."""
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._send)

    def _handle_segments(
        self, report: peering_data.SegmentsReport, now: float
    ) -> None:
        if report.instance:
            self._crashes.merge_segments(
                segment_reports.lost_of(report, now), now
            )
            self._vouch_soon()
        else:
            keys = segment_reports.keys_of(report)
            poison_requests.merge_answered(
                self._state, keys, now - report.ago_s
            )

    def _vouch_soon(self) -> None:
        is_due = self._state.vouched or self._state.vouched_segments
        if is_due and not self._is_vouching:
            self._is_vouching = True
            spread_s = self._count_others() * VOUCH_SPREAD_S
            asyncio.get_running_loop().call_later(
                self._rng.uniform(0, spread_s), self._vouch
            )

    def _vouch(self) -> None:
        """Tell of the keys that were answered here, unless others have."""
        self._is_vouching = False
        segments = poison_requests.pop_vouched_segments(
            self._state, time.monotonic()
        )
        for ago_s, answered in segments.items():
            self._send_segments(segment_reports.of_answered(answered, ago_s))
        keys = poison_requests.pop_vouched(self._state)
        self._state.untold.update(dict.fromkeys(keys))
        self._crashes.suspects.report_cleared(keys)
        self._crashes.suspects.report_changes()

    def _send(self) -> None:
        self._is_due = False
        now = time.monotonic()
        for lost in self._state.untold_lost:
            self._send_segments(segment_reports.of_lost(lost, now))
        self._state.untold_lost.clear()
        self._send_segments(
            segment_reports.of_answered(self._state.untold_answered, 0)
        )
        self._state.untold_answered.clear()
        changed: Iterable[peering_data.SuspectReport] = (
            suspect_reports.report_of(part, now)
            for note in poison_requests.pop_untold(self._state)
            for part in suspect_reports.told_parts(note)
        )
        for reports in suspect_reports.split(changed):
            self._broadcast(reports)

    def _send_segments(self, reports: SegmentsReports) -> None:
        for report in reports:
            self._broadcast_segments(report)
