"""What an entry process knows of suspected requests."""

import time

from beryllug.core import (
    refusal,
    rpc_data,
    suspects,
    suspects_data,
    view_merge,
)
from beryllug.entry import call_data, control_link


class Suspicions:
    """The suspects of the view, and those that this process reported.

    The view may bring the latter later than the next attempt is made, or
    never where no control process lives.
    """

    def __init__(self, link: control_link.ControlLink) -> None:
        """Follow the view."""
        self._listed: tuple[rpc_data.Suspect, ...] = ()
        self._known: dict[str, rpc_data.Suspect] = {}
        self._own = suspects_data.Table()
        link.listen(self._take_view)

    def dump(self) -> dict[str, int]:
        """Return counts."""
        return {'known': len(self._known), 'own': len(self._own.notes)}

    def trial_servers(self) -> frozenset[str]:
        """Return the servers where trials of any entry may be running."""
        return frozenset(
            known.trial_server
            for known in self._known.values()
            if known.trial_server
        )

    def reported(self, report: rpc_data.CrashReport) -> None:
        """Take what this process reports."""
        suspects.reported(self._own, report, report.at)

    def learnt(self, notes: tuple[suspects_data.Note, ...], now: float) -> None:
        """Take what a control process knows.

        Args:
            notes: Its notes.
            now: The present wall-clock second.
        """
        suspects.merge(self._own, notes, now)

    def forget(self, fingerprint: str) -> bool:
        """Forget a request that is cleared; returns whether it was known."""
        own = self._own.notes.pop(fingerprint, None)
        return own is not None or fingerprint in self._known

    def needs_trial(self, call: call_data.Call) -> bool:
        """Tell whether a call is under suspicion.

        Raises:
            RefusedError: It has cost the server of its trial.
        """
        now = time.time()
        known = self._known.get(call.fingerprint)
        if known is not None and now < known.until:
            if known.refused:
                raise refused(known.until - now)
            return True
        note = self._own.notes.get(call.fingerprint)
        if note is None:
            return False
        if suspects.is_refused(note, now):
            raise refused(suspects.kept_until(note) - now)
        return suspects.is_suspect(note, now)

    def _take_view(self, known: view_merge.Known) -> None:
        if known.suspects is not self._listed:
            self._listed = known.suspects
            self._known = {one.fingerprint: one for one in known.suspects}


def refused(retry_after_s: float) -> refusal.RefusedError:
    """Return the refusal of a request for some seconds."""
    return refusal.RefusedError(
        refusal.Refusal(
            refusal.Code.SUSPECT,
            'backend servers were lost while this request ran',
            retry_after_s=retry_after_s,
        )
    )
