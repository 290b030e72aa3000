"""Records of a roll-out, as they stand in the platform.

The record is written as a MessagePack array, so fields are only added at the
end and with a default.
"""

from dataclasses import dataclass
from typing import NamedTuple

from beryllug.core import evidence_data, view_data

EVERYONE = ''
ALL_PERCENT = 100


class EntryShare(NamedTuple):
    """An entry's share of the exposure budget.

    Attributes:
        dealt: Answers that it may have given out since then.
        given: Answers that it reported.
        sequence: Its last report that was taken in.
        heard_at: Wall-clock second of that report.
        braked: Whether it holds the candidate back by itself.
    """

    dealt: int = 0
    given: int = 0
    sequence: int = 0
    heard_at: float = 0.0
    braked: bool = False


class Exposure(NamedTuple):
    """What was given out of a candidate, and how much of it was judged.

    Attributes:
        shares: The shares by name of the entry process and of its start;
            a new dictionary with each change.
        closed: Answers given out by entries that are no longer listed.
        lost: Answers that such entries may have given out unreported.
        judged: Answers that were judged, by their failure or rating.
        rated: Ratings of the candidate that arrived.
        unrated: Answers of the candidate that will not be rated.
        released: How many of these no longer use the budget.
        moved: Sessions that were moved off the candidate.
    """

    shares: dict[str, EntryShare]
    closed: int = 0
    lost: int = 0
    judged: int = 0
    rated: int = 0
    unrated: int = 0
    released: int = 0
    moved: int = 0


class Record(NamedTuple):
    """A roll-out: its state and the sums of its evidence.

    Attributes:
        model: The model.
        candidate: Version that is rolled out.
        incumbent: Version that it is compared with.
        percent: Share of new sessions at the present stage.
        scopes: The tests, one for each of `MEASURES`, by client account;
            under the empty name those over all accounts.
        exposure: Budget and its shares.
        accounts: Client accounts over which the chance of a wrong stop is
            spread; fixed at the start.
        stage: Index of the stage.
        verdict: Running, promoted or stopped.
        reason: Why the verdict fell, or why the stage is held.
        reopened: How often the comparison was reopened.
        stopped: Candidates that were stopped before, the latest last.
    """

    model: str
    candidate: str
    incumbent: str
    percent: int
    scopes: dict[str, tuple[evidence_data.Trial, ...]]
    exposure: Exposure
    accounts: int = 1
    stage: int = 0
    verdict: view_data.Verdict = view_data.Verdict.RUNNING
    reason: str = ''
    reopened: int = 0
    stopped: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Hold:
    """Stay at the stage; evidence does not suffice for anything else."""

    reason: str


@dataclass(frozen=True, slots=True)
class Advance:
    """Go on to the next stage."""


@dataclass(frozen=True, slots=True)
class Promote:
    """The candidate was proved at all stages."""


@dataclass(frozen=True, slots=True)
class Reopen:
    """Compare again: it serves nearly all and does worse than remembered."""

    reason: str


@dataclass(frozen=True, slots=True)
class Stop:
    """The candidate is bad."""

    reason: str


Decision = Hold | Advance | Promote | Reopen | Stop
