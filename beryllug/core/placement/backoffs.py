"""Servers that want no request of this process for some seconds.

Each refusal that says so holds by itself: a later one with a shorter time, or
without one, does not end an earlier one, and a good answer does not either.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Backoffs:
    """Until when this process stays away from servers, by instance."""

    until: dict[str, float] = field(default_factory=dict)


def back_off(
    backoffs: Backoffs, instance: str, seconds: float, now: float
) -> bool:
    """Stay away from a server; returns whether it took requests until now."""
    before = backoffs.until.get(instance, now)
    backoffs.until[instance] = max(before, now + seconds)
    return before <= now


def left_s(backoffs: Backoffs, instance: str, now: float) -> float:
    """Return the seconds for which a server is left alone; 0 for none."""
    return max(backoffs.until.get(instance, now) - now, 0)


def forget(backoffs: Backoffs, now: float) -> None:
    """Forget what is over."""
    backoffs.until = {
        instance: until
        for instance, until in backoffs.until.items()
        if until > now
    }
