"""Counts and latency histograms of the requests of one run."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from hdrh import histogram

from beryllug.bench import workload
from beryllug.core import config_data

MIN_US = 1
MAX_US = 600000000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1000000
MS = 1000


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Counts:
    """Counts of a group of requests.

    Attributes:
        offered: Requests that arrived.
        good: Requests answered within their target.
        late: Requests answered after their target.
        refused: Requests refused without having run.
        failed: Requests that ended in an error or with unknown outcome.
        tried: Requests dispatched at least once.
        attempts: Dispatches to backend servers.
        longest_refusal_s: Longest time from arrival to a refusal.
    """

    offered: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    tried: int = 0
    attempts: int = 0
    longest_refusal_s: float = 0.0


@dataclass(slots=True)
class Recorder:
    """Records the outcomes of requests that arrive within a window.

    Attributes:
        since: Start of the window, after the warm-up.
        until: End of the window.
        first: Time to first token by account and class.
        counts: Counts by account and class.
    """

    since: float
    until: float
    first: dict[tuple[int, str], histogram.HdrHistogram] = field(
        default_factory=dict
    )
    counts: dict[tuple[int, str], Counts] = field(default_factory=dict)

    def group(self, req: workload.Request) -> Counts | None:
        """Return the counts for a request; None outside of the window."""
        if not self.since <= req.at < self.until:
            return None
        return self.counts.setdefault(_group_key(req), Counts())

    def answered(
        self,
        req: workload.Request,
        targets: config_data.Targets,
        asked_at: float,
        now: float,
    ) -> None:
        """Record a first token; `asked_at` is the latest submission."""
        group = self.group(req)
        if group is None:
            return
        taken_s = now - asked_at
        if taken_s * MS <= targets.first_token_ms:
            group.good += 1
        else:
            group.late += 1
        hist = self.first.get(_group_key(req))
        if hist is None:
            hist = new_histogram()
            self.first[_group_key(req)] = hist
        hist.record_value(max(int(taken_s * US_PER_S), MIN_US))

    def refused(
        self, req: workload.Request, asked_at: float, now: float
    ) -> None:
        """Record a refusal after which the caller does not retry."""
        group = self.group(req)
        if group is not None:
            group.refused += 1
            waited_s = now - asked_at
            group.longest_refusal_s = max(group.longest_refusal_s, waited_s)


def percentile_ms(
    recorders: Sequence[Recorder],
    percent: float,
    classes: frozenset[str],
    accounts: frozenset[int] | None = None,
) -> float:
    """Return a percentile of the time to first token over groups."""
    merged = new_histogram()
    for rec in recorders:
        for (account, request_class), hist in rec.first.items():
            if request_class in classes:
                if accounts is None or account in accounts:
                    merged.add(hist)
    return float(merged.get_value_at_percentile(percent)) / MS


def total(
    recorders: Sequence[Recorder],
    classes: frozenset[str] | None = None,
    accounts: frozenset[int] | None = None,
) -> Counts:
    """Return the sum of counts over groups."""
    result = Counts()
    for rec in recorders:
        for (account, request_class), counts in rec.counts.items():
            if classes is None or request_class in classes:
                if accounts is None or account in accounts:
                    _add(result, counts)
    return result


def _add(result: Counts, counts: Counts) -> None:
    result.offered += counts.offered
    result.good += counts.good
    result.late += counts.late
    result.refused += counts.refused
    result.failed += counts.failed
    result.tried += counts.tried
    result.attempts += counts.attempts
    result.longest_refusal_s = max(
        result.longest_refusal_s, counts.longest_refusal_s
    )


def _group_key(req: workload.Request) -> tuple[int, str]:
    return req.account, req.kind.request_class
