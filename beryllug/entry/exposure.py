"""Exposure to new versions: answers given out, and the evidence of them.

Control deals each entry a number of a candidate's answers that it may give
out in all. What becomes of the answers goes back as evidence, with ratings of
the candidate's answers and of a sample of the incumbent's beside them.
"""

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Any

from absl import logging

from beryllug.core import (
    brake,
    config_data,
    evidence_book,
    view_merge,
)
from beryllug.drivers import methods, rating, rpc
from beryllug.parsing import chat_answer
from beryllug.entry import control_calls, control_link, ratings

REPORT_EVERY_S = 0.25
REPORT_S = 3.0
QUIET_S = 5.0
RATED_SHARE = 0.25

Roles = dict[config_data.VersionRef, config_data.Rollout]


class Exposure:
    """Service 'exposure' of an entry process."""

    def __init__(
        self,
        boot: str,
        calls: control_calls.ControlCalls,
        link: control_link.ControlLink,
        rated: ratings.Ratings,
    ) -> None:
        """Make the service.

        Args:
            boot: Name of this process and of its start.
            calls: Calls to control processes.
            link: The view to follow.
            rated: Has answers rated.
        """
        self._calls = calls
        self._ratings = rated
        self._book = evidence_book.Book(boot)
        self._brakes: dict[config_data.VersionRef, brake.Brake] = {}
        self._rolling: Roles = {}
        self._document = link.known.view.document
        self._task: asyncio.Task[None] | None = None
        self._reported_at = float('-inf')
        self._rng = random.Random(boot)
        link.listen(self._take_view)

    async def start(self) -> None:
        """Start reporting."""
        self._task = asyncio.create_task(self._run())

    async def stop(self, grace_s: float) -> None:
        """Report what is left, then stop."""
        if self._task is not None:
            self._task.cancel()
        await self._report()

    def dump(self) -> dict[str, Any]:
        """Return the brakes and what is unreported."""
        now = time.monotonic()
        brakes = {
            _name(ref): {
                'total': state.total,
                'given': state.given,
                'open': state.open,
                'held': brake.is_held(state, now),
            }
            for ref, state in self._brakes.items()
        }
        return {
            'brakes': brakes,
            'sequence': self._book.sequence,
            'unreported': len(self._book.counts),
        }

    def budgets(self) -> Mapping[config_data.VersionRef, int]:
        """Return answers of each candidate that may still be given out."""
        now = time.monotonic()
        return {
            ref: brake.remaining(state, now)
            for ref, state in self._brakes.items()
        }

    def begin(self, subject: evidence_book.Subject) -> None:
        """Count a dispatch."""
        if subject.version in self._rolling:
            evidence_book.start(self._book, subject)
        state = self._brakes.get(subject.version)
        if state is not None:
            brake.give(state)

    def end(
        self, subject: evidence_book.Subject, answer: evidence_book.Answer
    ) -> None:
        """Take in how a dispatch ended; each `begin` has one `end`."""
        if subject.version in self._rolling:
            evidence_book.end(self._book, subject, answer)
        outcome = _outcome(answer)
        state = self._brakes.get(subject.version)
        if state is None:
            return
        if brake.end(state, outcome, time.monotonic()):
            logging.warning(
                'event=brake version=%s outcome=%s',
                _name(subject.version),
                outcome.value,
            )

    def drop(self, subject: evidence_book.Subject) -> None:
        """End a dispatch that says nothing of its version."""
        if subject.version in self._rolling:
            evidence_book.drop(self._book, subject)
        state = self._brakes.get(subject.version)
        if state is not None:
            state.open = max(0, state.open - 1)

    def moved(self, subject: evidence_book.Subject) -> None:
        """Count a session that had to leave its version."""
        if subject.version in self._rolling:
            evidence_book.move(self._book, subject)

    def wants_text(self, ref: config_data.VersionRef) -> bool:
        """Tell whether answers of a version may have to be rated."""
        return ref in self._rolling

    def rate(
        self, subject: evidence_book.Subject, request_id: str, answer: bytes
    ) -> None:
        """Have an answer rated in the background, if it is one to rate.

        All answers of a candidate are, and a share of the incumbent's: the
        candidate is compared with what is rated at the same time.
        """
        declared = self._rolling.get(subject.version)
        if declared is None:
            return
        is_candidate = subject.version.version == declared.candidate
        wanted = is_candidate or self._rng.random() < RATED_SHARE
        ask = rating.RatingAsk(
            request_id, subject.version, chat_answer.text_of(answer)
        )

        def take(rated: float | None) -> None:  # noqa: WPS430
            if rated is None:
                evidence_book.skip_rating(self._book, subject)
            else:
                evidence_book.rate(
                    self._book, subject, rated, declared.min_rating
                )

        if not wanted or not self._ratings.submit(ask, take):
            take(None)

    def _take_view(self, known: view_merge.Known) -> None:
        for share in known.budgets:
            state = self._brakes.setdefault(share.version, brake.Brake())
            brake.deal(state, share.total)
        if known.view.document is not self._document:
            self._document = known.view.document
            self._rolling = _rolling(self._document)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_EVERY_S)
            await self._report()

    async def _report(self) -> None:
        if not self._has_news(time.monotonic()):
            return
        now = time.monotonic()
        braked = tuple(
            ref
            for ref, state in self._brakes.items()
            if brake.is_held(state, now)
        )
        report = evidence_book.report(self._book, braked)
        try:
            reply = await self._calls.call(methods.EVIDENCE, report, REPORT_S)
        except rpc.RpcError as exc:
            logging.warning('event=evidence_report_failed error=%s', exc)
            return
        if not reply.ok:
            return
        evidence_book.acknowledge(self._book, report.sequence)
        self._reported_at = now

    def _has_news(self, now: float) -> bool:
        """Tell whether to report; a quiet entry does so now and then.

        An entry that is not heard of is dealt no share, and without a share
        it never has an answer to report.
        """
        book = self._book
        quiet = now - self._reported_at < QUIET_S
        if not self._rolling:
            return bool(book.pending)
        return bool(book.counts or book.running or book.pending) or not quiet


def _rolling(document: config_data.Document) -> Roles:
    """Return the roll-out of each version that takes part in one."""
    return {
        config_data.VersionRef(declared.model, version): declared
        for declared in document.rollouts
        for version in (declared.incumbent, declared.candidate)
    }


def _outcome(answer: evidence_book.Answer) -> brake.Outcome:
    if answer.crashed:
        return brake.Outcome.CRASHED
    return brake.Outcome.FAILED if answer.failed else brake.Outcome.GOOD


def _name(ref: config_data.VersionRef) -> str:
    return f'{ref.model}@{ref.version}'
