"""Admission of calls to a version and its pool."""

from typing import NamedTuple

from beryllug.core import evidence_book, limits, refusal, versions
from beryllug.drivers import http_server
from beryllug.entry import (
    intent_reply,
    call_data,
    chat_data,
    flow_dependencies,
    attempt_observer,
    recovery,
    replays,
)


class AdmittedTurn(NamedTuple):
    """A turn and its admission ticket, which must be released after it."""

    turn: chat_data.Turn
    ticket: limits.Ticket


class TurnAdmission:
    """Admits calls to the versions of a stage."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps
        self._recovery = recovery.Recovery(deps)

    def admit_turn(
        self,
        call: call_data.Call,
        session: versions.Session,
        stage: versions.Stage,
    ) -> AdmittedTurn:
        """Admit a call to the first version of a stage that has room.

        Raises:
            RefusedError: No version has room; the call is not run.
        """
        refused = refusal.RefusedError(
            refusal.Refusal(refusal.Code.NO_SERVER, 'no version to run on')
        )
        for version in stage.versions:
            name = chat_data.name_of(version.ref)
            try:
                ticket = self._deps.admission.admit(call, version.pool, name)
            except refusal.RefusedError as exc:
                refused = exc
                continue
            subject = evidence_book.Subject(
                version.ref, call.account.account_id
            )
            observer = attempt_observer.VersionObserver(
                self._deps.exposure, subject
            )
            turn = chat_data.Turn(
                call, session, version, stage.pin_broken, observer
            )
            if stage.pin_broken:
                self._record_session_move(call, session)
            return AdmittedTurn(turn, ticket)
        raise refused

    def release_ticket(self, admitted: AdmittedTurn) -> None:
        """Release the admission ticket of a turn."""
        self._deps.admission.release(admitted.ticket)

    async def may_run(
        self, turn: chat_data.Turn, exchange: http_server.Exchange
    ) -> bool:
        """Return whether a call may run now.

        A non-repeatable call needs the permission of the journal. If it may
        not run, the answer of its first try has been sent.

        Raises:
            RefusedError: It may not run, and there is no stored answer.
        """
        if turn.call.facts.repeatable:
            return True
        note = chat_data.name_of(turn.version.ref)
        match await self._deps.bills.begin(turn.call, note):
            case intent_reply.MayRun():
                return True
            case intent_reply.Finished(row=row):
                await replays.replay_first(self._deps.answers, row, exchange)
            case intent_reply.Unfinished(request_id=first_id, refused=refused):
                await self._recover(turn.call, first_id, refused, exchange)
        return False

    async def _recover(
        self,
        call: call_data.Call,
        first_id: str,
        refused: refusal.Refusal,
        exchange: http_server.Exchange,
    ) -> None:
        """Send the answer of a first try from the engine that runs it."""
        found = await self._recovery.find(
            call.account.account_id, first_id, call.deadline
        )
        if found is None:
            raise refusal.RefusedError(refused)
        await replays.replay_first(self._deps.answers, found, exchange)

    def _record_session_move(
        self, call: call_data.Call, session: versions.Session
    ) -> None:
        for pin in session.pins:
            subject = evidence_book.Subject(pin, call.account.account_id)
            self._deps.exposure.moved(subject)
