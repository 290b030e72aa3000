"""The exposure budget of a candidate and its shares.

The number of callers that a bad version affects is bounded by the number of
its answers that are not judged yet. The operator declares a maximum for these.
The budget starts at a small part of that and grows with the evidence that the
candidate is good, so that the expected number of unjudged bad answers stays
about constant. It shrinks again when the evidence turns against the candidate.

The budget is allocated to entry hosts as totals that never decrease. Allocated
answers count as used whether they were reported or not, since an entry host
that is partitioned or dies may have used all of them.
"""

import heapq
import math
from typing import Final

from beryllug.core import config_data, rollout_data, rpc_data

INITIAL_DIVISOR: Final = 16
MIN_UNJUDGED: Final = 4
# Answers that will never be rated are released from the budget: up to
# RELEASED_PER_RATING for each rating, plus 1 / UNRATED_DIVISOR of the budget
# without any rating.
RELEASED_PER_RATING: Final = 10
UNRATED_DIVISOR: Final = 4
SILENT_S: Final = 30.0
WRITE_OFF_S: Final = 900.0
# Unused shares take at most 1 / UNUSED_DIVISOR of the limit in total, but may
# be 1 each. Most of the budget is for answers that wait to be judged.
UNUSED_DIVISOR: Final = 4

Exposure = rollout_data.Exposure
EntryShare = rollout_data.EntryShare


def limit(declared: config_data.Rollout, credit: float) -> int:
    """Return the maximum number of unjudged answers.

    Args:
        declared: The roll-out.
        credit: Logarithm of the evidence that the candidate is good.
    """
    most = declared.exposure_budget
    first = max(most / INITIAL_DIVISOR, MIN_UNJUDGED)
    grown = max(first * math.exp(credit), MIN_UNJUDGED)
    return int(min(most, grown))


def record_report(
    exposure: Exposure,
    report: rpc_data.EvidenceReport,
    now: float,
    *,
    braked: bool,
) -> Exposure | None:
    """Record the sender of a report; return None for a duplicate report."""
    share = exposure.shares.get(report.entry, EntryShare())
    if report.sequence <= share.sequence:
        return None
    share = share._replace(
        sequence=report.sequence, heard_at=now, braked=braked
    )
    return _with_share(exposure, report.entry, share)


def count(
    exposure: Exposure,
    entry: str,
    counts: rpc_data.VersionEvidence,
    *,
    needs_rating: bool,
) -> Exposure:
    """Add an entry host's counts of the candidate."""
    share = exposure.shares[entry]
    share = share._replace(given=share.given + counts.answers)
    judged = counts.answers
    if needs_rating:
        judged = counts.errors + counts.rated
    return _with_share(exposure, entry, share)._replace(
        judged=exposure.judged + judged,
        rated=exposure.rated + counts.rated,
        unrated=exposure.unrated + counts.unrated,
        moved=exposure.moved + counts.moved,
    )


def release(exposure: Exposure, declared: config_data.Rollout) -> Exposure:
    """Release answers that will never be rated from the budget.

    Call this when a rating of either version has arrived. During an outage of
    the rating service nothing is judged, so nothing may be released either:
    missing ratings would count as good evidence. But the answers whose ratings
    were lost must be released afterwards, or the roll-out would be stuck for
    ever. A candidate without any rating is held once a part of its budget is
    used.
    """
    most = RELEASED_PER_RATING * exposure.rated
    most += declared.exposure_budget // UNRATED_DIVISOR
    return exposure._replace(released=min(exposure.unrated, most))


def possibly_served(exposure: Exposure) -> int:
    """Return the number of answers that may have been served."""
    shares = exposure.shares.values()
    return exposure.closed + sum(
        max(share.dealt, share.given) for share in shares
    )


def allocate(exposure: Exposure, unjudged: int, now: float) -> Exposure:
    """Allocate the free budget to the entry hosts with the least unused."""
    total = possibly_served(exposure)
    free = exposure.judged + exposure.released + unjudged - total
    live = {
        entry: share
        for entry, share in exposure.shares.items()
        if _is_eligible(share, now)
    }
    if free <= 0 or not live:
        return exposure
    most = max(1, unjudged // (UNUSED_DIVISOR * len(live)))
    dealt = _raise_lowest(live, free, most)
    return exposure._replace(shares={**exposure.shares, **dealt})


def write_off(exposure: Exposure, now: float) -> Exposure:
    """Remove entry hosts without recent reports and reclaim their shares.

    The unused share of a dead entry host is never reported. If such shares
    were kept for ever, they would use up the budget and block a good
    candidate. `lost` counts the answers that may have been served unreported.
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


def _with_share(exposure: Exposure, entry: str, share: EntryShare) -> Exposure:
    return exposure._replace(shares={**exposure.shares, entry: share})


def _without(shares: dict[str, EntryShare], gone: str) -> dict[str, EntryShare]:
    return {entry: share for entry, share in shares.items() if entry != gone}


def _is_eligible(share: EntryShare, now: float) -> bool:
    return not share.braked and now - share.heard_at < SILENT_S


def _raise_lowest(
    live: dict[str, EntryShare], free: int, most: int
) -> dict[str, EntryShare]:
    """Raise the lowest unused shares one by one, up to `most` each."""
    heap = [
        (max(0, share.dealt - share.given), entry)
        for entry, share in live.items()
    ]
    heapq.heapify(heap)
    dealt = {
        entry: max(share.dealt, share.given) for entry, share in live.items()
    }
    while free > 0 and heap[0][0] < most:
        unused, entry = heap[0]
        heapq.heapreplace(heap, (unused + 1, entry))
        dealt[entry] += 1
        free -= 1
    return {
        entry: live[entry]._replace(dealt=total)
        for entry, total in dealt.items()
    }
