"""Evidence-based roll-outs, and fixed-step roll-outs as baselines."""

from dataclasses import dataclass, field

from beryllug.bench import rollout_simulation
from beryllug.core import (
    circuit_breaker,
    config_data,
    evidence_book,
    rollout,
    view_data,
)

ALL_PERCENT = 100
NEW = 'v2'
OLD = 'v1'
MAX_LATE_RATE = 0.13
IDLE_REPORT_S = 5
MODEL = 'desk'
NEW_REF = config_data.VersionRef(MODEL, NEW)
OLD_REF = config_data.VersionRef(MODEL, OLD)

Answer = rollout_simulation.Answer
Session = rollout_simulation.Session


@dataclass(slots=True)
class Totals:
    """Totals of the candidate's answers, for the baselines."""

    answers: int = 0
    errors: int = 0
    late: int = 0
    rated: int = 0
    rating_total: float = 0.0

    def is_bad(self, declared: config_data.Rollout, late_rate: float) -> bool:
        """Tell whether a rate violates its limit."""
        if (
            self.answers
            and self.errors > declared.max_error_rate * self.answers
        ):
            return True
        if self.answers and self.late > late_rate * self.answers:
            return True
        return (
            self.rated > 0
            and self.rating_total < declared.min_rating * self.rated
        )


@dataclass(slots=True)
class FixedSteps:
    """Stages of equal length with periodic checks of the rates.

    Attributes:
        declared: The declared roll-out.
        dwell_s: How long a stage lasts.
        check_s: Time between two checks, at most the length of a stage.
        min_answers: Fewest answers for which a check counts.
        by_account: Whether each account is checked as well.
    """

    declared: config_data.Rollout
    dwell_s: int
    check_s: int
    min_answers: int = 1
    by_account: bool = False
    stage: int = 0
    stopped: bool = False
    totals: dict[str, Totals] = field(default_factory=dict)

    def accepts_session(self, session: Session, tick: int) -> bool:
        """Tell whether the session is within the share of the stage."""
        return not self.stopped and session.percentile < self.percent()

    def is_stopped(self) -> bool:
        """Tell whether a check stopped the candidate."""
        return self.stopped

    def percent(self) -> int:
        """Return the share of the current stage, in percent."""
        return self.declared.stages[self.stage]

    def is_complete(self) -> bool:
        """Tell whether the last stage is reached."""
        return self.percent() == ALL_PERCENT

    def candidate_asked(self, session: Session) -> None:
        """Do nothing; fixed steps have no exposure budget."""

    def ended(self, answer: Answer, tick: int) -> None:
        """Add an answer of the candidate."""
        if answer.candidate:
            for totals in self._totals_of(answer):
                totals.answers += 1
                totals.errors += answer.failed
                totals.late += answer.late

    def rated(self, answer: Answer, tick: int) -> None:
        """Add a rating of the candidate."""
        if answer.candidate and answer.rating is not None:
            for totals in self._totals_of(answer):
                totals.rated += 1
                totals.rating_total += answer.rating

    def end_tick(self, tick: int) -> None:
        """Check the rates when due, and advance at the end of a stage."""
        elapsed_s = tick + 1
        if elapsed_s % self.check_s == 0:
            self._check_rates()
        if elapsed_s % self.dwell_s == 0 and not self.is_complete():
            self.stage += 1
            self.totals = {}

    def _totals_of(self, answer: Answer) -> list[Totals]:
        names = ['']
        if self.by_account:
            names.append(answer.session.account)
        return [self.totals.setdefault(name, Totals()) for name in names]

    def _check_rates(self) -> None:
        self.stopped = self.stopped or any(
            totals.answers >= self.min_answers
            and totals.is_bad(self.declared, MAX_LATE_RATE)
            for totals in self.totals.values()
        )


@dataclass(slots=True)
class Entry:
    """Roll-out state of one entry process: its brake and evidence."""

    book: evidence_book.EvidenceBuffer
    brake: circuit_breaker.CircuitBreaker


