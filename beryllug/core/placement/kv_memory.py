"""Tokens that requests hold in the KV cache of each model runner.

Load handled: long prompts that fill a KV cache before all slots are in use. A
runner without room preempts the newest of its least urgent requests and
prefills it again later, and one that holds more than its memory crashes. Each
process counts the tokens of its requests by runner, from when they are sent
until they end, and the processes share the counts.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from beryllug.core.placement import backlog, load_sums

# Fraction of the capacity that requests may hold. The rest covers the counts
# that others have not reported, and answers that are longer than expected.
USABLE_FRACTION = 0.85
# A process reports a runner where it holds at least this fraction of a cache.
# Each unreported request holds less, so 64 of them, one in each slot, hold less
# than an eighth.
MIN_REPORTED_FRACTION = 0.002
# Tokens of one unit in reports: most counts take two bytes.
TOKENS_PER_UNIT = 16
# Reports of more tokens are absurd: no runner holds a tenth of this.
MAX_TOKENS = 20_000_000


@dataclass(slots=True)
class Memory:
    """Known use of the KV caches of runners.

    Attributes:
        own: Tokens of requests of this process, by runner.
        others: Sums reported by the other processes.
        capacities: Capacity of each runner of a service in tokens, by service.
        invalid_reports: How many reported sums were left out as absurd.
    """

    own: dict[str, int] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)
    capacities: Mapping[str, int] = field(default_factory=dict)
    invalid_reports: int = 0


def begin(state: Memory, instance: str, tokens: int) -> None:
    """Count the tokens of a request that is sent to a runner."""
    state.own[instance] = state.own.get(instance, 0) + tokens


def end(state: Memory, instance: str, tokens: int) -> None:
    """Count the end of a request at a runner."""
    left = state.own.get(instance, 0) - tokens
    if left > 0:
        state.own[instance] = left
    else:
        state.own.pop(instance, None)


def used(state: Memory, instance: str, now: float) -> int:
    """Return the tokens that requests of all processes hold at a runner."""
    own = state.own.get(instance, 0)
    remote = load_sums.remote_subject_load(
        state.others, _subject(instance), now
    )
    if remote is None:
        return own
    tokens = remote.summed * TOKENS_PER_UNIT
    if not 0 <= tokens <= MAX_TOKENS:
        state.invalid_reports += 1
        return own
    return own + tokens


def has_room(
    state: Memory, instance: str, capacity: int, tokens: int, now: float
) -> bool:
    """Return whether a request fits in the KV cache of a runner.

    A runner that holds nothing has room for any request, and one that is larger
    than the capacity is not held back, since the runner refuses it itself.

    Args:
        state: The known use of KV caches.
        instance: The runner.
        capacity: Its capacity in tokens; 0 if it is not known.
        tokens: Tokens that the request will hold.
        now: The present second.
    """
    if capacity <= 0 or tokens > capacity:
        return True
    held = used(state, instance, now)
    return not held or held + tokens <= capacity * USABLE_FRACTION


def held_tokens(prompt: backlog.Prompt, tokens_out: int, part: float) -> int:
    """Return the tokens that a request holds beyond what others hold.

    Requests with the same shared part hold it once. It counts for a request to
    the extent that its runner has yet to prefill it.

    Args:
        prompt: Its prompt.
        tokens_out: Expected tokens of its answer.
        part: Fraction of the shared tokens that the runner has to prefill.
    """
    return prompt.own_tokens + tokens_out + round(part * prompt.shared_tokens)


def reported(state: Memory) -> dict[str, load_sums.Load]:
    """Return the counts of this process by subject, to report to others."""
    least = MIN_REPORTED_FRACTION * min(state.capacities.values(), default=0)
    return {
        _subject(instance): load_sums.Load(summed=tokens // TOKENS_PER_UNIT)
        for instance, tokens in state.own.items()
        if state.capacities and tokens >= least
    }


def _subject(instance: str) -> str:
    return f'kv of {instance}'
