"""The state of a rollout in one process: its own counts and its peers'."""

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.canary import canary_data, plan, verdict
from beryllug.core.peering import peering_data
from beryllug.core.placement import servers_data

# Seconds below which two durations are not distinguished.
MIN_TIME_S = 0.0001
# Bits of the number that identifies the counts of a process.
RUN_BITS = 32
# Seconds of a roll-out from which its rate of requests is computed.
MIN_AGE_S = 0.1
# Seconds after an answer of an old server for which requests that are not on
# trial run on old versions only: several times as long as a server needs to
# restart.
OLD_KEPT_S = 10.0


class Timing(NamedTuple):
    """What was asked on a route, and how many seconds it took."""

    work: str
    seconds: float


@dataclass(slots=True)
class Rollout:
    """A rollout as this process knows it.

    Attributes:
        order: The operator's order.
        phase: The current phase.
        started_at: Monotonic second of the order, as far as is known.
        phase_started_at: Monotonic second at which the phase began here.
        is_stored: Whether its result is in the store.
        tally: The counts of this process.
        run: Identifies the counts of this process, until it restarts.
        others: The counts reported by other processes, by their names and runs.
        has_unreported_answers: Whether the new version has answered since the
            last report to the judges.
        reported_at: Monotonic second of that report.
        lowest: The lowest scores of the version's failures so far.
        dither: Random fraction of a request that this process may send on trial
            in addition, so that fractions round up in some processes.
        others_total: The sum of the others' counts; None until it is computed.
        announced_on: Revision of the order on which this process has announced
            that it writes the result.
        written_on: Newest revision of the order on which the result is known
            to be written, or can't be written any more.
        writers: The same as `announced_on` for other processes, by name.
        old: The other versions that were last listed.
        old_answered_at: Monotonic second of their last good answer here.
        completed: The answers of the version here since it was complete, by
            route.
        rejected: Targets of earlier orders that were rolled back. Their servers
            are listed for some seconds more.
    """

    order: canary_data.Order
    phase: canary_data.Phase
    started_at: float
    phase_started_at: float
    is_stored: bool = False
    tally: canary_data.Tally = field(default_factory=canary_data.Tally)
    run: int = field(default_factory=lambda: random.getrandbits(RUN_BITS))
    others: dict[tuple[str, int], canary_data.Tally] = field(
        default_factory=dict
    )
    has_unreported_answers: bool = False
    reported_at: float = float('-inf')
    lowest: dict[str, float] = field(default_factory=dict)
    dither: float = field(default_factory=random.random)
    others_total: canary_data.Tally | None = None
    announced_on: int = 0
    written_on: int = 0
    writers: dict[str, int] = field(default_factory=dict)
    old: frozenset[str] = frozenset()
    old_answered_at: float = float('-inf')
    completed: dict[str, canary_data.Answers] = field(default_factory=dict)
    rejected: frozenset[str] = frozenset()

    @property
    def is_open(self) -> bool:
        """Return whether it is still in progress."""
        return not plan.is_over(self.phase)

    def seen(self) -> canary_data.Tally:
        """Return the counts of this process and of all others together.

        This is called four times a second and for each new session, so the sum
        over the other processes is cached until one of them reports new counts.
        """
        return verdict.merge((self.others_seen(), self.tally))

    def others_seen(self) -> canary_data.Tally:
        """Return the counts of all other processes together."""
        if self.others_total is None:
            self.others_total = verdict.merge(self.others.values())
        return self.others_total

    def is_version_bad(self) -> bool:
        """Return whether the known answers require a rollback."""
        seen = self.seen()
        self.lowest = verdict.lowest_scores(seen, self.lowest)
        return verdict.is_bad(seen, self.lowest)


def requests(rollout: Rollout, processes: int, now: float) -> plan.Requests:
    """Return the requests for the service, estimated over the fleet.

    Only judges know the counts of all others.
    """
    own = rollout.tally.requests
    so_far = max(own + rollout.others_seen().requests, own * processes)
    age_s = max(now - rollout.started_at, MIN_AGE_S)
    return plan.Requests(so_far, so_far * rollout.order.duration_s / age_s)


def largest_part(
    rollout: Rollout, bounds: canary_data.Bounds, processes: int, now: float
) -> float:
    """Return the part of the allowed share that any process may sample."""
    expected = requests(rollout, processes, now).expected
    return plan.largest_part(expected, bounds)


