"""The view: a consistent snapshot of the state that an entry routes by.

Control processes send its parts to the entries. A view is never changed in
place, so a decision reads one consistent state.
"""

from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data


class ServerState(StrEnum):
    """State of a backend server in the host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class BackendServer(NamedTuple):
    """A backend server in the platform's host list.

    Attributes:
        server_id: Stable name of the server.
        address: ``ip:port`` to which requests are sent.
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
    """Load that a model engine reported; always somewhat outdated.

    Attributes:
        server_id: The server that reported it.
        running: Requests in its batch.
        queued: Requests that are waiting for a slot in the batch.
        reported_at: When it was measured, in seconds of the wall clock.
        loaded: Model versions that it has loaded.
    """

    server_id: str
    running: int
    queued: int
    reported_at: float
    loaded: tuple[config_data.VersionRef, ...] = ()


class Verdict(StrEnum):
    """Result of the evaluation of a roll-out's candidate."""

    RUNNING = 'running'
    PROMOTED = 'promoted'
    STOPPED = 'stopped'


class RolloutStatus(NamedTuple):
    """State of one roll-out, stored in the platform.

    Attributes:
        model: The model that is rolled out.
        candidate: The version that is being rolled out.
        stage: Index into the stages of the declared roll-out.
        verdict: Whether it is running, was promoted or was stopped as bad.
        judged: Number of evaluated answers of the candidate.
        reason: Reason for the verdict, for operators.
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
    """All data that routing uses besides its own counts.

    Attributes:
        revision: Revision of the accepted document; it never decreases.
        document: The accepted document.
        rollouts: State of each roll-out.
        servers: Backend servers in the host list.
        loads: Reported loads.
    """

    revision: int
    document: config_data.Document
    rollouts: tuple[RolloutStatus, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    loads: tuple[ServerLoad, ...] = ()


EMPTY_VIEW = View(0, config_data.Document())
