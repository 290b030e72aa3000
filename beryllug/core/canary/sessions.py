"""Which version each session runs on.

Known only to the process that served it. A session that another process
served last is drawn anew by its id, which gives the same version unless it
had begun before the roll-out.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

# Sessions that are remembered at most; the oldest are forgotten first.
MOST = 20000
# Seconds beyond a session's own time, since its caller counts from when it
# has the answer.
MARGIN_S = 1.0


class Pin(NamedTuple):
    """The version that a session ran on, and when it did last."""

    version: str
    seen_at: float


class Told(NamedTuple):
    """A session's version, as processes tell one another."""

    service: str
    session: str
    version: str


@dataclass(slots=True)
class Sessions:
    """Which version sessions ran on.

    Attributes:
        pins: Pins by service and session, the least recent first.
        untold: What peers are still to be told of, once each.
    """

    pins: dict[tuple[str, str], Pin] = field(default_factory=dict)
    untold: dict[Told, None] = field(default_factory=dict)


def pinned(
    sessions: Sessions,
    service: str,
    session: str,
    session_s: float,
    now: float,
) -> str | None:
    """Return the version that a session runs on; None for a new one."""
    pin = sessions.pins.get((service, session))
    if pin is None or now - pin.seen_at > session_s + MARGIN_S:
        return None
    return pin.version


def ran(
    sessions: Sessions, service: str, session: str, version: str, now: float
) -> None:
    """Note that a request of a session ran, or goes on running."""
    key = (service, session)
    sessions.pins.pop(key, None)
    sessions.pins[key] = Pin(version, now)
    while len(sessions.pins) > MOST:
        sessions.pins.pop(next(iter(sessions.pins)))


def of_service(
    sessions: Sessions, service: str, session_s: float, now: float
) -> list[Told]:
    """Return the sessions of a service that go on."""
    return [
        Told(service, session, pin.version)
        for (each, session), pin in sessions.pins.items()
        if each == service and now - pin.seen_at <= session_s + MARGIN_S
    ]


def tell(sessions: Sessions, most: int) -> list[Told]:
    """Return some of what peers are to be told of; the rest comes next."""
    chosen = list(sessions.untold)[:most]
    for told in chosen:
        sessions.untold.pop(told)
    return chosen
