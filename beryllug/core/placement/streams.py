"""Running requests at each model runner, and the cost of one more prompt.

A runner prefills a prompt in chunks between the tokens of all running requests:
while it prefills 50,000 tokens for its largest model, which takes four seconds,
each of its streams gets one event in a second and a half. A runner without a
free slot preempts the newest of the least urgent requests for a more urgent one
and prefills its prompt again later. So each process counts its running requests
by runner, and the processes share the counts.
"""

from dataclasses import dataclass, field

from beryllug.core.placement import load_sums

# Seconds of waiting that one second of delay of a running stream counts as:
# most delayed streams are on time all the same.
DELAY_WEIGHT = 0.05
# Seconds until one of sixteen slots becomes free, at three to four seconds a
# stream.
SLOT_WAIT_S = 0.25


@dataclass(slots=True)
class Streams:
    """Known running requests at runners.

    Attributes:
        own: Requests of this process, by runner.
        others: Loads reported by the other processes.
    """

    own: dict[str, int] = field(default_factory=dict)
    others: load_sums.RemoteLoads = field(default_factory=load_sums.RemoteLoads)


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
    """Return the estimated number of running requests at a runner."""
    remote = load_sums.remote_load(streams.others, instance, now).running
    return streams.own.get(instance, 0) + remote


def cost_s(
    streams: Streams, instance: str, slots: int, read_s: float, now: float
) -> float:
    """Return the cost of a prompt to the other requests, in seconds.

    Args:
        streams: Known running requests.
        instance: The runner.
        slots: Requests that it runs at once.
        read_s: Seconds for which it would prefill the prompt.
        now: The present second.
    """
    count = running(streams, instance, now)
    excess = max(count + 1 - slots, 0)
    return count * read_s * DELAY_WEIGHT + excess * SLOT_WAIT_S
