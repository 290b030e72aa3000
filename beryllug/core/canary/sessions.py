"""Which version each session runs on.

A process knows this only of sessions it has served, or was told of by peers.
A session that was last served elsewhere is sampled again by its id, which
gives the same version unless it began before the roll-out.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

# Maximum number of sessions kept; the least recent are dropped first.
MAX_SESSIONS = 20000
# Seconds added to a session's lifetime, since its caller counts from when it
# receives the answer.
LIFETIME_MARGIN_S = 1.0


class Pin(NamedTuple):
    """The version that a session ran on, and when it last did."""

    version: str
    seen_at: float


class SessionVersion(NamedTuple):
    """A session's version, as sent to peers."""

    service: str
    session: str
    version: str


@dataclass(slots=True)
class Sessions:
    """The versions that sessions ran on.

    Attributes:
        pins: Pins by service and session, the least recent first.
        untold: Session versions still to be sent to peers, in order.
    """

    pins: dict[tuple[str, str], Pin] = field(default_factory=dict)
    untold: dict[SessionVersion, None] = field(default_factory=dict)


def pinned(
    sessions: Sessions,
    service: str,
    session: str,
    session_s: float,
    now: float,
) -> str | None:
    """Return the version that a session runs on; None for a new one."""
    pin = sessions.pins.get((service, session))
    if pin is None or now - pin.seen_at > session_s + LIFETIME_MARGIN_S:
        return None
    return pin.version


def record_session_run(
    sessions: Sessions, service: str, session: str, version: str, now: float
) -> None:
    """Record that a request of a session ran, or is still running."""
    key = (service, session)
    sessions.pins.pop(key, None)
    sessions.pins[key] = Pin(version, now)
    while len(sessions.pins) > MAX_SESSIONS:
        sessions.pins.pop(next(iter(sessions.pins)))


def of_service(
    sessions: Sessions, service: str, session_s: float, now: float
) -> list[SessionVersion]:
    """Return the current sessions of a service."""
    return [
        SessionVersion(service, session, pin.version)
        for (each, session), pin in sessions.pins.items()
        if each == service
        and now - pin.seen_at <= session_s + LIFETIME_MARGIN_S
    ]


def tell(sessions: Sessions, most: int) -> list[SessionVersion]:
    """Remove and return the next session versions to send, up to a maximum."""
    batch = list(sessions.untold)[:most]
    for told in batch:
        sessions.untold.pop(told)
    return batch
