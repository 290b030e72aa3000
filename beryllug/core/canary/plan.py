"""The phases of a roll-out, and which requests go to the new version.

During the trial a small share of new sessions uses the new version, and a
session stays on the version it runs on. Once the answers speak for the version,
all requests go to it. This happens so late that even a version which
starts to fail only then receives no more of the requests than a bad one may.
Shortly before its time is over the roll-out is complete, if the answers show
that the version is good, and the platform stops the old servers; otherwise the
version is rolled back.
"""

from collections.abc import Mapping
from typing import NamedTuple

from beryllug.core import rendezvous
from beryllug.core.canary import canary_data, route_parts, verdict

# Scores that a version may have when all requests go to it, which can be taken
# back, and when it is complete, which can't: the old servers are stopped.
FULL_BOUNDS = verdict.Scores(
    failures=-1, slowness=0, pace=0, route_failures=3, route_slowness=3
)
COMPLETE_BOUNDS = verdict.Scores(
    failures=-2, slowness=-1, pace=0, route_failures=-1, route_slowness=0
)
# Part of the requests allowed for a bad version that the trial may use; the
# rest is reserved for the phase in which all requests go to the version. With
# 0.6, and that phase from 0.63 to 0.8 of the time on, a version that failed
# late, or only under load, received 352 of 1,597 requests where 270 were
# allowed.
TRIAL_BUDGET_RATIO = 0.38
TRIAL_SLACK_RATIO = 0.85
# Part of the share allowed for a bad version that new sessions are sampled
# with. All processes sample the same sessions, so a session that arrives at
# another process stays on its version unless that process has used up its
# budget of trial requests. With the whole share sampled, budgets ran out and
# four sessions of a fleet of 72 changed version. Until this part alone has
# given enough answers, or the answers are enough, the whole share is sampled.
DRAWN_PART = 0.25
# Scores of a route from which only that part is sampled on it: while another
# route has less evidence, and once all routes have as much.
ROUTE_ENOUGH = -2.0
ROUTE_AMPLE = -6.0
# Requests on trial within the ordered time that sessions are sampled for if a
# service gets so few that the whole share gives fewer.
TRIAL_REQUESTS = 30
# Part of the ordered time during which sessions stay on their version.
SESSION_BINDING_RATIO = 0.5
# Parts of the share and of the slack that are used. The counts are some tenths
# of a second old, and requests may arrive faster than before.
USABLE_SHARE_RATIO = 0.95
USABLE_SLACK_RATIO = 0.5
# Assumed rate of the remaining requests, relative to the mean rate so far: a
# burst may come, or callers may retry. With 1.0 a version received 301 requests
# of 300 allowed when a third of the callers retried at once.
SURGE_FACTOR = 1.3
# Seconds before the end of the ordered time at which a roll-out is complete,
# and the upper limit of that as a part of the time. Its status has to be in
# the store by the end even if the store rejects both judges and another process
# writes it. That takes twice the wait of a judge and two of its periods, and
# the status has to be there some tenths before the end.
COMPLETION_LEAD_S = 1.2
COMPLETION_LEAD_RATIO = 0.06
# Part of that time before the end at which a roll-out that is not complete is
# rolled back: if processes differ in what they know, one that has evidence for
# the version writes first.
UNPROVEN_LEAD_RATIO = 0.5
# Seconds before the end at which all requests go to a version at the latest,
# and the upper limit of that as a part of the ordered time. A bad version may
# get a tenth of the requests of the ordered time, so it is less if the time is
# short.
MIN_FULL_S = 1.6
MIN_FULL_RATIO = 0.08
# Seconds after which all processes know that all requests go to a version; the
# old servers may only be stopped then.
KNOWN_S = 0.3
# Seconds before the end at which all requests go to a version at the earliest:
# enough for the old servers to finish most of their requests.
MAX_FULL_S = 5.0
# Answers needed to judge a version, and to send all requests to it. A version
# that fails three requests in ten gives twelve good answers in a row once in
# seventy times.
MIN_ANSWERS = 12
MIN_FULL_ANSWERS = 6


