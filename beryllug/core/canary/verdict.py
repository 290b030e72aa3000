"""Whether a new version is bad, judged by the answers of the whole fleet.

A bad version is distinguished from a bad backend server by where it fails or is
slow: a bad version does so on each of its servers. An answer is slow if it
took three times as long as the other versions take for the same work; a version
may be slow for some of its requests only, which a mean would hide.

A version may also be bad on one route only, so each route is judged by itself,
and all together: a few failures on each of many routes are as significant.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from beryllug.core.canary import answer_times, canary_data, route_parts

BAD_SCORE = 4.5
# Score above the lowest one so far that also counts as bad. A version that
# turns bad, or is bad only under load, has hundreds of good answers by then,
# and such a low score that 22 failures among 120 answers did not raise it above
# zero. It is higher than `BAD_SCORE`, since every answer is a chance to reach
# it by accident.
REGRESSION_SCORE = 7.0
# Key of the score of all routes combined.
ALL_ROUTES = ''
NO_SCORES: Mapping[str, float] = MappingProxyType({})
# Good answers of a version's other servers that show a single bad server to be
# at fault itself. A version that fails half of a route's requests gives five
# good answers in a row once in thirty times.
MIN_GOOD_OF_OTHER_SERVERS = 5
# Bad answers of a single server that are attributed to its version if nothing
# is known of other servers; two may be caused by the server itself.
MIN_FAILURES_OF_ONE_SERVER = 3
# A version is bad only if it has more than this many times the bad answers
# expected from the others' rates; otherwise the cause is not the version.
MIN_EXCESS_RATIO = 2.0
# Answers at the baseline rate added to those of the other versions, so that the
# first few answers of a route do not determine its rate.
PRIOR_ANSWERS = 10


class Scores(NamedTuple):
    """Log-likelihood ratios of a bad to a sound version.

    Attributes:
        failures: The ratio by its failures, over all routes.
        slowness: The ratio by its slow answers, over all routes.
        pace: The ratio by its pauses within streams that are longer than the
            median of the other versions, over all routes.
        route_failures: The ratio by its failures on the route where it is
            highest: good answers on other routes do not make up for it.
        route_slowness: The same by its slow answers.
    """

    failures: float
    slowness: float
    pace: float
    route_failures: float
    route_slowness: float


class _ErrorRates(NamedTuple):
    """Rates of bad answers told apart by a sequential probability ratio test.

    Attributes:
        baseline: Rate of a sound version, unless the others have a higher
            one.
        excess: Part of the otherwise good answers that a bad version spoils.
    """

    baseline: float
    excess: float

    def sound_rate(self, old: canary_data.Answers) -> float:
        """Return the rate of bad answers of a sound version on a route.

        Some routes fail one request in seven whatever the version is. Tested
        against the baseline rate, such a route caused one sound version in
        four to be rolled back.
        """
        count = old.good + old.bad + PRIOR_ANSWERS
        rate = (old.bad + PRIOR_ANSWERS * self.baseline) / count
        return max(self.baseline, rate)

    def score(self, seen: canary_data.Seen) -> float:
        """Return the log-likelihood ratio of a bad to a sound version."""
        answers = _total_answers(seen)
        sound_rate = self.sound_rate(seen.old)
        bad = sound_rate + (1 - sound_rate) * self.excess
        per_bad = math.log(bad / sound_rate)
        per_good = math.log((1 - bad) / (1 - sound_rate))
        return answers.bad * per_bad + answers.good * per_good


# Two failures in a row reach the score, as do three among eight answers.
FAILURE_RATES = _ErrorRates(baseline=3 / 100, excess=3 / 10)
# A version that is bad on a single route fails more of its requests than one
# that is bad on all. Five good answers make up for one failure.
ROUTE_FAILURE_RATES = _ErrorRates(baseline=5 / 100, excess=1 / 2)
ROUTE_SLOWNESS_RATES = _ErrorRates(baseline=1 / 10, excess=1 / 2)
# One answer in ten is slow by chance, on a busy or a cold server. Four slow
# answers in a row reach the score, as do six among ten.
SLOWNESS_RATES = _ErrorRates(baseline=1 / 10, excess=3 / 10)
# Half of a sound version's pauses are above the median by definition. Servers
# of a new version are idle while the others are not, which hides that it is
# several times as slow: its answers are no outliers, but none of them is fast.
PACE_RATES = _ErrorRates(baseline=1 / 2, excess=1 / 2)


def merge(tallies: Iterable[canary_data.Tally]) -> canary_data.Tally:
    """Add up the tallies of several processes."""
    total = canary_data.Tally()
    for tally in tallies:
        total.requests += tally.requests
        total.tried += tally.tried
        for route, seen in tally.by_route.items():
            known = canary_data.evidence(total, route)
            total.by_route[route] = _add_evidence(known, seen)
    return total


def is_bad(
    tally: canary_data.Tally, lowest: Mapping[str, float] = NO_SCORES
) -> bool:
    """Return whether the new version should be rolled back.

    Args:
        tally: What the fleet has observed.
        lowest: The lowest scores so far, by `lowest_scores`.
    """
    if _is_version_bad(failures(tally), FAILURE_RATES, lowest):
        return True
    # Later slowness is as often caused by load: all requests go to the
    # version by then, and no other version is left to compare with.
    return _is_version_bad(slowness(tally), SLOWNESS_RATES, NO_SCORES)


def scores(tally: canary_data.Tally) -> Scores:
    """Return what speaks for a bad version, or, below 0, for a sound one."""
    return Scores(
        sum(map(FAILURE_RATES.score, failures(tally).values())),
        sum(map(SLOWNESS_RATES.score, slowness(tally).values())),
        sum(map(PACE_RATES.score, paces(tally).values())),
        max(route_scores(tally, failures(tally), ROUTE_FAILURE_RATES).values()),
        max(
            route_scores(tally, slowness(tally), ROUTE_SLOWNESS_RATES).values()
        ),
    )


def is_good(tally: canary_data.Tally, bounds: Scores) -> bool:
    """Return whether no score of the new version is above its bound.

    Where no answer of it has a time, its failures alone decide.
    """
    seen = scores(tally)
    if seen.failures > bounds.failures or seen.pace > bounds.pace:
        return False
    if seen.route_failures > bounds.route_failures:
        return False
    is_timed = any(
        any(each.new_times.values()) for each in tally.by_route.values()
    )
    return not is_timed or (
        seen.slowness <= bounds.slowness
        and seen.route_slowness <= bounds.route_slowness
    )


def evidence_scores(tally: canary_data.Tally) -> dict[str, float]:
    """Return the higher score of each frequent route, and of all others.

    The scores are those by failures and, where answers have times that can be
    compared, by slow answers, with `route_parts.RARE_ROUTES` for all rare ones.
    """
    by_failures = route_scores(tally, failures(tally), ROUTE_FAILURE_RATES)
    by_slowness = route_scores(tally, slowness(tally), ROUTE_SLOWNESS_RATES)
    return {
        route: max(score, by_slowness.get(route) or score)
        for route, score in by_failures.items()
    }


def route_scores(
    tally: canary_data.Tally,
    seen: Mapping[str, canary_data.Seen],
    rates: _ErrorRates,
) -> dict[str, float]:
    """Return the score of each frequent route, and of all others together.

    Args:
        tally: The observations.
        seen: Counts of good and bad answers by route.
        rates: The rates that are told apart.

    Returns:
        The scores by route. `RARE_ROUTES` stands for all rare ones, if they
        have enough answers together or speak against the version.
    """
    found = {
        route: rates.score(seen[route]) for route in route_parts.frequent(tally)
    }
    rare = [each for route, each in seen.items() if route not in found]
    score = rates.score(_combine(rare))
    if score > 0 or not found or route_parts.are_rare_frequent(tally):
        found[route_parts.RARE_ROUTES] = score
    return found


def lowest_scores(
    tally: canary_data.Tally, known: Mapping[str, float]
) -> dict[str, float]:
    """Return the lowest failure scores so far, by route and combined."""
    routes = failures(tally)
    scores = {
        route: FAILURE_RATES.score(seen) for route, seen in routes.items()
    }
    scores[ALL_ROUTES] = sum(scores.values())
    return {key: min(known.get(key, 0), score) for key, score in scores.items()}


def count_new_answers(tally: canary_data.Tally) -> int:
    """Count the answers of the new version."""
    return sum(
        each.good + each.bad
        for seen in tally.by_route.values()
        for each in seen.answers.values()
    )


def failures(tally: canary_data.Tally) -> dict[str, canary_data.Seen]:
    """Return counts of good and failed answers by route."""
    return {
        route: canary_data.Seen(seen.answers, seen.old)
        for route, seen in tally.by_route.items()
    }


def slowness(tally: canary_data.Tally) -> dict[str, canary_data.Seen]:
    """Return counts of timely and slow answers, as good and bad, by route."""
    return {
        route: answer_times.slow_counts(seen)
        for route, seen in tally.by_route.items()
    }


def paces(tally: canary_data.Tally) -> dict[str, canary_data.Seen]:
    """Return counts of pauses below and above the median, by route."""
    return {
        route: answer_times.slow_counts(answer_times.pauses(seen), steps=1)
        for route, seen in tally.by_route.items()
    }


def _combine(routes: Iterable[canary_data.Seen]) -> canary_data.Seen:
    by_instance: dict[str, canary_data.Answers] = {}
    old = canary_data.Answers()
    for seen in routes:
        _add_answers(by_instance, seen.by_instance)
        old = _add_counts(old, seen.old)
    return canary_data.Seen(by_instance, old)


def _is_version_bad(
    routes: dict[str, canary_data.Seen],
    rates: _ErrorRates,
    lowest: Mapping[str, float],
) -> bool:
    seen = {
        route: each
        for route, each in routes.items()
        if _answer_count(_total_answers(each))
    }
    # A higher threshold for each of several routes rolled back 0.1% of the
    # sound versions instead of 1.3%, but missed one more in thirty of those
    # that are bad on one route, which costs callers more.
    lowest_together = lowest.get(ALL_ROUTES, 0)
    if _is_bad_on_routes(list(seen.values()), rates, lowest_together):
        return True
    return any(
        _is_bad_on_routes([each], rates, lowest.get(route, 0))
        for route, each in seen.items()
    )


def _is_bad_on_routes(
    routes: Sequence[canary_data.Seen], rates: _ErrorRates, lowest: float
) -> bool:
    score = sum(rates.score(each) for each in routes)
    if score < BAD_SCORE and score - lowest < REGRESSION_SCORE:
        return False
    by_instance: dict[str, canary_data.Answers] = {}
    for seen in routes:
        _add_answers(by_instance, seen.by_instance)
    if _is_single_server_at_fault(by_instance):
        return False
    bad = sum(each.bad for each in by_instance.values())
    expected = sum(
        _answer_count(_total_answers(each)) * _bad_rate(each.old)
        for each in routes
    )
    return bad > MIN_EXCESS_RATIO * expected


def _is_single_server_at_fault(
    by_instance: dict[str, canary_data.Answers],
) -> bool:
    """Return whether a single server is at fault rather than the version."""
    bad = [each.bad for each in by_instance.values() if each.bad]
    if len(bad) != 1:
        return False
    others = sum(each.good for each in by_instance.values() if not each.bad)
    return (
        others >= MIN_GOOD_OF_OTHER_SERVERS
        or bad[0] < MIN_FAILURES_OF_ONE_SERVER
    )


def _total_answers(seen: canary_data.Seen) -> canary_data.Answers:
    return canary_data.Answers(
        sum(each.good for each in seen.by_instance.values()),
        sum(each.bad for each in seen.by_instance.values()),
    )


def _answer_count(answers: canary_data.Answers) -> int:
    return answers.good + answers.bad


def _bad_rate(answers: canary_data.Answers) -> float:
    count = _answer_count(answers)
    return answers.bad / count if count else 0


def _add_evidence(
    known: canary_data.Evidence, more: canary_data.Evidence
) -> canary_data.Evidence:
    _add_answers(known.answers, more.answers)
    for instance, works in more.new_times.items():
        _add_times(known.new_times.setdefault(instance, {}), works)
    _add_times(known.old_times, more.old_times)
    return known._replace(old=_add_counts(known.old, more.old))


def _add_answers(
    total: dict[str, canary_data.Answers],
    more: dict[str, canary_data.Answers],
) -> None:
    for instance, answers in more.items():
        before = total.get(instance, canary_data.Answers())
        total[instance] = _add_counts(before, answers)


def _add_counts(
    one: canary_data.Answers, other: canary_data.Answers
) -> canary_data.Answers:
    return canary_data.Answers(one.good + other.good, one.bad + other.bad)


def _add_times(
    total: dict[str, canary_data.Times],
    more: dict[str, canary_data.Times],
) -> None:
    for work, times in more.items():
        known = total.setdefault(work, {})
        for step, count in times.items():
            known[step] = known.get(step, 0) + count
