"""Suspected requests that are known to an entry process."""

import time

from beryllug.core import (
    refusal,
    rpc_data,
    suspects,
    suspects_data,
    view_merge,
)
from beryllug.entry import call_data, control_link


class KnownSuspects:
    """Suspects from the view and those known to this process alone.

    The view may show a report of this process only after the next attempt, or
    never if no control process is alive.
    """

    def __init__(self, link: control_link.ControlLink) -> None:
        """Register for view updates."""
        self._view_suspects: tuple[rpc_data.Suspect, ...] = ()
        self._known: dict[str, rpc_data.Suspect] = {}
        self._local = suspects_data.Table()
        link.subscribe(self._on_view)

    def dump(self) -> dict[str, int]:
        """Return the numbers of known suspects by source."""
        return {'known': len(self._known), 'own': len(self._local.notes)}

    def trial_servers(self) -> frozenset[str]:
        """Return the servers where trials of any entry may be running."""
        return frozenset(
            known.trial_server
            for known in self._known.values()
            if known.trial_server
        )

    def record_report(self, report: rpc_data.CrashReport) -> None:
        """Record a crash report of this process."""
        suspects.record_report(self._local, report, report.at)

    def merge_notes(
        self, notes: tuple[suspects_data.SuspectNote, ...], now: float
    ) -> None:
        """Merge the suspects that a control process knows.

        Args:
            notes: Notes from the control process.
            now: Current wall-clock second.
        """
        suspects.merge(self._local, notes, now)

    def forget(self, fingerprint: str) -> bool:
        """Remove a cleared request; return whether it was a suspect."""
        local = self._local.notes.pop(fingerprint, None)
        return local is not None or fingerprint in self._known

    def needs_trial(self, call: call_data.Call) -> bool:
        """Return whether a call is a suspect.

        Raises:
            RefusedError: The server of its trial crashed.
        """
        now = time.time()
        known = self._known.get(call.fingerprint)
        if known is not None and now < known.until:
            if known.refused:
                raise refused(known.until - now)
            return True
        note = self._local.notes.get(call.fingerprint)
        if note is None:
            return False
        if suspects.is_refused(note, now):
            raise refused(suspects.kept_until(note) - now)
        return suspects.is_suspect(note, now)

    def _on_view(self, known: view_merge.EntryState) -> None:
        if known.suspects is not self._view_suspects:
            self._view_suspects = known.suspects
            self._known = {
                suspect.fingerprint: suspect for suspect in known.suspects
            }


def refused(retry_after_s: float) -> refusal.RefusedError:
    """Return the error for a suspect that is refused for some seconds."""
    return refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.SUSPECT,
            'backend servers were lost while this request ran',
            retry_after_s=retry_after_s,
        )
    )
