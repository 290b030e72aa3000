"""The exposure budget of a candidate and its shares.

What bounds the callers whom a bad version reaches is the number of answers
given out and not yet judged. The operator declares the most that may be out.
It begins with a small part of that and grows with evidence that the
candidate is good, so that the expected number of bad answers out stays about
the same; it shrinks again when evidence turns.

The budget is dealt to entries as totals that only rise. What was dealt counts
as given out, reported or not: an entry that is cut off or dies may have used
all of it.
"""

import heapq
import math
from typing import Final

from beryllug.core import config_data, rollout_data, rpc_data

START_PART: Final = 16
LEAST_UNJUDGED: Final = 4
# Answers that will never be rated leave the budget with those that were, so
# many for one rating and a part of the budget without any.
RELEASED_A_RATING: Final = 10
RELEASED_PART: Final = 4
SILENT_S: Final = 30.0
WRITE_OFF_S: Final = 900.0
# Most of the budget is for answers out, not for shares that lie unused.
STOCK_PART: Final = 4

Exposure = rollout_data.Exposure
EntryShare = rollout_data.EntryShare


def limit(declared: config_data.Rollout, credit: float) -> int:
    """Return how many answers may be out and not judged.

    Args:
        declared: The roll-out.
        credit: Logarithm of the evidence that the candidate is good.
    """
    most = declared.exposure_budget
    first = max(most / START_PART, LEAST_UNJUDGED)
    grown = max(first * math.exp(credit), LEAST_UNJUDGED)
    return int(min(most, grown))


def hear(
    exposure: Exposure,
    report: rpc_data.EvidenceReport,
    now: float,
    *,
    braked: bool,
) -> Exposure | None:
    """Take in who reported; None when the report was taken in before."""
    share = exposure.shares.get(report.entry, EntryShare())
    if report.sequence <= share.sequence:
        return None
    share = share._replace(
        sequence=report.sequence, heard_at=now, braked=braked
    )
    return _put(exposure, report.entry, share)


def count(
    exposure: Exposure,
    entry: str,
    counts: rpc_data.VersionEvidence,
    *,
    needs_rating: bool,
) -> Exposure:
    """Take in an entry's counts of the candidate."""
    share = exposure.shares[entry]
    share = share._replace(given=share.given + counts.answers)
    judged = counts.answers
    if needs_rating:
        judged = counts.errors + counts.rated
    return _put(exposure, entry, share)._replace(
        judged=exposure.judged + judged,
        rated=exposure.rated + counts.rated,
        unrated=exposure.unrated + counts.unrated,
        moved=exposure.moved + counts.moved,
    )


def release(exposure: Exposure, declared: config_data.Rollout) -> Exposure:
    """Let answers that will never be rated leave the budget.

    To be called when a rating of either version has arrived. In an outage of
    the rating service nothing is judged, so nothing may be released either:
    silence would be taken for good evidence. But the answers whose ratings it
    lost must leave the budget afterwards, or the roll-out stands still for
    ever. A candidate that is never rated at all is held after a part of its
    budget.
    """
    most = RELEASED_A_RATING * exposure.rated
    most += declared.exposure_budget // RELEASED_PART
    return exposure._replace(released=min(exposure.unrated, most))


def out(exposure: Exposure) -> int:
    """Return the answers that may have been given out."""
    shares = exposure.shares.values()
    return exposure.closed + sum(
        max(share.dealt, share.given) for share in shares
    )


def deal(exposure: Exposure, unjudged: int, now: float) -> Exposure:
    """Deal what the budget has left to the entries with the least stock."""
    total = out(exposure)
    free = exposure.judged + exposure.released + unjudged - total
    live = {
        entry: share
        for entry, share in exposure.shares.items()
        if _takes(share, now)
    }
    if free <= 0 or not live:
        return exposure
    most = max(1, unjudged // (STOCK_PART * len(live)))
    dealt = _fill(live, free, most)
    return exposure._replace(shares={**exposure.shares, **dealt})


def write_off(exposure: Exposure, now: float) -> Exposure:
    """Drop entries that were silent for long and return their stock.

    An entry that died took its share along. Kept for ever, such shares would
    use the budget up and hold a good candidate; how much may have been given
    out unreported stands in `lost`.
    """
    gone = [
        entry
        for entry, share in exposure.shares.items()
        if now - share.heard_at >= WRITE_OFF_S
    ]
    for entry in gone:
        share = exposure.shares[entry]
        exposure = exposure._replace(
            shares=_without(exposure.shares, entry),
            closed=exposure.closed + share.given,
            lost=exposure.lost + max(0, share.dealt - share.given),
        )
    return exposure


def _put(exposure: Exposure, entry: str, share: EntryShare) -> Exposure:
    return exposure._replace(shares={**exposure.shares, entry: share})


def _without(shares: dict[str, EntryShare], gone: str) -> dict[str, EntryShare]:
    return {entry: share for entry, share in shares.items() if entry != gone}


def _takes(share: EntryShare, now: float) -> bool:
    return not share.braked and now - share.heard_at < SILENT_S


def _fill(
    live: dict[str, EntryShare], free: int, most: int
) -> dict[str, EntryShare]:
    """Raise the lowest stock by one until all is dealt or all have enough."""
    heap = [
        (max(0, share.dealt - share.given), entry)
        for entry, share in live.items()
    ]
    heapq.heapify(heap)
    dealt = {
        entry: max(share.dealt, share.given) for entry, share in live.items()
    }
    while free > 0 and heap[0][0] < most:
        stock, entry = heap[0]
        heapq.heapreplace(heap, (stock + 1, entry))
        dealt[entry] += 1
        free -= 1
    return {
        entry: live[entry]._replace(dealt=total)
        for entry, total in dealt.items()
    }
