"""Compares the answer times of a new version with those of the others."""

from beryllug.core.canary import canary_data

# Histogram buckets above the others' median from which an answer is slow. Two
# buckets are a doubling, so three are 2.8 times as long.
SLOW_STEPS = 3
# Answer times of the other versions needed for a comparison.
MIN_TIMES = 4


def pauses(seen: canary_data.Evidence) -> canary_data.Evidence:
    """Return the evidence of times that neither queues nor caches explain."""
    return seen._replace(
        new_times={
            instance: _only_pauses(works)
            for instance, works in seen.new_times.items()
        },
        old_times=_only_pauses(seen.old_times),
    )


def _only_pauses(
    works: dict[str, canary_data.Times],
) -> dict[str, canary_data.Times]:
    return {
        work: times
        for work, times in works.items()
        if work.startswith(canary_data.PACE)
    }


def slow_counts(
    seen: canary_data.Evidence, steps: int = SLOW_STEPS
) -> canary_data.Seen:
    """Return counts of timely and slow answers, as good and bad.

    Args:
        seen: The evidence of a route.
        steps: Histogram buckets above the others' median from which an answer
            is slow.
    """
    limits = {
        work: _median(times) + steps
        for work, times in seen.old_times.items()
        if sum(times.values()) >= MIN_TIMES
    }
    by_instance = {
        instance: _count_slow(works, limits)
        for instance, works in seen.new_times.items()
    }
    return canary_data.Seen(by_instance, _count_slow(seen.old_times, limits))


def _count_slow(
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
    half_count = sum(times.values()) / 2
    cumulative = 0
    for step in sorted(times):
        cumulative += times[step]
        if cumulative >= half_count:
            return step
    return 0
