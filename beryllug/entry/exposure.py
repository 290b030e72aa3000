"""Exposure to new versions: answers given out, and the evidence of them.

Control deals each entry a number of a candidate's answers that it may give
out in all. What becomes of the answers goes back as evidence; a report stays
here until a control process has taken it.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

from absl import logging

from beryllug.core import (
    config_data,
    rpc_data,
    view_data,
)
from beryllug.drivers import methods, rpc
from beryllug.entry import (
    call_data,
    chat_data,
    control_calls,
    control_link,
)

REPORT_EVERY_S = 0.25
REPORT_S = 2.0

Tally = dict[tuple[config_data.VersionRef, str], rpc_data.VersionEvidence]


class Exposure:
    """Service 'exposure' of an entry process."""

    def __init__(
        self,
        entry: str,
        calls: control_calls.ControlCalls,
        link: control_link.ControlLink,
    ) -> None:
        """Bind the calls to control and the view."""
        self._entry = entry
        self._calls = calls
        self._link = link
        self._given: dict[config_data.VersionRef, int] = {}
        self._tally: Tally = {}
        self._sequence = 0
        self._pending: rpc_data.EvidenceReport | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reporting."""
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Report what is left, then stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._report()

    def dump(self) -> dict[str, Any]:
        """Return answers given out by candidate and what is unreported."""
        given = {
            chat_data.name_of(ref): count for ref, count in self._given.items()
        }
        return {
            'given_out': given,
            'unreported': len(self._tally),
            'sequence': self._sequence,
        }

    def budgets(self) -> Mapping[config_data.VersionRef, int]:
        """Return answers of each candidate that may still be given out."""
        return {
            share.version: share.total - self._given.get(share.version, 0)
            for share in self._link.known.budgets
        }

    def given_out(self, ref: config_data.VersionRef) -> None:
        """Count an answer of a version that is being rolled out."""
        if self._is_candidate(ref):
            self._given[ref] = self._given.get(ref, 0) + 1

    def answered(
        self,
        call: call_data.Call,
        ref: config_data.VersionRef,
        failed: bool,
        late: bool,
    ) -> None:
        """Take what became of an answer as evidence on its version."""
        self._add(
            rpc_data.VersionEvidence(
                version=ref,
                account_id=call.account.account_id,
                answers=1,
                errors=int(failed),
                late=int(late),
            )
        )

    def _is_candidate(self, ref: config_data.VersionRef) -> bool:
        view = self._link.known.view
        return any(
            (status.model, status.candidate) == ref
            and status.verdict is view_data.Verdict.RUNNING
            for status in view.rollouts
        )

    def _is_rolling(self, ref: config_data.VersionRef) -> bool:
        """Tell whether a version is candidate or incumbent of a roll-out."""
        view = self._link.known.view
        return any(
            declared.model == ref.model
            and ref.version in {declared.candidate, declared.incumbent}
            for declared in view.document.rollouts
        )

    def _add(self, one: rpc_data.VersionEvidence) -> None:
        if not self._is_rolling(one.version):
            return
        key = (one.version, one.account_id)
        known = self._tally.get(key)
        if known is None:
            self._tally[key] = one
            return
        self._tally[key] = known._replace(
            answers=known.answers + one.answers,
            errors=known.errors + one.errors,
            late=known.late + one.late,
            rated=known.rated + one.rated,
            rating_sum=known.rating_sum + one.rating_sum,
            low_ratings=known.low_ratings + one.low_ratings,
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_EVERY_S)
            await self._report()

    async def _report(self) -> None:
        """Send the evidence; the same report again until it is taken.

        The sequence number makes a report that was taken, but whose reply
        was lost, count once.
        """
        if self._pending is None:
            if not self._tally:
                return
            self._sequence += 1
            self._pending = rpc_data.EvidenceReport(
                self._entry, self._sequence, tuple(self._tally.values())
            )
            self._tally = {}
        try:
            await self._calls.call(methods.EVIDENCE, self._pending, REPORT_S)
        except rpc.RpcError as exc:
            logging.warning('event=evidence_report_failed error=%s', exc)
            return
        self._pending = None