def count(
    rollout: Rollout,
    server: servers_data.Server,
    route: str,
    *,
    is_good: bool,
    took: Sequence[Timing],
) -> None:
    """Count an answer of a server of the service that is rolled out."""
    seen = canary_data.evidence(rollout.tally, route)
    works = seen.old_times
    if server.version == rollout.order.target:
        instance = server.instance
        known = seen.answers.get(instance, canary_data.Answers())
        seen.answers[instance] = _add_answer(known, is_good)
        works = seen.new_times.setdefault(instance, {})
        rollout.has_unreported_answers = True
    else:
        old = _add_answer(seen.old, is_good)
        rollout.tally.by_route[route] = seen._replace(old=old)
    for each in took:
        _add_time(works, each)


def count_completed(rollout: Rollout, route: str, *, is_good: bool) -> bool:
    """Count an answer of a version that is complete.

    Returns:
        Whether the bad answers so far should be logged: they are as the first
        one, the second, the fourth and so on.
    """
    known = rollout.completed.get(route, canary_data.Answers())
    rollout.completed[route] = _add_answer(known, is_good)
    bad = sum(each.bad for each in rollout.completed.values())
    return not is_good and not bad & (bad - 1)


def rejected_versions(known: Rollout | None, target: str) -> frozenset[str]:
    """Return the versions that were rolled back before an order."""
    if known is None:
        return frozenset()
    found = known.rejected
    if known.phase is canary_data.Phase.ROLLED_BACK:
        found |= {known.order.target}
    return found - {target}


def old_versions(
    rollout: Rollout, listed: frozenset[str], now: float
) -> frozenset[str]:
    """Return the versions other than the new one.

    Servers that crash are back after seconds. Until then their versions are
    kept: all requests would go to a version that is not proven.

    Args:
        rollout: The rollout.
        listed: Those that listed servers run now.
        now: Current time in seconds.
    """
    sound = listed - rollout.rejected
    if sound or not is_bound_to_old(rollout, now):
        rollout.old = sound
    return rollout.old


def is_bound_to_old(rollout: Rollout, now: float) -> bool:
    """Return whether requests wait for old servers while none is available.

    A process that is cut off may miss that the rollout is complete; its old
    servers are then gone for good.
    """
    answered_at = max(rollout.old_answered_at, rollout.started_at)
    return now - answered_at <= OLD_KEPT_S


def phase_reports(
    rollouts: Iterable[Rollout], now: float
) -> tuple[peering_data.RolloutProgress, ...]:
    """Return the phase of each rollout, to send to peers."""
    return tuple(
        peering_data.RolloutProgress(
            each.order.service,
            each.order.target,
            each.phase,
            round(now - each.started_at, 2),
            each.announced_on,
            each.written_on,
        )
        for each in rollouts
    )


def tally_reports(
    rollouts: Iterable[Rollout],
) -> tuple[peering_data.RolloutTally, ...]:
    """Return this process's counts of open rollouts, to send to peers."""
    return tuple(_tally_news(each) for each in rollouts if each.is_open)


def _tally_news(rollout: Rollout) -> peering_data.RolloutTally:
    tally = rollout.tally
    return peering_data.RolloutTally(
        rollout.order.service,
        rollout.order.target,
        tally.requests,
        tally.tried,
        tally.by_route,
        rollout.run,
    )


def merge_tally(
    rollout: Rollout, peer: str, news: peering_data.RolloutTally
) -> None:
    """Replace the counts of a peer by its latest report.

    What a peer had counted before it restarted still counts.
    """
    rollout.others[(peer, news.run)] = canary_data.Tally(
        news.requests, news.tried, news.by_route
    )
    rollout.others_total = None


def merge_writes(
    rollout: Rollout, peer: str, news: peering_data.RolloutProgress
) -> None:
    """Record the writes of a rollout's result that a peer tells of."""
    announced_on = max(rollout.writers.get(peer, 0), news.announced_on)
    if announced_on:
        rollout.writers[peer] = announced_on
    rollout.written_on = max(rollout.written_on, news.written_on)


def count_writers(rollout: Rollout) -> int:
    """Count the peers that have announced a write on the present order."""
    revision = rollout.order.revision
    return sum(
        announced_on == revision for announced_on in rollout.writers.values()
    )


def _add_answer(
    known: canary_data.Answers, is_good: bool
) -> canary_data.Answers:
    return canary_data.Answers(
        known.good + int(is_good), known.bad + int(not is_good)
    )


def _add_time(works: dict[str, canary_data.Times], took: Timing) -> None:
    times = works.setdefault(took.work, {})
    step = round(2 * math.log2(max(took.seconds, MIN_TIME_S)))
    times[step] = times.get(step, 0) + 1
