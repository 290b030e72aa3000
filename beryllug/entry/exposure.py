"""Exposure of clients to new versions, and the evidence collected from it.

Control allocates to each entry a total number of answers of a candidate that
it may return. Their results are reported back as evidence, with ratings of
the candidate's answers and of a sample of the incumbent's.
"""

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Any

from absl import logging

from beryllug.core import (
    circuit_breaker,
    config_data,
    evidence_book,
    view_merge,
)
from beryllug.drivers import methods, rating, rpc
from beryllug.parsing import chat_response
from beryllug.entry import control_calls, control_link, ratings

REPORT_INTERVAL_S = 0.25
REPORT_TIMEOUT_S = 3.0
MAX_REPORT_GAP_S = 5.0
INCUMBENT_RATED_SHARE = 0.25

RolloutsByVersion = dict[config_data.VersionRef, config_data.Rollout]


class Exposure:
    """Service 'exposure' of an entry process."""

    def __init__(
        self,
        boot: str,
        calls: control_calls.ControlCalls,
        link: control_link.ControlLink,
        rated: ratings.Ratings,
    ) -> None:
        """Initialize the service.

        Args:
            boot: Id of this run of the process.
            calls: Calls to control processes.
            link: Source of view updates.
            rated: Rates answers in the background.
        """
        self._calls = calls
        self._ratings = rated
        self._evidence = evidence_book.EvidenceBuffer(boot)
        self._breakers: dict[
            config_data.VersionRef, circuit_breaker.CircuitBreaker
        ] = {}
        self._rollouts_by_version: RolloutsByVersion = {}
        self._document = link.known.view.document
        self._task: asyncio.Task[None] | None = None
        self._reported_at = float('-inf')
        self._rng = random.Random(boot)
        link.subscribe(self._on_view)

    async def start(self) -> None:
        """Start reporting."""
        self._task = asyncio.create_task(self._report_loop())

    async def stop(self, grace_s: float) -> None:
        """Send a last report, then stop."""
        if self._task is not None:
            self._task.cancel()
        await self._report()

    def dump(self) -> dict[str, Any]:
        """Return the circuit breakers and the number of unreported counts."""
        now = time.monotonic()
        breakers = {
            _version_name(ref): {
                'total': state.total,
                'given': state.given,
                'open': state.open,
                'held': circuit_breaker.is_blocked(state, now),
            }
            for ref, state in self._breakers.items()
        }
        return {
            'brakes': breakers,
            'sequence': self._evidence.sequence,
            'unreported': len(self._evidence.counts),
        }

    def budgets(self) -> Mapping[config_data.VersionRef, int]:
        """Return the remaining number of answers of each candidate."""
        now = time.monotonic()
        return {
            ref: circuit_breaker.remaining(state, now)
            for ref, state in self._breakers.items()
        }

    def begin(self, subject: evidence_book.Subject) -> None:
        """Count a dispatch."""
        if subject.version in self._rollouts_by_version:
            evidence_book.start(self._evidence, subject)
        state = self._breakers.get(subject.version)
        if state is not None:
            circuit_breaker.record_dispatch(state)

    def end(
        self, subject: evidence_book.Subject, answer: evidence_book.Answer
    ) -> None:
        """Record the result of a dispatch, once for each `begin`."""
        if subject.version in self._rollouts_by_version:
            evidence_book.end(self._evidence, subject, answer)
        outcome = _outcome(answer)
        state = self._breakers.get(subject.version)
        if state is None:
            return
        if circuit_breaker.record_outcome(state, outcome, time.monotonic()):
            logging.warning(
                'event=brake version=%s outcome=%s',
                _version_name(subject.version),
                outcome.value,
            )

    def drop(self, subject: evidence_book.Subject) -> None:
        """End a dispatch without evidence on its version."""
        if subject.version in self._rollouts_by_version:
            evidence_book.drop(self._evidence, subject)
        state = self._breakers.get(subject.version)
        if state is not None:
            state.open = max(0, state.open - 1)

    def moved(self, subject: evidence_book.Subject) -> None:
        """Count a session that had to leave its pinned version."""
        if subject.version in self._rollouts_by_version:
            evidence_book.move(self._evidence, subject)

    def needs_answer_text(self, ref: config_data.VersionRef) -> bool:
        """Return whether answers of a version may have to be rated."""
        return ref in self._rollouts_by_version

    def rate(
        self, subject: evidence_book.Subject, request_id: str, answer: bytes
    ) -> None:
        """Rate an answer in the background if it is in the sample.

        All answers of a candidate are rated, and a share of the incumbent's,
        so that the comparison uses ratings of the same period.
        """
        rollout = self._rollouts_by_version.get(subject.version)
        if rollout is None:
            return
        is_candidate = subject.version.version == rollout.candidate
        wanted = is_candidate or self._rng.random() < INCUMBENT_RATED_SHARE
        request = rating.RatingRequest(
            request_id, subject.version, chat_response.extract_text(answer)
        )

        def record(rated: float | None) -> None:  # noqa: WPS430
            if rated is None:
                evidence_book.skip_rating(self._evidence, subject)
            else:
                evidence_book.rate(
                    self._evidence, subject, rated, rollout.min_rating
                )

        if not wanted or not self._ratings.submit(request, record):
            record(None)

    def _on_view(self, known: view_merge.EntryState) -> None:
        for share in known.budgets:
            state = self._breakers.setdefault(
                share.version, circuit_breaker.CircuitBreaker()
            )
            circuit_breaker.raise_total(state, share.total)
        if known.view.document is not self._document:
            self._document = known.view.document
            self._rollouts_by_version = _rollouts_by_version(self._document)

    async def _report_loop(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self._report()

    async def _report(self) -> None:
        if not self._is_report_due(time.monotonic()):
            return
        now = time.monotonic()
        blocked_versions = tuple(
            ref
            for ref, state in self._breakers.items()
            if circuit_breaker.is_blocked(state, now)
        )
        report = evidence_book.report(self._evidence, blocked_versions)
        try:
            reply = await self._calls.call(
                methods.EVIDENCE, report, REPORT_TIMEOUT_S
            )
        except rpc.RpcError as exc:
            logging.warning('event=evidence_report_failed error=%s', exc)
            return
        if not reply.ok:
            return
        evidence_book.acknowledge(self._evidence, report.sequence)
        self._reported_at = now

    def _is_report_due(self, now: float) -> bool:
        """Return whether to report; an idle entry does so at intervals.

        An entry that does not report is allocated no share of the budget,
        and without a share it never has an answer to report.
        """
        evidence = self._evidence
        recently_reported = now - self._reported_at < MAX_REPORT_GAP_S
        if not self._rollouts_by_version:
            return bool(evidence.pending)
        return (
            bool(evidence.counts or evidence.running or evidence.pending)
            or not recently_reported
        )


def _rollouts_by_version(document: config_data.Document) -> RolloutsByVersion:
    """Return the roll-out of each version that is part of one."""
    return {
        config_data.VersionRef(rollout.model, version): rollout
        for rollout in document.rollouts
        for version in (rollout.incumbent, rollout.candidate)
    }


def _outcome(answer: evidence_book.Answer) -> circuit_breaker.Outcome:
    if answer.crashed:
        return circuit_breaker.Outcome.CRASHED
    return (
        circuit_breaker.Outcome.FAILED
        if answer.failed
        else circuit_breaker.Outcome.GOOD
    )


def _version_name(ref: config_data.VersionRef) -> str:
    return f'{ref.model}@{ref.version}'
