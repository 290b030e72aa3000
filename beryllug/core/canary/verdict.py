"""Whether a new version is bad, judged on the answers of the whole fleet.

A version that fails, or is slow, is told from a backend server that is by
where that happens: a bad version is bad on each of its servers. An answer is
slow if it took three times what the others' answers take for the same work; a
version may be slow for part of its requests only, which a mean would hide.

It may also be bad on one route only, so each route is judged by itself, and
all together: a few failures on each of many routes tell as much.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from beryllug.core.canary import canary_data

BAD_SCORE = 4.5
# The same above the lowest score so far: a version that turns bad, or is bad
# only under load, has hundreds of good answers by then, and a score so low
# that 22 failures among 120 answers did not raise it above zero. Higher than
# the first, since there are as many chances as answers.
TURNED_SCORE = 7.0
# Key of the score of all routes together.
TOGETHER = ''
NO_SCORES: Mapping[str, float] = MappingProxyType({})
# Good answers of a version's other servers beside which one that is bad is at
# fault itself: a version that fails half of a route's requests gives five
# good ones in a row once in thirty times.
SOUND_ANSWERS = 5
# Bad answers of one server alone, while nothing is known of the others, that
# are taken for the version's: two may be the server's own.
ALONE_FAILURES = 3
# Steps of time above the others' median from which an answer is slow: three
# halves of a doubling, which is 2.8 times as long.
SLOW_STEPS = 3
# Times of the others without which nothing can be compared.
LEAST_TIMES = 10
# A version whose bad answers are fewer than so many times those that the
# others' rates let expect is bad for a reason that is not its own.
SAME_RATIO = 2.0
# Answers of the usual rate that are added to the others', so that the first
# few of a route don't stand for its rate.
PRIOR_ANSWERS = 10


class _Rates(NamedTuple):
    """Rates of bad answers that a sequential test tells apart.

    Attributes:
        usual: Of a sound version, where the others show no higher one.
        extra: Part of the otherwise good answers that a bad version spoils.
    """

    usual: float
    extra: float

    def sound(self, old: canary_data.Answers) -> float:
        """Return the rate of a sound version on a route.

        Some routes fail one request in seven whatever the version is; tested
        against the usual rate, such a route took back one sound version in
        four.
        """
        count = old.good + old.bad + PRIOR_ANSWERS
        rate = (old.bad + PRIOR_ANSWERS * self.usual) / count
        return max(self.usual, rate)

    def score(self, seen: canary_data.Seen) -> float:
        """Return the logarithm of the likelihood ratio on a route."""
        answers = _total(seen)
        sound = self.sound(seen.old)
        bad = sound + (1 - sound) * self.extra
        per_bad = math.log(bad / sound)
        per_good = math.log((1 - bad) / (1 - sound))
        return answers.bad * per_bad + answers.good * per_good


# Two failures in a row reach the score; three among eight answers do, too.
FAILING = _Rates(usual=3 / 100, extra=3 / 10)
# One answer in ten is slow by chance, on a busy or a cold server: four slow
# ones in a row reach the score, or six among ten.
SLOW = _Rates(usual=1 / 10, extra=3 / 10)


def merge(tallies: Iterable[canary_data.Tally]) -> canary_data.Tally:
    """Add up the tallies of several processes."""
    total = canary_data.Tally()
    for tally in tallies:
        total.requests += tally.requests
        total.tried += tally.tried
        for route, seen in tally.by_route.items():
            known = canary_data.evidence(total, route)
            total.by_route[route] = _add(known, seen)
    return total


def is_bad(
    tally: canary_data.Tally, lowest: Mapping[str, float] = NO_SCORES
) -> bool:
    """Tell whether the new version is to be taken back.

    Args:
        tally: What the fleet has seen.
        lowest: The lowest scores so far, by `lowest_scores`.
    """
    if _is_version_bad(failures(tally), FAILING, lowest):
        return True
    # Slowness that comes later is as often load, which all requests bring to
    # the version and which the others are not there to show.
    return _is_version_bad(slowness(tally), SLOW, NO_SCORES)


def lowest_scores(
    tally: canary_data.Tally, known: Mapping[str, float]
) -> dict[str, float]:
    """Return the lowest scores of failures so far, by route and together."""
    routes = failures(tally)
    scores = {route: FAILING.score(seen) for route, seen in routes.items()}
    scores[TOGETHER] = sum(scores.values())
    return {key: min(known.get(key, 0), score) for key, score in scores.items()}


def judged(tally: canary_data.Tally) -> int:
    """Count the answers of the new version."""
    return sum(
        each.good + each.bad
        for seen in tally.by_route.values()
        for each in seen.answers.values()
    )


def failures(tally: canary_data.Tally) -> dict[str, canary_data.Seen]:
    """Return successes and failures by route."""
    return {
        route: canary_data.Seen(seen.answers, seen.old)
        for route, seen in tally.by_route.items()
    }


def slowness(tally: canary_data.Tally) -> dict[str, canary_data.Seen]:
    """Return answers in time and slow ones, as good and bad, by route."""
    return {route: _slowness(seen) for route, seen in tally.by_route.items()}


def _slowness(seen: canary_data.Evidence) -> canary_data.Seen:
    limits = {
        work: _median(times) + SLOW_STEPS
        for work, times in seen.old_times.items()
        if sum(times.values()) >= LEAST_TIMES
    }
    by_instance = {
        instance: _split(works, limits)
        for instance, works in seen.new_times.items()
    }
    return canary_data.Seen(by_instance, _split(seen.old_times, limits))


def _split(
    works: dict[str, canary_data.Times], limits: dict[str, int]
) -> canary_data.Answers:
    good = 0
    bad = 0
    for work, times in works.items():
        limit = limits.get(work)
        if limit is None:
            continue
        slow = sum(count for step, count in times.items() if step >= limit)
        bad += slow
        good += sum(times.values()) - slow
    return canary_data.Answers(good, bad)


def _median(times: canary_data.Times) -> int:
    half = sum(times.values()) / 2
    passed = 0
    for step in sorted(times):
        passed += times[step]
        if passed >= half:
            return step
    return 0


def _is_version_bad(
    routes: dict[str, canary_data.Seen],
    rates: _Rates,
    lowest: Mapping[str, float],
) -> bool:
    seen = {
        route: each for route, each in routes.items() if _count(_total(each))
    }
    # A higher score for each of several routes took back 0.1% of the sound
    # versions and not 1.3%, and missed one more in thirty of those that are bad
    # on one route, which costs callers more.
    least = lowest.get(TOGETHER, 0)
    if _is_bad_together(list(seen.values()), rates, least):
        return True
    return any(
        _is_bad_together([each], rates, lowest.get(route, 0))
        for route, each in seen.items()
    )


def _is_bad_together(
    routes: Sequence[canary_data.Seen], rates: _Rates, lowest: float
) -> bool:
    score = sum(rates.score(each) for each in routes)
    if score < BAD_SCORE and score - lowest < TURNED_SCORE:
        return False
    by_instance: dict[str, canary_data.Answers] = {}
    for seen in routes:
        _add_answers(by_instance, seen.by_instance)
    if _is_one_server(by_instance):
        return False
    bad = sum(each.bad for each in by_instance.values())
    expected = sum(_count(_total(each)) * _rate(each.old) for each in routes)
    return bad > SAME_RATIO * expected


def _is_one_server(by_instance: dict[str, canary_data.Answers]) -> bool:
    """Tell whether what is bad is rather one server than its version."""
    bad = [each.bad for each in by_instance.values() if each.bad]
    if len(bad) != 1:
        return False
    others = sum(each.good for each in by_instance.values() if not each.bad)
    return others >= SOUND_ANSWERS or bad[0] < ALONE_FAILURES


def _total(seen: canary_data.Seen) -> canary_data.Answers:
    return canary_data.Answers(
        sum(each.good for each in seen.by_instance.values()),
        sum(each.bad for each in seen.by_instance.values()),
    )


def _count(answers: canary_data.Answers) -> int:
    return answers.good + answers.bad


def _rate(answers: canary_data.Answers) -> float:
    count = _count(answers)
    return answers.bad / count if count else 0


def _add(
    known: canary_data.Evidence, more: canary_data.Evidence
) -> canary_data.Evidence:
    _add_answers(known.answers, more.answers)
    for instance, works in more.new_times.items():
        _add_times(known.new_times.setdefault(instance, {}), works)
    _add_times(known.old_times, more.old_times)
    return known._replace(old=_plus(known.old, more.old))


def _add_answers(
    total: dict[str, canary_data.Answers],
    more: dict[str, canary_data.Answers],
) -> None:
    for instance, answers in more.items():
        before = total.get(instance, canary_data.Answers())
        total[instance] = _plus(before, answers)


def _plus(
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
