"""Whether a new version is bad, judged on the answers of the whole fleet.

A version that fails is told from a backend server that fails by where the
failures are: a bad version fails on each of its servers. A version that is
slow is told by the ratio of its times to the others' for the same work.
"""

import math
from collections.abc import Iterable

from beryllug.core.canary import canary_data

# A sequential test of "fails three in ten" against "fails three in a hundred".
# Two failures in a row reach the threshold; three among eight answers do, too.
BAD_RATE = 0.3
SOUND_RATE = 0.03
FAILURE_SCORE = math.log(BAD_RATE / SOUND_RATE)
SUCCESS_SCORE = math.log((1 - BAD_RATE) / (1 - SOUND_RATE))
BAD_SCORE = 4.5
# A server that fails while another of the same version has answered this many
# without a failure is at fault itself.
SOUND_ANSWERS = 5
# A slow version takes several times as long. Its servers begin with cold
# caches and other loads, which pace between events hardly shows.
SLOW_RATIO = 3.0
SLOW_ANSWERS = 6
# A version whose failures are fewer than so many times the others' fails for
# a reason that is not its own.
SAME_RATIO = 2.0


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
        _add_paces(total.new_pace, tally.new_pace)
        _add_paces(total.old_pace, tally.old_pace)
    return total


def is_bad(tally: canary_data.Tally) -> bool:
    """Tell whether the new version is to be taken back."""
    return _fails(tally) or slowdown(tally) > SLOW_RATIO


def judged(tally: canary_data.Tally) -> int:
    """Count the answers of the new version."""
    return sum(each.good + each.bad for each in tally.answers.values())


def _fails(tally: canary_data.Tally) -> bool:
    good = sum(each.good for each in tally.answers.values())
    bad = sum(each.bad for each in tally.answers.values())
    score = bad * FAILURE_SCORE + good * SUCCESS_SCORE
    if score < BAD_SCORE:
        return False
    failing = [each for each in tally.answers.values() if each.bad]
    sound = [
        each
        for each in tally.answers.values()
        if not each.bad and each.good >= SOUND_ANSWERS
    ]
    if len(failing) == 1 and sound:
        return False
    return bad / (good + bad) > SAME_RATIO * _rate(tally.old)


def _rate(answers: canary_data.Answers) -> float:
    count = answers.good + answers.bad
    return answers.bad / count if count else 0


def slowdown(tally: canary_data.Tally) -> float:
    """Return how many times as long the new version takes; 1 if unknown.

    The means of the logarithms are compared, work by work.
    """
    count = 0
    excess = 0.0
    for key, new in tally.new_pace.items():
        old = tally.old_pace.get(key)
        if old is None or not old.answers:
            continue
        count += new.answers
        excess += new.log_sum - new.answers * old.log_sum / old.answers
    if count < SLOW_ANSWERS:
        return 1
    slowed: float = 2 ** (excess / count)
    return slowed


def _plus(
    one: canary_data.Answers, other: canary_data.Answers
) -> canary_data.Answers:
    return canary_data.Answers(one.good + other.good, one.bad + other.bad)


def _add_paces(
    total: dict[str, canary_data.Pace], more: dict[str, canary_data.Pace]
) -> None:
    for key, pace in more.items():
        before = total.get(key, canary_data.Pace())
        total[key] = canary_data.Pace(
            before.answers + pace.answers, before.log_sum + pace.log_sum
        )
