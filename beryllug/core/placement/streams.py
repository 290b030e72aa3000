"""What runs at each model runner, and what one more prompt costs it.

A runner reads a prompt in chunks between the tokens of all that it runs: while
it reads 50,000 tokens for its largest model, which takes four seconds, each of
its streams makes an event in a second and a half. And one whose places are all
taken puts the newest of the least urgent requests back for a more urgent one,
and reads its prompt again. So each process counts what it runs where, and the
processes tell one another.
"""

from dataclasses import dataclass, field

from beryllug.core.placement import load_sums

# Seconds of waiting that a second by which a running stream is delayed counts
# like: most are on time all the same.
DELAY_PART = 0.05
# Seconds after which one of sixteen places becomes free, at three to four
# seconds a stream.
PLACE_S = 0.25


@dataclass(slots=True)
class Streams:
    """What is known of the requests that runners have.

    Attributes:
        own: Requests of this process, by runner.
        others: What the other processes have.
    """

    own: dict[str, int] = field(default_factory=dict)
    others: load_sums.Others = field(default_factory=load_sums.Others)


def begin(streams: Streams, instance: str) -> None:
    """Count a request that is sent to a runner."""
    streams.own[instance] = streams.own.get(instance, 0) + 1


def end(streams: Streams, instance: str) -> None:
    """Count the end of a request at a runner."""
    left = streams.own.get(instance, 0) - 1
    if left > 0:
        streams.own[instance] = left
    else:
        streams.own.pop(instance, None)


def running(streams: Streams, instance: str, now: float) -> int:
    """Return the requests that a runner is taken to have."""
    told = load_sums.of(streams.others, instance, now).running
    return streams.own.get(instance, 0) + told


def cost_s(
    streams: Streams, instance: str, slots: int, read_s: float, now: float
) -> float:
    """Return the seconds that a prompt counts for what it does to others.

    Args:
        streams: What is known.
        instance: The runner.
        slots: Requests that it runs at once.
        read_s: Seconds for which it would read the prompt.
        now: The present second.
    """
    count = running(streams, instance, now)
    beyond = max(count + 1 - slots, 0)
    return count * read_s * DELAY_PART + beyond * PLACE_S
