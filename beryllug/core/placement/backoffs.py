"""Servers that asked this process to send no requests for some seconds.

Each refusal with a retry time counts separately: neither a later refusal with a
shorter time or none, nor a successful answer, ends an earlier one.

A server that is overloaded for a moment asks every process that it refused to
stay away for seconds, and so do the other servers of its service. If no other
server is left, each is therefore sent one request within the time it asked for.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Backoff:
    """The back-off of one server.

    Attributes:
        until: Second at which the latest back-off ends.
        seconds: The longest time requested since the back-off began.
        probed_at: When it was last sent a request during the back-off.
    """

    until: float
    seconds: float
    probed_at: float = float('-inf')


@dataclass(slots=True)
class Backoffs:
    """Back-offs that servers have requested of this process, by instance."""

    asked: dict[str, Backoff] = field(default_factory=dict)


def back_off(
    backoffs: Backoffs, instance: str, seconds: float, now: float
) -> bool:
    """Start or extend a back-off; returns whether the server had none."""
    until = now + seconds
    known = backoffs.asked.get(instance)
    if known is None or known.until <= now:
        backoffs.asked[instance] = Backoff(until, seconds)
        return True
    known.until = max(known.until, until)
    known.seconds = max(known.seconds, seconds)
    return False


def left_s(backoffs: Backoffs, instance: str, now: float) -> float:
    """Return the seconds that are left of a server's back-off; 0 for none."""
    known = backoffs.asked.get(instance)
    return max(known.until - now, 0) if known else 0


def may_probe(backoffs: Backoffs, instance: str, now: float) -> bool:
    """Tell whether a server in back-off may be sent one request."""
    known = backoffs.asked.get(instance)
    return known is None or now - known.probed_at >= known.seconds


def sent(backoffs: Backoffs, instance: str, now: float) -> None:
    """Record that a server is sent a request."""
    known = backoffs.asked.get(instance)
    if known is not None:
        known.probed_at = now


def backing_off_s(backoffs: Backoffs, now: float) -> dict[str, float]:
    """Return the seconds left of each active back-off, by instance."""
    return {
        instance: known.until - now
        for instance, known in backoffs.asked.items()
        if known.until > now
    }


def forget(backoffs: Backoffs, now: float) -> None:
    """Remove back-offs that have ended."""
    backoffs.asked = {
        instance: known
        for instance, known in backoffs.asked.items()
        if known.until > now
    }
