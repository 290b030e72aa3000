"""Roll-out policies: ours, and roll-outs by fixed steps as baselines."""

from dataclasses import dataclass, field

from beryllug.bench import rollout_world
from beryllug.core import (
    brake,
    config_data,
    evidence_book,
    rollout,
    view_data,
)

ALL_PERCENT = 100
NEW = 'v2'
OLD = 'v1'
LATE_RATE = 0.13
QUIET_S = 5
MODEL = 'desk'
NEW_REF = config_data.VersionRef(MODEL, NEW)
OLD_REF = config_data.VersionRef(MODEL, OLD)

Answer = rollout_world.Answer
Session = rollout_world.Session


@dataclass(slots=True)
class Sums:
    """What a baseline adds up of the candidate."""

    answers: int = 0
    errors: int = 0
    late: int = 0
    rated: int = 0
    rating_sum: float = 0.0

    def is_bad(self, declared: config_data.Rollout, late_rate: float) -> bool:
        """Tell whether a rate is over what was declared."""
        if (
            self.answers
            and self.errors > declared.max_error_rate * self.answers
        ):
            return True
        if self.answers and self.late > late_rate * self.answers:
            return True
        return (
            self.rated > 0
            and self.rating_sum < declared.min_rating * self.rated
        )


@dataclass(slots=True)
class FixedSteps:
    """Each stage lasts equally long; at its end the rates are looked at.

    Attributes:
        declared: The declared roll-out.
        dwell_s: How long a stage lasts.
        check_s: Time between two looks, at most a stage.
        least: Answers without which a look decides nothing.
        by_account: Whether each account is looked at as well.
    """

    declared: config_data.Rollout
    dwell_s: int
    check_s: int
    least: int = 1
    by_account: bool = False
    stage: int = 0
    stopped: bool = False
    sums: dict[str, Sums] = field(default_factory=dict)

    def takes(self, session: Session, tick: int) -> bool:
        """Tell whether the session is within the stage's share."""
        return not self.stopped and session.place < self.percent()

    def is_stopped(self) -> bool:
        """Tell whether a look found the candidate bad."""
        return self.stopped

    def percent(self) -> int:
        """Return the stage's share."""
        return self.declared.stages[self.stage]

    def is_out(self) -> bool:
        """Tell whether the last stage is reached."""
        return self.percent() == ALL_PERCENT

    def gave(self, session: Session) -> None:
        """Do nothing: nothing bounds what is given out."""

    def ended(self, answer: Answer, tick: int) -> None:
        """Add an answer of the candidate."""
        if answer.candidate:
            for sums in self._sums(answer):
                sums.answers += 1
                sums.errors += answer.failed
                sums.late += answer.late

    def rated(self, answer: Answer, tick: int) -> None:
        """Add a rating of the candidate."""
        if answer.candidate and answer.rating is not None:
            for sums in self._sums(answer):
                sums.rated += 1
                sums.rating_sum += answer.rating

    def end_tick(self, tick: int) -> None:
        """Look at the rates, and go on at the end of the stage."""
        passed = tick + 1
        if passed % self.check_s == 0:
            self._look()
        if passed % self.dwell_s == 0 and not self.is_out():
            self.stage += 1
            self.sums = {}

    def _sums(self, answer: Answer) -> list[Sums]:
        names = ['']
        if self.by_account:
            names.append(answer.session.account)
        return [self.sums.setdefault(name, Sums()) for name in names]

    def _look(self) -> None:
        self.stopped = self.stopped or any(
            sums.answers >= self.least and sums.is_bad(self.declared, LATE_RATE)
            for sums in self.sums.values()
        )


@dataclass(slots=True)
class Entry:
    """An entry process of ours: its brake and its book."""

    book: evidence_book.Book
    brake: brake.Brake


class ByEvidence:
    """Ours: the deciding functions of roll-outs, reported to each second."""

    def __init__(
        self, declared: config_data.Rollout, entries: int, accounts: int
    ) -> None:
        """Make the policy with fresh entry processes."""
        self.declared = declared
        self.record = rollout.begin(declared, accounts, None)
        self.entries = [
            Entry(evidence_book.Book(f'entry-{place}'), brake.Brake())
            for place in range(entries)
        ]

    def takes(self, session: Session, tick: int) -> bool:
        """Tell whether share, budget and brake allow the candidate."""
        match self.record.verdict:
            case view_data.Verdict.STOPPED:
                return False
            case view_data.Verdict.PROMOTED:
                return not brake.is_held(
                    self.entries[session.entry].brake, tick
                )
        left = brake.remaining(self.entries[session.entry].brake, tick)
        return session.place < self.record.percent and left > 0

    def is_stopped(self) -> bool:
        """Tell whether the verdict fell."""
        return self.record.verdict is view_data.Verdict.STOPPED

    def percent(self) -> int:
        """Return the stage's share."""
        return self.record.percent

    def is_out(self) -> bool:
        """Tell whether the candidate was promoted."""
        return self.record.verdict is view_data.Verdict.PROMOTED

    def gave(self, session: Session) -> None:
        """Count it against the entry's share."""
        brake.give(self.entries[session.entry].brake)

    def ended(self, answer: Answer, tick: int) -> None:
        """Count it in the entry's book."""
        entry = self.entries[answer.session.entry]
        evidence_book.end(
            entry.book,
            _subject(answer),
            evidence_book.Answer(answer.failed, answer.late, answer.crashed),
        )
        if answer.candidate:
            brake.end(entry.brake, _outcome(answer), tick)
        if answer.rating is None and not answer.failed:
            evidence_book.skip_rating(entry.book, _subject(answer))

    def rated(self, answer: Answer, tick: int) -> None:
        """Count the rating in the entry's book, or that it was given up."""
        book = self.entries[answer.session.entry].book
        if answer.rating is None:
            evidence_book.skip_rating(book, _subject(answer))
            return
        evidence_book.rate(
            book, _subject(answer), answer.rating, self.declared.min_rating
        )

    def end_tick(self, tick: int) -> None:
        """Report, decide and deal."""
        for entry in self.entries:
            if entry.book.counts or tick % QUIET_S == 0:
                self._report(entry, tick)
        decision = rollout.decide(self.record, self.declared)
        self.record = rollout.carry_out(self.record, self.declared, decision)
        self.record = rollout.deal(self.record, self.declared, tick)
        for entry in self.entries:
            share = self.record.exposure.shares[entry.book.entry]
            brake.deal(entry.brake, share.dealt)

    def _report(self, entry: Entry, tick: int) -> None:
        braked = (NEW_REF,) if brake.is_held(entry.brake, tick) else ()
        report = evidence_book.report(entry.book, braked)
        self.record = rollout.absorb(self.record, self.declared, report, tick)
        evidence_book.acknowledge(entry.book, report.sequence)


def _subject(answer: Answer) -> evidence_book.Subject:
    ref = NEW_REF if answer.candidate else OLD_REF
    return evidence_book.Subject(ref, answer.session.account)


def _outcome(answer: Answer) -> brake.Outcome:
    if answer.crashed:
        return brake.Outcome.CRASHED
    return brake.Outcome.FAILED if answer.failed else brake.Outcome.GOOD
