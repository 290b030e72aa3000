"""Estimated queueing time of a prompt at each model runner.

A runner prefills prompts one after the other, between the decoding steps of its
running requests; prefilling a long prompt takes seconds on a large model. Load
reports of runners cost money and arrive late, so each process counts the
prompts that it has sent and that have no answer yet, in seconds of prefill, and
shares the count with the other processes. Without this, one runner of five was
10 s behind while others were idle.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core.placement import load_sums, server_speeds

# Backlogs below this many seconds are not reported to other processes.
MIN_REPORTED_S = 0.1
# Seconds to prefill a token before anything was measured; the measured value
# replaces it within a few answers.
INITIAL_PACE_S = 0.00003
# Weights of one answer in the learned pace. The pace is that of an idle runner,
# so a faster answer counts for more than a slower one, which has been queued.
FASTER_WEIGHT = 0.3
SLOWER_WEIGHT = 0.02
LEAST_TOKENS = 500
# Weight of one answer in the mean decoding pace; single answers differ widely
# from the expected length.
DECODE_WEIGHT = 0.1
# Number of preceding tokens that doubles the cost of prefilling a token:
# attention looks back at all of them.
DOUBLE_COST_TOKENS = 24000
# Seconds for which a runner is assumed to keep a processed prompt in its cache.
KEPT_S = 30.0
# Fraction of a shared prompt that its preferred runner is assumed to have left
# to prefill although this process has not sent it there: other processes prefer
# the same runner for it.
PREFERRED_UNCACHED_FRACTION = 0.25
MAX_CACHED_PROMPTS = 4000
# Fraction of the learned prefill time that a prompt takes at least; in the rest
# nothing may be prefilled, although the pace is that of the fastest answers.
MIN_PREFILL_FRACTION = 0.5
# A runner's speed is learned only from prompts that found a queue of at most
# this fraction of their own work.
MAX_QUEUED_FRACTION = 0.1


class Prompt(NamedTuple):
    """The prompt of one attempt, as a model runner has to process it.

    Attributes:
        model: The model.
        shared: Identifies the parts that other requests share.
        shared_tokens: Tokens in the shared parts.
        own_tokens: Tokens that only this request has.
        is_priority: Whether runners process it with priority over prompts
            without this flag.
    """

    model: str
    shared: str
    shared_tokens: int
    own_tokens: int
    is_priority: bool = False

    @property
    def key(self) -> str:
        """Return the cache key of its shared part; caches are by model."""
        return f'{self.model},{self.shared}'


class Item(NamedTuple):
    """A prompt that was sent and whose answer has not begun.

    Attributes:
        prompt: The prompt.
        tokens: Expected cost in tokens.
        work_s: Expected seconds of prefill at its runner.
        sent_at: When it was sent.
        speed_tokens: Cost from which the runner's speed is learned; 0 if the
            prompt found a queue or the runner may lack its shared part. The
            preferred runner of a shared part has it: others send it there, too.
    """

    prompt: Prompt
    tokens: float
    work_s: float
    sent_at: float
    speed_tokens: float = 0


class Part(NamedTuple):
    """One process's estimate of a runner's backlog.

    Attributes:
        work_s: Seconds of unfinished prefill that the process has sent.
        overdue_s: Seconds by which its most delayed prompt is overdue, from a
            backlog that nobody reported or a slow runner. All processes observe
            the same delay, so it is not summed over them.
        priority_work_s: `work_s` of priority prompts only.
        priority_overdue_s: `overdue_s` of priority prompts only.
    """

    work_s: float
    overdue_s: float
    priority_work_s: float = 0
    priority_overdue_s: float = 0


NOTHING = Part(0, 0)


class Expected(NamedTuple):
    """When a runner is expected to begin its answer to a prompt.

    Attributes:
        wait_s: Seconds of prefill queued before the prompt.
        read_s: Seconds of prefill of the prompt itself.
        preempted_s: Seconds of queued prefill that the prompt overtakes.
        uncached_fraction: Fraction of the shared tokens that the runner has to
            prefill.
    """

    wait_s: float
    read_s: float
    preempted_s: float = 0
    uncached_fraction: float = 1

    @property
    def first_s(self) -> float:
        """Return the seconds until the answer begins (time to first token)."""
        return self.wait_s + self.read_s


NEVER = Expected(math.inf, math.inf)


@dataclass(slots=True)
class Backlog:
    """What this process knows of the pending prefill work of runners.

    Attributes:
        items: Prompts of this process without an answer yet, by runner and item
            number.
        others: Loads reported by the other processes.
        read_at: When a runner last processed a prompt, as far as known.
        paces: Seconds to prefill a token, by model.
        decode_paces: Seconds to decode an expected token, by model.
        number: Number of the last item.
        speeds: Known speeds of the runners; None if all count as equal.
    """

    items: dict[str, dict[int, Item]] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)
    read_at: dict[tuple[str, str], float] = field(default_factory=dict)
    paces: dict[str, float] = field(default_factory=dict)
    decode_paces: dict[str, float] = field(default_factory=dict)
    number: int = 0
    speeds: server_speeds.Speeds | None = None


def begin(
    backlog: Backlog,
    instance: str,
    prompt: Prompt,
    now: float,
    *,
    is_preferred: bool,
) -> int:
    """Record a prompt that is sent to a runner; returns its item number."""
    uncached = uncached_fraction(
        backlog, instance, prompt, now, is_preferred=is_preferred
    )
    tokens = prefill_tokens(prompt, uncached)
    work_s = (
        tokens * pace(backlog, prompt.model) * _factor(backlog, instance, now)
    )
    is_learned = backlog.speeds is not None and (
        (uncached < 1 or prompt.shared_tokens == 0)
        and wait_s(backlog, instance, now) <= MAX_QUEUED_FRACTION * work_s
    )
    speed_tokens = prefill_tokens(prompt, 0) if is_learned else 0
    backlog.number += 1
    items = backlog.items.setdefault(instance, {})
    items[backlog.number] = Item(prompt, tokens, work_s, now, speed_tokens)
    return backlog.number


def answer_began(
    backlog: Backlog, instance: str, number: int, now: float
) -> None:
    """Record that a runner has begun to answer, so prefill is complete."""
    item = backlog.items.get(instance, {}).get(number)
    if item is None:
        return
    if backlog.speeds is None:
        _learn_pace(backlog, item, now - item.sent_at)
    else:
        _update_speed(backlog, backlog.speeds, instance, item, now)
    key = (instance, item.prompt.key)
    backlog.read_at.pop(key, None)
    backlog.read_at[key] = now
    while len(backlog.read_at) > MAX_CACHED_PROMPTS:
        backlog.read_at.pop(next(iter(backlog.read_at)))
    end(backlog, instance, number)


def end(backlog: Backlog, instance: str, number: int) -> None:
    """Remove an item for which the runner has nothing left to prefill."""
    items = backlog.items.get(instance)
    if items is None:
        return
    items.pop(number, None)
    if not items:
        backlog.items.pop(instance)


def first_s(
    backlog: Backlog,
    instance: str,
    prompt: Prompt,
    now: float,
    *,
    is_preferred: bool,
) -> float:
    """Return the seconds until a runner is expected to answer a prompt."""
    return expected(
        backlog, instance, prompt, now, is_preferred=is_preferred
    ).first_s


def expected(
    backlog: Backlog,
    instance: str,
    prompt: Prompt,
    now: float,
    *,
    is_preferred: bool,
) -> Expected:
    """Return when a runner is expected to answer a prompt."""
    uncached = uncached_fraction(
        backlog, instance, prompt, now, is_preferred=is_preferred
    )
    read_s = (
        prefill_tokens(prompt, uncached)
        * pace(backlog, prompt.model)
        * _factor(backlog, instance, now)
    )
    ordinary_s, priority_s = _queue_waits_s(backlog, instance, now)
    if prompt.is_priority:
        return Expected(
            priority_s, read_s, max(ordinary_s - priority_s, 0), uncached
        )
    return Expected(ordinary_s, read_s, 0, uncached)


def wait_s(
    backlog: Backlog, instance: str, now: float, *, is_first: bool = False
) -> float:
    """Return the seconds of prefill queued at a runner before a prompt.

    Priority prompts wait only for one another. If they were assumed to wait for
    the whole queue, they would leave their zone, and the runner that caches
    their shared part, for runners where they begin no sooner.
    """
    ordinary_s, priority_s = _queue_waits_s(backlog, instance, now)
    return priority_s if is_first else ordinary_s


def _queue_waits_s(
    backlog: Backlog, instance: str, now: float
) -> tuple[float, float]:
    """Return the waits of an ordinary prompt and of a priority prompt."""
    own = own_backlog(backlog, instance, now)
    remote = load_sums.remote_load(backlog.others, instance, now)
    overdue_s = max(own.overdue_s, remote.overdue_cs / load_sums.UNITS)
    priority_overdue_s = max(
        own.priority_overdue_s, remote.priority_overdue_cs / load_sums.UNITS
    )
    return (
        own.work_s + remote.work_cs / load_sums.UNITS + overdue_s,
        own.priority_work_s
        + remote.priority_work_cs / load_sums.UNITS
        + priority_overdue_s,
    )


def own_backlog(backlog: Backlog, instance: str, now: float) -> Part:
    """Return this process's share of a runner's backlog."""
    pending = backlog.items.get(instance)
    if not pending:
        return NOTHING
    items = pending.values()
    priority = [item for item in items if item.prompt.is_priority]
    return Part(*_remaining_s(items, now), *_remaining_s(priority, now))


def reported(backlog: Backlog, now: float) -> dict[str, Part]:
    """Return this process's share of the backlogs, to report to others.

    Work that ends before another process's next choice is left out: it would be
    nearly half of all that processes report to one another on a calm day.
    """
    parts = {
        instance: own_backlog(backlog, instance, now)
        for instance in backlog.items
    }
    return {
        instance: part
        for instance, part in parts.items()
        if part.work_s + part.overdue_s >= MIN_REPORTED_S
    }


def record_decode(
    backlog: Backlog, model: str, tokens_out: int, seconds: float
) -> None:
    """Learn from the time between the first and last event of an answer."""
    if not tokens_out:
        return
    measured = seconds / tokens_out
    learned = backlog.decode_paces.get(model, measured)
    backlog.decode_paces[model] = learned + DECODE_WEIGHT * (measured - learned)


def write_s(backlog: Backlog, model: str, tokens_out: int) -> float:
    """Return the expected seconds between an answer's first and last event."""
    return tokens_out * backlog.decode_paces.get(model, 0)


