"""Data types of the stage selection in a cascade.

Quality is the share of *good* answers: those whose true rating is at least
the cascade's `min_rating`. A received rating is a noisy measurement of the
true rating.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data

BINS = 20


class Offer(NamedTuple):
    """The expected cost and duration of one stage.

    Attributes:
        model: Model of the stage.
        cost: Expected cost of an answer, in millionths of the currency.
        first_token_s: Expected seconds to its first token.
        whole_s: Expected seconds to its end.
        open: Whether its pool accepts another request now.
    """

    model: str
    cost: float
    first_token_s: float
    whole_s: float
    open: bool = True


class CascadeRequest(NamedTuple):
    """One request to a cascade, at the time of a decision.

    Attributes:
        account_id: The client account.
        kind: Kind of request that quality is learnt for.
        cascade: The declared cascade.
        offers: The stages that may run it, cheapest first.
        first_token_left_s: Seconds until the first token is due.
        whole_left_s: Seconds until the whole answer is due.
    """

    account_id: str
    kind: str
    cascade: config_data.Cascade
    offers: tuple[Offer, ...]
    first_token_left_s: float
    whole_left_s: float


class Answer(NamedTuple):
    """A complete answer that was not returned yet.

    Attributes:
        stage: Index into the offers.
        rating: Its rating, or the mean if it was rated more than once; None
            if no rating arrived in time.
        ratings: Number of ratings in `rating`.
    """

    stage: int
    rating: float | None
    ratings: int = 1


class CompletedAnswer(NamedTuple):
    """An answer that was returned, with the request it belongs to.

    Attributes:
        question: The request at the time of the decision.
        answer: The answer.
        escalated: Whether the answer of an earlier stage was rejected.
    """

    question: CascadeRequest
    answer: Answer
    escalated: bool


class Sample(StrEnum):
    """Why an answer is rated after it was returned.

    LEARN samples are drawn where few ratings are known, so they are not
    representative. AUDIT samples are drawn uniformly from all answers, so
    their share of good ones measures the actual quality and not the predicted
    one.
    """

    NONE = 'none'
    LEARN = 'learn'
    AUDIT = 'audit'


class Begin(NamedTuple):
    """Run a stage.

    Attributes:
        stage: Index into the offers.
        checked: Whether its answer is rated before it is returned; otherwise
            it is streamed to the caller as it is generated.
    """

    stage: int
    checked: bool


class RateAgain(NamedTuple):
    """Request another rating of a stage's answer before deciding."""

    stage: int


class ReturnAnswer(NamedTuple):
    """Return the answer of a stage that already ran."""

    stage: int


@dataclass(frozen=True, slots=True)
class LearntPolicy:
    """Minimizes the expected cost at the quality target.

    Attributes:
        confidence_z: Standard errors by which an unchecked stage's
            probability of a good answer is lowered.
        unrated_confidence_z: The same while there are no ratings.
        most_ratings: Maximum ratings of one answer while its caller waits.
            Near the decision boundary a second rating costs less than a
            second answer.
        audit_fraction: Fraction of the returned answers that are audited.
        learning_weight: Weight of the ratings of a stage and kind of request
            below which more of its unchecked answers are rated. Without these
            the estimate of the last stage would stay at its prior.
    """

    confidence_z: float = 0.0
    unrated_confidence_z: float = 1.5
    most_ratings: int = 1
    audit_fraction: float = 0.1
    learning_weight: float = 10.0


@dataclass(frozen=True, slots=True)
class FixedThreshold:
    """First stage, escalated below a fixed rating: a baseline."""

    threshold: float


@dataclass(frozen=True, slots=True)
class AlwaysStrong:
    """The last stage for all requests: a baseline."""


@dataclass(frozen=True, slots=True)
class AlwaysCheap:
    """The first stage for all requests: a baseline."""


Decision = ReturnAnswer | Begin | RateAgain
CascadePolicy = LearntPolicy | FixedThreshold | AlwaysStrong | AlwaysCheap


class CellKey(NamedTuple):
    """Key of a learnt distribution of ratings.

    Attributes:
        model: Model of the stage.
        escalated: Whether an earlier stage's answer was rejected, which
            happens for the harder requests.
        kind: Kind of request, or empty for all.
        account_id: The client account, or empty for all.
    """

    model: str
    escalated: bool
    kind: str = ''
    account_id: str = ''


class CachedEstimate(NamedTuple):
    """Cached combination of an account's cell and its parent cell.

    Attributes:
        counts: Counts of both cells when it was computed.
        mass: Fraction of the answers in each bin.
        weight: Number of ratings behind it.
    """

    counts: tuple[int, int]
    mass: Sequence[float]
    weight: float


@dataclass(slots=True)
class Cell:
    """Histogram of the true ratings for one key.

    Attributes:
        count: Number of ratings.
        weight: Number of ratings, exponentially decayed.
        mass: Decayed sum of the posterior of each bin of the true rating.
        known: Cached combination with the parent cell.
    """

    count: int = 0
    weight: float = 0.0
    mass: list[float] = field(
        default_factory=lambda: [0.0 for _ in range(BINS)]
    )
    known: CachedEstimate | None = None


@dataclass(slots=True)
class RatingServiceHealth:
    """Measurements of the rating service by this process.

    Attributes:
        delay_s: Smoothed seconds until a rating arrives.
        deviation_s: Smoothed absolute deviation of the delay.
        failures: Consecutive ratings that failed or were too late.
        retry_at: When an unreachable service is tried again.
        noise: Smoothed variance of a rating, from two ratings of one answer.
        excess: Smoothed rating of answers known to be wrong, by model.
    """

    delay_s: float = 0.3
    deviation_s: float = 0.1
    failures: int = 0
    retry_at: float = 0.0
    noise: float = 0.0
    excess: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class CascadeQuality:
    """Quality of one cascade's answers relative to its target.

    Attributes:
        price: Logarithm of the value of a good answer, in units of `unit`.
        unit: Mean cost of the last stage. It is shared by all kinds of
            request, since the target counts each answer once: short answers
            are checked more closely than long ones, whose second attempt
            costs more.
        answers: Number of returned answers.
        expected_quality: Smoothed probability that a returned answer is good.
        audit: True ratings of the audited answers.
        audit_expected: Decayed sum of the probabilities of the audited
            answers.
    """

    price: float = 1.2
    unit: float = 0.0
    answers: int = 0
    expected_quality: float = 0.0
    audit: Cell = field(default_factory=Cell)
    audit_expected: float = 0.0


@dataclass(slots=True)
class CascadeState:
    """The state learnt by one process; only its routing service changes it."""

    cells: dict[CellKey, Cell] = field(default_factory=dict)
    ledgers: dict[str, CascadeQuality] = field(default_factory=dict)
    judge: RatingServiceHealth = field(default_factory=RatingServiceHealth)
