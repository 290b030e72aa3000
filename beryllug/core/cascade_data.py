"""Records about the choice of a cascade's stage.

Quality here is the share of answers that are *good*: whose true rating is at
least the cascade's `min_rating`. A rating that arrives is a noisy reading of
the true one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import config_data


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
        rating: Its rating, or None when none came in time.
    """

    stage: int
    rating: float | None


class Begin(NamedTuple):
    """Run a stage.

    Attributes:
        stage: Index into the offers.
        checked: Whether its answer is rated before it is given out; else it
            is streamed to the caller as it comes.
    """

    stage: int
    checked: bool


class GiveOut(NamedTuple):
    """Give out the answer of a stage that already ran."""

    stage: int


@dataclass(frozen=True, slots=True)
class Learnt:
    """Least expected cost that holds the quality target.

    Attributes:
        caution: Standard errors by which an unchecked stage's chance of a
            good answer is lowered.
        sample_part: Part of unchecked answers that are rated afterwards.
    """

    caution: float = 1.5
    sample_part: float = 0.1


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


@dataclass(slots=True)
class Cell:
    """Weighted count, mean and squared deviations of ratings."""

    weight: float = 0.0
    mean: float = 0.0
    squares: float = 0.0


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
    """How the answers of one account and cascade stand to the target.

    Attributes:
        price: Logarithm of the cost that a good answer is worth, in costs of
            the last stage.
        answers: Answers given out.
        good: Sum of their chances of being good.
    """

    price: float = 1.0
    answers: int = 0
    good: float = 0.0


@dataclass(slots=True)
class CascadeState:
    """All that one process learnt; only its routing service changes it."""

    cells: dict[CellKey, Cell] = field(default_factory=dict)
    ledgers: dict[tuple[str, str], Ledger] = field(default_factory=dict)
    judge: Judge = field(default_factory=Judge)


Costs = Mapping[str, float]
