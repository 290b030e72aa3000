"""What callers got in one run: counts, and histograms of latency."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from hdrh import histogram

from beryllug.bench import workload
from beryllug.core import config_data

LEAST_US = 1
MOST_US = 600000000
FIGURES = 3
MICRO = 1000000
MS = 1000


def new_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(LEAST_US, MOST_US, FIGURES)


@dataclass(slots=True)
class Counts:
    """Counts of one group of requests.

    Attributes:
        offered: Requests that arrived.
        good: Requests answered within their target.
        late: Requests answered after their target.
        refused: Requests refused as not run.
        failed: Requests that ended in an error or unknown.
        tried: Requests that were dispatched at least once.
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
    """Takes what happens to requests that arrive inside a window.

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
        """Return the counts that a request belongs to; None outside."""
        if not self.since <= req.at < self.until:
            return None
        return self.counts.setdefault(_key(req), Counts())

    def answered(
        self,
        req: workload.Request,
        targets: config_data.Targets,
        asked_at: float,
        now: float,
    ) -> None:
        """Take a first token of a request that was last asked at a second."""
        group = self.group(req)
        if group is None:
            return
        taken_s = now - asked_at
        if taken_s * MS <= targets.first_token_ms:
            group.good += 1
        else:
            group.late += 1
        kept = self.first.get(_key(req))
        if kept is None:
            kept = new_histogram()
            self.first[_key(req)] = kept
        kept.record_value(max(int(taken_s * MICRO), LEAST_US))

    def refused(
        self, req: workload.Request, asked_at: float, now: float
    ) -> None:
        """Take a refusal that the caller gives up on."""
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
    """Return a percentile of time to first token over groups."""
    merged = new_histogram()
    for one in recorders:
        for (account, request_class), kept in one.first.items():
            if request_class in classes:
                if accounts is None or account in accounts:
                    merged.add(kept)
    return float(merged.get_value_at_percentile(percent)) / MS


def total(
    recorders: Sequence[Recorder],
    classes: frozenset[str] | None = None,
    accounts: frozenset[int] | None = None,
) -> Counts:
    """Return the sum of counts over groups."""
    result = Counts()
    for one in recorders:
        for (account, request_class), counts in one.counts.items():
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


def _key(req: workload.Request) -> tuple[int, str]:
    return req.account, req.kind.request_class