class EvidenceBased:
    """The roll-out decision functions, with reports every second."""

    def __init__(
        self, declared: config_data.Rollout, entries: int, accounts: int
    ) -> None:
        """Make the policy with fresh entry processes."""
        self.declared = declared
        self.record = rollout.begin(declared, accounts, None)
        self.entries = [
            Entry(
                evidence_book.EvidenceBuffer(f'entry-{number}'),
                circuit_breaker.CircuitBreaker(),
            )
            for number in range(entries)
        ]

    def accepts_session(self, session: Session, tick: int) -> bool:
        """Tell whether share, budget and brake admit the session."""
        match self.record.verdict:
            case view_data.Verdict.STOPPED:
                return False
            case view_data.Verdict.PROMOTED:
                return not circuit_breaker.is_blocked(
                    self.entries[session.entry].brake, tick
                )
        left = circuit_breaker.remaining(
            self.entries[session.entry].brake, tick
        )
        return session.percentile < self.record.percent and left > 0

    def is_stopped(self) -> bool:
        """Tell whether the candidate was stopped."""
        return self.record.verdict is view_data.Verdict.STOPPED

    def percent(self) -> int:
        """Return the share of the current stage, in percent."""
        return self.record.percent

    def is_complete(self) -> bool:
        """Tell whether the candidate was promoted."""
        return self.record.verdict is view_data.Verdict.PROMOTED

    def candidate_asked(self, session: Session) -> None:
        """Count a request against the exposure budget of its entry."""
        circuit_breaker.record_dispatch(self.entries[session.entry].brake)

    def ended(self, answer: Answer, tick: int) -> None:
        """Record an answer as evidence of its entry."""
        entry = self.entries[answer.session.entry]
        evidence_book.end(
            entry.book,
            _subject(answer),
            evidence_book.Answer(answer.failed, answer.late, answer.crashed),
        )
        if answer.candidate:
            circuit_breaker.record_outcome(entry.brake, _outcome(answer), tick)
        if answer.rating is None and not answer.failed:
            evidence_book.skip_rating(entry.book, _subject(answer))

    def rated(self, answer: Answer, tick: int) -> None:
        """Record a rating as evidence of its entry, or that none will come."""
        book = self.entries[answer.session.entry].book
        if answer.rating is None:
            evidence_book.skip_rating(book, _subject(answer))
            return
        evidence_book.rate(
            book, _subject(answer), answer.rating, self.declared.min_rating
        )

    def end_tick(self, tick: int) -> None:
        """Report evidence, decide, and distribute the exposure budget."""
        for entry in self.entries:
            if entry.book.counts or tick % IDLE_REPORT_S == 0:
                self._report(entry, tick)
        decision = rollout.decide(self.record, self.declared)
        self.record = rollout.apply_decision(
            self.record, self.declared, decision
        )
        self.record = rollout.allocate(self.record, self.declared, tick)
        for entry in self.entries:
            share = self.record.exposure.shares[entry.book.entry]
            circuit_breaker.raise_total(entry.brake, share.dealt)

    def _report(self, entry: Entry, tick: int) -> None:
        braked = (
            (NEW_REF,) if circuit_breaker.is_blocked(entry.brake, tick) else ()
        )
        report = evidence_book.report(entry.book, braked)
        self.record = rollout.include_report(
            self.record, self.declared, report, tick
        )
        evidence_book.acknowledge(entry.book, report.sequence)


def _subject(answer: Answer) -> evidence_book.Subject:
    ref = NEW_REF if answer.candidate else OLD_REF
    return evidence_book.Subject(ref, answer.session.account)


def _outcome(answer: Answer) -> circuit_breaker.Outcome:
    if answer.crashed:
        return circuit_breaker.Outcome.CRASHED
    return (
        circuit_breaker.Outcome.FAILED
        if answer.failed
        else circuit_breaker.Outcome.GOOD
    )
