"""Records about the choice of a cascade's stage.

Quality here is the share of answers that are *good*: whose true rating is at
least the cascade's `min_rating`. A rating that arrives is a noisy reading of
the true one.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data

BINS = 20


class Offer(NamedTuple):
    """What one stage would take.

    Attributes:
        model: Model of the stage.
        cost: Expected cost of an answer, in millionths of the currency.
        first_token_s: Expected seconds to its first token.
        whole_s: Expected seconds to its end.
        open: Whether its pool takes another request now.
    """

    model: str
    cost: float
    first_token_s: float
    whole_s: float
    open: bool = True


class Question(NamedTuple):
    """One request to a cascade, at the moment of a decision.

    Attributes:
        account_id: The client account.
        kind: Kind of request that quality is learnt for.
        cascade: The declared cascade.
        offers: The stages that may run it, cheapest first.
        first_token_left_s: Seconds until the first token is owed.
        whole_left_s: Seconds until the whole answer is owed.
    """

    account_id: str
    kind: str
    cascade: config_data.Cascade
    offers: tuple[Offer, ...]
    first_token_left_s: float
    whole_left_s: float


class Answer(NamedTuple):
    """A whole answer that was not given out yet.

    Attributes:
        stage: Index into the offers.
        rating: Its rating, or None when none came in time; the mean of them
            when it was rated more than once.
        ratings: How many ratings that is.
    """

    stage: int
    rating: float | None
    ratings: int = 1


class Given(NamedTuple):
    """An answer that was given out, with what decided it.

    Attributes:
        question: The question as it stood.
        answer: The answer.
        escalated: Whether an earlier stage was passed over for it.
    """

    question: Question
    answer: Answer
    escalated: bool


class Sample(StrEnum):
    """Why an answer that was given out is rated afterwards.

    LEARN is drawn where little is known and says nothing of the whole; AUDIT
    is drawn from all answers alike, so that their share of good ones shows
    how the choices turn out and not how they were meant.
    """

    NONE = 'none'
    LEARN = 'learn'
    AUDIT = 'audit'


class Begin(NamedTuple):
    """Run a stage.

    Attributes:
        stage: Index into the offers.
        checked: Whether its answer is rated before it is given out; else it
            is streamed to the caller as it comes.
    """

    stage: int
    checked: bool


class RateAgain(NamedTuple):
    """Have the answer of a stage rated once more before deciding."""

    stage: int


class GiveOut(NamedTuple):
    """Give out the answer of a stage that already ran."""

    stage: int


@dataclass(frozen=True, slots=True)
class Learnt:
    """Least expected cost that holds the quality target.

    Attributes:
        caution: Standard errors by which an unchecked stage's chance of a
            good answer is lowered.
        blind_caution: The same while there are no ratings.
        most_ratings: Ratings that one answer may be given while its caller
            waits. In doubt a second one costs less than a second answer.
        audit_part: Part of the answers given out that are audited.
        learn_first: Weight of the ratings of a place up to which more of its
            unchecked answers are rated; without them the last stage would
            stay what was declared.
    """

    caution: float = 0.0
    blind_caution: float = 1.5
    most_ratings: int = 1
    audit_part: float = 0.1
    learn_first: float = 10.0


@dataclass(frozen=True, slots=True)
class FixedThreshold:
    """Cheap first, given out from a fixed rating on: a baseline."""

    threshold: float


@dataclass(frozen=True, slots=True)
class AlwaysStrong:
    """The last stage for everything: a baseline."""


@dataclass(frozen=True, slots=True)
class AlwaysCheap:
    """The first stage for everything: a baseline."""


Decision = GiveOut | Begin | RateAgain
CascadePolicy = Learnt | FixedThreshold | AlwaysStrong | AlwaysCheap


class CellKey(NamedTuple):
    """What a distribution of ratings is kept for.

    Attributes:
        model: Model of the stage.
        escalated: Whether an earlier stage's answer was passed over, which
            is done for the harder requests.
        kind: Kind of request, or empty for all.
        account_id: The client account, or empty for all.
    """

    model: str
    escalated: bool
    kind: str = ''
    account_id: str = ''


class Known(NamedTuple):
    """What was worked out from a cell and the wider one.

    Attributes:
        counts: Counts of both cells at that time.
        mass: Part of the answers in each bin.
        weight: How many ratings that rests on.
    """

    counts: tuple[int, int]
    mass: Sequence[float]
    weight: float


@dataclass(slots=True)
class Cell:
    """Ratings of one place.

    Attributes:
        count: How many there were.
        weight: How many there were, older ones counting less.
        mass: What they say of each bin of the true rating.
        known: What was last worked out from it and the wider cell.
    """

    count: int = 0
    weight: float = 0.0
    mass: list[float] = field(
        default_factory=lambda: [0.0 for _ in range(BINS)]
    )
    known: Known | None = None


@dataclass(slots=True)
class Judge:
    """What this process knows of the rating service.

    Attributes:
        delay_s: Smoothed seconds until a rating comes.
        deviation_s: Smoothed deviation of these.
        failures: Ratings in a row that failed or came too late.
        asked_again_at: While it counts as gone, when it is tried again.
        noise: Smoothed squared difference of two ratings of one answer.
        excess: Smoothed rating of answers known to be wrong, by model.
    """

    delay_s: float = 0.3
    deviation_s: float = 0.1
    failures: int = 0
    asked_again_at: float = 0.0
    noise: float = 0.0
    excess: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Ledger:
    """How the answers of one cascade stand to the target.

    Attributes:
        price: Logarithm of what a good answer is worth, in mean costs of the
            last stage.
        unit: That mean cost. One for all kinds of request, since the target
            counts each answer once: short answers are checked more closely
            than long ones, whose second try costs more.
        answers: Answers given out.
        meant: Smoothed chance of these of being good.
        audit: True ratings of those that were audited.
        audit_meant: Sum of the chances of those, older ones counting less.
    """

    price: float = 1.2
    unit: float = 0.0
    answers: int = 0
    meant: float = 0.0
    audit: Cell = field(default_factory=Cell)
    audit_meant: float = 0.0


@dataclass(slots=True)
class CascadeState:
    """All that one process learnt; only its routing service changes it."""

    cells: dict[CellKey, Cell] = field(default_factory=dict)
    ledgers: dict[str, Ledger] = field(default_factory=dict)
    judge: Judge = field(default_factory=Judge)