class Ages(NamedTuple):
    """Seconds since a roll-out was ordered and since its phase began."""

    order_s: float
    phase_s: float


class Requests(NamedTuple):
    """Requests for a service in a roll-out, estimated over the fleet.

    Attributes:
        so_far: Those since the order.
        expected: Those within the ordered time.
    """

    so_far: float
    expected: float


def next_phase(
    order: canary_data.Order,
    phase: canary_data.Phase,
    tally: canary_data.Tally,
    ages: Ages,
    bounds: canary_data.Bounds,
    lowest: Mapping[str, float] = verdict.NO_SCORES,
) -> canary_data.Phase:
    """Return the phase that a roll-out is in now.

    Args:
        order: The order.
        phase: Its phase so far.
        tally: What the fleet has observed.
        ages: Seconds since the order and since the phase began.
        bounds: The limits of the roll-out.
        lowest: The lowest scores so far, by `verdict.lowest_scores`.
    """
    if is_over(phase):
        return phase
    if verdict.is_bad(tally, lowest):
        return canary_data.Phase.ROLLED_BACK
    left_s = order.duration_s - ages.order_s
    lead_s = _completion_lead_s(order)
    is_proven = verdict.is_good(tally, COMPLETE_BOUNDS)
    if left_s <= lead_s * UNPROVEN_LEAD_RATIO and not is_proven:
        return canary_data.Phase.ROLLED_BACK
    if phase is canary_data.Phase.FULL:
        is_due = left_s <= lead_s and ages.phase_s >= KNOWN_S
        return canary_data.Phase.COMPLETE if is_due and is_proven else phase
    if _may_get_all(order, tally, ages.order_s, bounds):
        return canary_data.Phase.FULL
    return phase


def is_over(phase: canary_data.Phase) -> bool:
    """Return whether a roll-out has ended."""
    return phase in {
        canary_data.Phase.COMPLETE,
        canary_data.Phase.ROLLED_BACK,
    }


def binds_sessions(order: canary_data.Order, age_s: float) -> bool:
    """Return whether sessions on the old version must stay there."""
    return age_s < order.duration_s * SESSION_BINDING_RATIO


def may_try(
    tally: canary_data.Tally,
    bounds: canary_data.Bounds,
    processes: int,
    dither: float = 0,
) -> bool:
    """Return whether this process may send one more request on trial.

    Each process applies the limit to the requests it observes itself, so the
    fleet needs no coordination. In a large fleet the budget of one process may
    be a fraction of a request. Each process adds a random fraction of its own,
    so that the budgets add up to whole requests; rounded down, no process
    would send any until most of the ordered time is over.

    Args:
        tally: What this process has observed.
        bounds: The limits of the roll-out.
        processes: Number of processes in the fleet.
        dither: A random number from 0 to 1, drawn once per roll-out.
    """
    slack = bounds.slack * TRIAL_SLACK_RATIO / max(processes, 1)
    allowed = bounds.share * TRIAL_BUDGET_RATIO * tally.requests + slack
    return tally.tried + 1 <= allowed + dither


def may_send_in_full(
    order: canary_data.Order,
    tally: canary_data.Tally,
    age_s: float,
    bounds: canary_data.Bounds,
    processes: int,
) -> bool:
    """Return whether this process may send one more request in full phase.

    Whether that phase keeps within the bounds is estimated as it begins, and
    requests may come faster then. Each process holds its own requests to them,
    and leaves room for those that come after the roll-out is complete.

    Args:
        order: The order.
        tally: What this process has observed.
        age_s: Seconds since the order.
        bounds: The limits of the roll-out.
        processes: Number of processes in the fleet.
    """
    per_s = tally.requests / max(age_s, 1)
    reserved = per_s * _completion_lead_s(order) * SURGE_FACTOR
    slack = bounds.slack * USABLE_SLACK_RATIO / max(processes, 1)
    allowed = bounds.share * USABLE_SHARE_RATIO * tally.requests + slack
    return tally.tried + 1 + reserved <= allowed