def min_first_s(backlog: Backlog, prompt: Prompt) -> float:
    """Return a lower bound of the seconds until an answer begins.

    It assumes that nothing is queued and that all shared tokens are cached. The
    decoding time is left out: its pace is learned under load, and a caller with
    less time than that was served by a runner that had nothing else to do.
    """
    return (
        MIN_PREFILL_FRACTION * prompt.own_tokens * pace(backlog, prompt.model)
    )


def pace(backlog: Backlog, model: str) -> float:
    """Return the seconds that a model takes to prefill a token."""
    return backlog.paces.get(model, INITIAL_PACE_S)


def uncached_fraction(
    backlog: Backlog,
    instance: str,
    prompt: Prompt,
    now: float,
    *,
    is_preferred: bool,
) -> float:
    """Return the fraction of the shared tokens that a runner must prefill."""
    read_at = backlog.read_at.get((instance, prompt.key))
    if read_at is not None and now - read_at < KEPT_S:
        return 0
    return PREFERRED_UNCACHED_FRACTION if is_preferred else 1


def _factor(backlog: Backlog, instance: str, now: float) -> float:
    if backlog.speeds is None:
        return 1.0
    return server_speeds.factor(backlog.speeds, instance, now)


def _remaining_s(items: Iterable[Item], now: float) -> tuple[float, float]:
    """Return the remaining work of some items and their largest delay."""
    work_s = 0.0
    overdue_s = 0.0
    for item in items:
        age_s = now - item.sent_at
        work_s += max(item.work_s - age_s, 0)
        overdue_s = max(overdue_s, age_s - item.work_s)
    return round(work_s, 2), round(overdue_s, 2)


