"""The view: what an entry process knows of the world at one moment.

Control processes push whole views to entries. A view is never changed in
place, so a decision reads one consistent state.
"""

from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data


class ServerState(StrEnum):
    """State of a backend server by the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class BackendServer(NamedTuple):
    """A backend server, as the platform's host list shows it.

    Attributes:
        server_id: Stable name of the server.
        address: ``ip:port`` to which requests go.
        zone: Availability zone.
        pool: Name of the pool it belongs to.
        state: Live or leaving.
    """

    server_id: str
    address: str
    zone: str
    pool: str
    state: ServerState


class ServerLoad(NamedTuple):
    """Load that a model engine reported, always some time ago.

    Attributes:
        server_id: The server that reported.
        running: Requests in its batch.
        queued: Requests that wait for a place in the batch.
        reported_at: When it was measured, in seconds of the wall clock.
        loaded: Versions that it has loaded.
    """

    server_id: str
    running: int
    queued: int
    reported_at: float
    loaded: tuple[config_data.VersionRef, ...] = ()


class Verdict(StrEnum):
    """Judgement on the candidate of a roll-out."""

    RUNNING = 'running'
    PROMOTED = 'promoted'
    STOPPED = 'stopped'


class RolloutStatus(NamedTuple):
    """State of one roll-out, kept in the platform.

    Attributes:
        model: The model that is rolled out.
        candidate: The version it is about.
        stage: Index into the stages of the declared roll-out.
        verdict: Whether it runs, was promoted or was stopped as bad.
        judged: Answers of the candidate that were judged so far.
        reason: Why the verdict fell, for operators.
        version: Version of its record in the platform; higher is newer.
    """

    model: str
    candidate: str
    stage: int
    verdict: Verdict
    judged: int = 0
    reason: str = ''
    version: int = 0


class View(NamedTuple):
    """All that routing reads besides its own counts.

    Attributes:
        revision: Revision of the accepted document; it only ever rises.
        document: The accepted document.
        rollouts: State of each roll-out.
        servers: Backend servers by the host list.
        loads: Reported loads.
    """

    revision: int
    document: config_data.Document
    rollouts: tuple[RolloutStatus, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    loads: tuple[ServerLoad, ...] = ()


EMPTY_VIEW = View(0, config_data.Document())
