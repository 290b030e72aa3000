"""Servers that want no request of this process for some seconds.

Each refusal that says so holds by itself: a later one with a shorter time, or
without one, does not end an earlier one, and a good answer does not either.

A server that was full for a moment asks every process that it refused to stay
away for seconds, and so do its like. Where no other server is left, each of
them is therefore sent one request in the time that it has asked for.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Backoff:
    """What one server has asked for.

    Attributes:
        until: Second at which the latest time is over.
        seconds: The longest time that was asked for since the first one.
        probed_at: When it was last sent a request meanwhile.
    """

    until: float
    seconds: float
    probed_at: float = float('-inf')


@dataclass(slots=True)
class Backoffs:
    """What servers have asked this process for, by instance."""

    asked: dict[str, Backoff] = field(default_factory=dict)


def back_off(
    backoffs: Backoffs, instance: str, seconds: float, now: float
) -> bool:
    """Stay away from a server; returns whether it took requests until now."""
    until = now + seconds
    known = backoffs.asked.get(instance)
    if known is None or known.until <= now:
        backoffs.asked[instance] = Backoff(until, seconds)
        return True
    known.until = max(known.until, until)
    known.seconds = max(known.seconds, seconds)
    return False


def left_s(backoffs: Backoffs, instance: str, now: float) -> float:
    """Return the seconds for which a server is left alone; 0 for none."""
    known = backoffs.asked.get(instance)
    return max(known.until - now, 0) if known else 0


def may_probe(backoffs: Backoffs, instance: str, now: float) -> bool:
    """Tell whether a server that is left alone may be sent one request."""
    known = backoffs.asked.get(instance)
    return known is None or now - known.probed_at >= known.seconds


def sent(backoffs: Backoffs, instance: str, now: float) -> None:
    """Take that a server is sent a request."""
    known = backoffs.asked.get(instance)
    if known is not None:
        known.probed_at = now


def backing_off_s(backoffs: Backoffs, now: float) -> dict[str, float]:
    """Return the seconds that are left, by instance."""
    return {
        instance: known.until - now
        for instance, known in backoffs.asked.items()
        if known.until > now
    }


def forget(backoffs: Backoffs, now: float) -> None:
    """Forget what is over."""
    backoffs.asked = {
        instance: known
        for instance, known in backoffs.asked.items()
        if known.until > now
    }