def prefill_tokens(prompt: Prompt, part: float) -> float:
    """Return the cost of a prompt at a runner, in tokens.

    Tokens far into a long prompt cost more, by the tokens they attend to.

    Args:
        prompt: The prompt.
        part: Fraction of its shared tokens that the runner has to prefill.
    """
    uncached = prompt.own_tokens + part * prompt.shared_tokens
    total = prompt.own_tokens + prompt.shared_tokens
    mean_position = total - uncached / 2
    return uncached * (1 + mean_position / DOUBLE_COST_TOKENS)


def _learn_pace(backlog: Backlog, item: Item, took_s: float) -> None:
    if item.tokens < LEAST_TOKENS:
        return
    measured = took_s / item.tokens
    learned = backlog.paces.get(item.prompt.model, measured)
    weight = FASTER_WEIGHT if measured < learned else SLOWER_WEIGHT
    backlog.paces[item.prompt.model] = learned + weight * (measured - learned)


def _update_speed(
    backlog: Backlog,
    speeds: server_speeds.Speeds,
    instance: str,
    item: Item,
    now: float,
) -> None:
    """Learn the runner's speed, and the model's pace at a mean runner."""
    took_s = now - item.sent_at
    pace_s = backlog.paces.get(item.prompt.model)
    remote = load_sums.remote_load(backlog.others, instance, now)
    # What others have sent is known a moment later: also what was sent before
    # this prompt and had not been reported then.
    queued_s = (remote.work_cs + remote.overdue_cs) / load_sums.UNITS
    is_unqueued = queued_s <= MAX_QUEUED_FRACTION * item.work_s
    if pace_s and is_unqueued and item.speed_tokens >= LEAST_TOKENS:
        expected_s = item.speed_tokens * pace_s
        server_speeds.record(speeds, instance, expected_s, took_s, now)
    speeds.answers += 1
    relative = server_speeds.factor(speeds, instance, now)
    _learn_pace(backlog, item, took_s / relative)
