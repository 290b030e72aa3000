"""Whether a new version is bad, judged on the answers of the whole fleet.

A version that fails, or is slow, is told from a backend server that is by
where that happens: a bad version is bad on each of its servers. An answer is
slow if it took three times what the others' answers take for the same work; a
version may be slow for part of its requests only, which a mean would hide.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from beryllug.core.canary import canary_data

BAD_SCORE = 4.5
# A server that is bad while another of the same version has given this many
# answers without one that is, is at fault itself.
SOUND_ANSWERS = 5
# Bad answers of one server alone, while nothing is known of the others, that
# are taken for the version's: two may be the server's own.
ALONE_FAILURES = 3
# Steps of time above the others' median from which an answer is slow: three
# halves of a doubling, which is 2.8 times as long.
SLOW_STEPS = 3
# Times of the others without which nothing can be compared.
LEAST_TIMES = 10
# A version whose bad answers are fewer than so many times the others' is bad
# for a reason that is not its own.
SAME_RATIO = 2.0


class _Rates(NamedTuple):
    """Rates of bad answers that a sequential test tells apart."""

    bad: float
    sound: float

    def score(self, answers: canary_data.Answers) -> float:
        """Return the logarithm of the likelihood ratio."""
        per_bad = math.log(self.bad / self.sound)
        per_good = math.log((1 - self.bad) / (1 - self.sound))
        return answers.bad * per_bad + answers.good * per_good


# Two failures in a row reach the score; three among eight answers do, too.
FAILING = _Rates(3 / 10, 3 / 100)
# One answer in ten is slow by chance, on a busy or a cold server: four slow
# ones in a row reach the score, or six among ten.
SLOW = _Rates(4 / 10, 1 / 10)


def merge(tallies: Iterable[canary_data.Tally]) -> canary_data.Tally:
    """Add up the tallies of several processes."""
    total = canary_data.Tally()
    for tally in tallies:
        total.requests += tally.requests
        total.tried += tally.tried
        total.old = _plus(total.old, tally.old)
        for instance, answers in tally.answers.items():
            before = total.answers.get(instance, canary_data.Answers())
            total.answers[instance] = _plus(before, answers)
        for instance, works in tally.new_times.items():
            _add_times(total.new_times.setdefault(instance, {}), works)
        _add_times(total.old_times, tally.old_times)
    return total


def is_bad(tally: canary_data.Tally) -> bool:
    """Tell whether the new version is to be taken back."""
    if _is_version_bad(tally.answers, tally.old, FAILING):
        return True
    paced = slowness(tally)
    return _is_version_bad(paced.by_instance, paced.old, SLOW)


def judged(tally: canary_data.Tally) -> int:
    """Count the answers of the new version."""
    return sum(each.good + each.bad for each in tally.answers.values())


def slowness(tally: canary_data.Tally) -> canary_data.Slowness:
    """Return the answers in time and the slow ones, as good and bad."""
    limits = {
        work: _median(times) + SLOW_STEPS
        for work, times in tally.old_times.items()
        if sum(times.values()) >= LEAST_TIMES
    }
    by_instance = {
        instance: _split(works, limits)
        for instance, works in tally.new_times.items()
    }
    return canary_data.Slowness(by_instance, _split(tally.old_times, limits))


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
    by_instance: dict[str, canary_data.Answers],
    old: canary_data.Answers,
    rates: _Rates,
) -> bool:
    good = sum(each.good for each in by_instance.values())
    bad = sum(each.bad for each in by_instance.values())
    if rates.score(canary_data.Answers(good, bad)) < BAD_SCORE:
        return False
    failing = [each for each in by_instance.values() if each.bad]
    sound = [
        each
        for each in by_instance.values()
        if not each.bad and each.good >= SOUND_ANSWERS
    ]
    if len(failing) == 1 and (sound or bad < ALONE_FAILURES):
        return False
    return bad / (good + bad) > SAME_RATIO * _rate(old)


def _rate(answers: canary_data.Answers) -> float:
    count = answers.good + answers.bad
    return answers.bad / count if count else 0


def _plus(
    one: canary_data.Answers, other: canary_data.Answers
) -> canary_data.Answers:
    return canary_data.Answers(one.good + other.good, one.bad + other.bad)


def _add_times(
    total: dict[str, canary_data.Times],
    more: dict[str, canary_data.Times],
) -> None:
    for work, times in more.items():
        total[work] = dict(Counter(total.get(work, {})) + Counter(times))
