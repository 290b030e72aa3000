"""Data types of a roll-out, as stored in the platform.

A record is stored as a MessagePack array, so fields may only be added at the
end and with a default.
"""

from dataclasses import dataclass
from typing import NamedTuple

from beryllug.core import evidence_data, view_data

ALL_ACCOUNTS = ''
ALL_PERCENT = 100


class EntryShare(NamedTuple):
    """An entry host's share of the exposure budget.

    Attributes:
        dealt: Total answers that it was allowed to serve.
        given: Total answers that it reported.
        sequence: Sequence number of its last recorded report.
        heard_at: Wall-clock time of that report, in seconds.
        braked: Whether it blocks the candidate locally.
    """

    dealt: int = 0
    given: int = 0
    sequence: int = 0
    heard_at: float = 0.0
    braked: bool = False


class Exposure(NamedTuple):
    """The answers of a candidate, and how many of them were judged.

    Attributes:
        shares: The shares by name of the entry process and of its start. A
            change makes a new dictionary.
        closed: Answers reported by entry hosts that were removed.
        lost: Answers that such hosts may have served unreported.
        judged: Answers that were judged, by their failure or rating.
        rated: Ratings of the candidate that arrived.
        unrated: Answers of the candidate that will not be rated.
        released: How many of the unrated ones no longer use the budget.
        moved: Sessions that were moved to another version.
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
    """The state and the aggregated evidence of a roll-out.

    Attributes:
        model: The model.
        candidate: Version that is rolled out.
        incumbent: Version that it is compared with.
        percent: Share of new sessions at the current stage.
        scopes: The tests, one for each of `MEASURES`, by client account;
            those over all accounts have an empty key.
        exposure: Exposure budget and its shares.
        accounts: Number of client accounts among which the probability of a
            false stop is divided; fixed at the start.
        stage: Index of the stage.
        verdict: Running, promoted or stopped.
        reason: Why the verdict was reached or the stage is held.
        reopened: How often the comparison was reopened.
        stopped: Candidates that were stopped before, the latest last.
    """

    model: str
    candidate: str
    incumbent: str
    percent: int
    scopes: dict[str, tuple[evidence_data.SequentialTest, ...]]
    exposure: Exposure
    accounts: int = 1
    stage: int = 0
    verdict: view_data.Verdict = view_data.Verdict.RUNNING
    reason: str = ''
    reopened: int = 0
    stopped: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Hold:
    """Change nothing, for the given reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class Advance:
    """Proceed to the next stage."""


@dataclass(frozen=True, slots=True)
class Promote:
    """Promote the candidate, which has passed all stages."""


@dataclass(frozen=True, slots=True)
class Reopen:
    """Compare with the incumbent again at an earlier stage.

    The candidate serves nearly all requests, so there is no comparison, and
    does worse than the incumbent did in earlier blocks.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Reject the candidate."""

    reason: str


Decision = Hold | Advance | Promote | Reopen | Stop