def is_sampled(
    subject: str, bounds: canary_data.Bounds, part: float = 1
) -> bool:
    """Return whether a session, or a request without one, is sampled.

    All processes sample the same sessions, so a session that arrives at
    another process stays on its version.

    Args:
        subject: Id of the session or request.
        bounds: The limits of the roll-out.
        part: Part of the allowed share that is sampled.
    """
    return rendezvous.unit_hash(subject) < bounds.share * part


def sampled_part(
    tally: canary_data.Tally,
    requests: Requests,
    bounds: canary_data.Bounds,
    route: str,
    *,
    is_binding: bool = True,
) -> float:
    """Return the part of the allowed share of sessions that is sampled now.

    Once sessions may change their version, all requests of a route are sampled
    until there is evidence for the version there. How many are sent on trial is
    limited by `may_try`.

    Args:
        tally: The answers that this process knows of.
        requests: Requests for the service.
        bounds: The limits of the roll-out.
        route: The route of the request.
        is_binding: Whether sessions on the old version must stay there.
    """
    drawn = requests.so_far * bounds.share * DRAWN_PART
    drawn *= route_parts.part_of(tally, route)
    scores = verdict.evidence_scores(tally)
    is_lacking = max(scores.values()) > ROUTE_ENOUGH
    enough = ROUTE_ENOUGH if is_lacking else ROUTE_AMPLE
    own = scores.get(route, scores.get(route_parts.RARE_ROUTES))
    is_proven = own is not None and own <= enough
    if is_proven or (drawn >= MIN_ANSWERS and is_binding):
        return DRAWN_PART
    if is_binding or own is None:
        return largest_part(requests.expected, bounds)
    return 1 / bounds.share


def largest_part(expected: float, bounds: canary_data.Bounds) -> float:
    """Return the largest part of the allowed share that is ever sampled.

    Args:
        expected: Requests for the service within the ordered time.
        bounds: The limits of the roll-out.
    """
    return max(1, TRIAL_REQUESTS / (bounds.share * max(expected, 1)))


def _completion_lead_s(order: canary_data.Order) -> float:
    """Return the seconds before its end at which a roll-out is complete."""
    return min(COMPLETION_LEAD_S, order.duration_s * COMPLETION_LEAD_RATIO)


def _min_full_s(order: canary_data.Order) -> float:
    """Return the latest start of the full phase, in seconds before the end."""
    return min(MIN_FULL_S, order.duration_s * MIN_FULL_RATIO)


def _may_get_all(
    order: canary_data.Order,
    tally: canary_data.Tally,
    age_s: float,
    bounds: canary_data.Bounds,
) -> bool:
    """Return whether all requests may go to the version now."""
    is_enough = verdict.count_new_answers(tally) >= MIN_FULL_ANSWERS
    if not is_enough or not verdict.is_good(tally, FULL_BOUNDS):
        return False
    left_s = order.duration_s - age_s
    if left_s <= _min_full_s(order):
        return True
    max_full_s = min(MAX_FULL_S, order.duration_s * (1 - SESSION_BINDING_RATIO))
    return left_s <= max_full_s and _keeps_within_bounds(
        tally, left_s, age_s, bounds
    )


def _keeps_within_bounds(
    tally: canary_data.Tally,
    left_s: float,
    age_s: float,
    bounds: canary_data.Bounds,
) -> bool:
    """Return whether a version may get all requests until the end.

    The estimate assumes that it is bad, as it may become so at any moment.
    """
    remaining = tally.requests * left_s / max(age_s, left_s)
    share = bounds.share * USABLE_SHARE_RATIO * (tally.requests + remaining)
    allowed = share + bounds.slack * USABLE_SLACK_RATIO
    return tally.tried + remaining * SURGE_FACTOR <= allowed
