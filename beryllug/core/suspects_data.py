"""Records of requests that are suspected of crashing backend servers.

They travel between control processes too, so fields are only added at the
end and with a default.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Loss(NamedTuple):
    """A backend server that was lost while the request ran on it.

    Attributes:
        server_id: The server.
        version: Version that ran, as ``model@version``; empty for a plain
            service.
        at: Wall-clock second of the report.
        trial_id: Trial that ran then, empty for an ordinary run.
        cleared: Whether the request was answered elsewhere since.
    """

    server_id: str
    version: str
    at: float
    trial_id: str = ''
    cleared: bool = False


class Trial(NamedTuple):
    """A suspected request that may run again, once and on one server.

    Attributes:
        trial_id: Its id.
        server_id: The server.
        until: Wall-clock second by which it has ended in any case.
        ended: Whether it is known to have ended.
    """

    trial_id: str
    server_id: str
    until: float
    ended: bool = False


class Note(NamedTuple):
    """All that is known of one fingerprint; two notes can be merged."""

    fingerprint: str
    losses: tuple[Loss, ...] = ()
    trials: tuple[Trial, ...] = ()


class Notes(NamedTuple):
    """Notes that a control process tells a peer.

    Attributes:
        notes: The notes.
        wants: Whether the peer is to reply with its own.
    """

    notes: tuple[Note, ...] = ()
    wants: bool = False


@dataclass(slots=True)
class Table:
    """The notes of one process, by fingerprint."""

    notes: dict[str, Note] = field(default_factory=dict)


class Verdict(StrEnum):
    """What may be done with a request."""

    RUN = 'run'
    TRY = 'try'
    WAIT = 'wait'
    REFUSE = 'refuse'


class TrialAsk(NamedTuple):
    """Ask whether a suspected request may run on a server.

    Attributes:
        fingerprint: The request.
        server_id: Where it is to run.
        trial_id: Id of the trial if there is to be one; the same when the
            question is asked again, which is so answered alike.
        longest_s: Seconds by which the run ends in any case.
        hops: Control processes that have passed the question on.
    """

    fingerprint: str
    server_id: str
    trial_id: str
    longest_s: float
    hops: int = 0


class TrialReply(NamedTuple):
    """The verdict.

    Attributes:
        verdict: What may be done.
        retry_after_s: Seconds until asking again can help.
    """

    verdict: Verdict
    retry_after_s: float = 0.0


class TrialEnd(NamedTuple):
    """A suspected request has ended without the loss of its server.

    Attributes:
        fingerprint: The request.
        trial_id: The trial, empty for a run that began unsuspected.
        answered: Whether the server gave its whole answer.
    """

    fingerprint: str
    trial_id: str
    answered: bool


class Crash(NamedTuple):
    """One loss of a server, as the sum of the reports of it."""

    server_id: str
    version: str
    at: float
    fingerprints: frozenset[str]


class Cause(StrEnum):
    """What crashes are put down to."""

    POISON = 'poison_request'
    BAD_VERSION = 'bad_version'
    DYING_HOST = 'dying_host'
    UNCLEAR = 'unclear'


class Seen(NamedTuple):
    """An entry has taken the suspects of a change of the view.

    Attributes:
        entry: Start of the entry process.
        number: Number of the change at the control process.
    """

    entry: str
    number: int
