"""Records of requests that are suspected of crashing backend servers.

They are also sent between control processes, encoded by position, so fields
are only added at the end and with a default.
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
        cleared: Whether the request has been answered elsewhere since.
        together: Keys of the request that were suspects in that trial, where
            a request is known by several; empty for the request's own.
        lost_servers: Servers lost under the least suspected of these, this one
            included.
    """

    server_id: str
    version: str
    at: float
    trial_id: str = ''
    cleared: bool = False
    together: tuple[str, ...] = ()
    lost_servers: int = 0


class Trial(NamedTuple):
    """One run of a suspected request, on one server, to test it.

    Attributes:
        trial_id: Its id.
        server_id: The server.
        until: Wall-clock second by which it must have ended.
        ended: Whether it is known to have ended.
    """

    trial_id: str
    server_id: str
    until: float
    ended: bool = False


class SuspectNote(NamedTuple):
    """Losses and trials of one fingerprint; two notes can be merged."""

    fingerprint: str
    losses: tuple[Loss, ...] = ()
    trials: tuple[Trial, ...] = ()


class Notes(NamedTuple):
    """Notes that a control process sends to a peer.

    Attributes:
        notes: The notes.
        wants: Whether the peer should reply with its own.
    """

    notes: tuple[SuspectNote, ...] = ()
    wants: bool = False


class SegmentLoss(NamedTuple):
    """A backend server that was lost while a prompt segment ran on it.

    Attributes:
        server_id: The server.
        at: Second at which the run ended.
    """

    server_id: str
    at: float


SegmentLossTuple = tuple[SegmentLoss, ...]
SegmentLosses = dict[str, SegmentLossTuple]


@dataclass(slots=True)
class Table:
    """The notes of one process, by fingerprint.

    Attributes:
        notes: The notes.
        suspect_after: Lost servers after which a request is a suspect. With
            one, a request costs the fewest servers. With more, the others that
            ran on a lost server are sent on at once; where all that decide are
            peers, each trial of theirs is told to all.
        segment_losses: Servers lost under the keys of prompt segments, the
            oldest first; losses under trials are in their notes.
    """

    notes: dict[str, SuspectNote] = field(default_factory=dict)
    suspect_after: int = 1
    segment_losses: SegmentLosses = field(default_factory=dict)


class Verdict(StrEnum):
    """Decision on whether a request may run."""

    RUN = 'run'
    TRY = 'try'
    WAIT = 'wait'
    REFUSE = 'refuse'


class TrialRequest(NamedTuple):
    """Ask whether a suspected request may run on a server.

    Attributes:
        fingerprint: The request.
        server_id: The server that it would run on.
        trial_id: Id of the trial if there will be one; a retry sends the
            same id and gets the same answer.
        longest_s: Seconds by which the run must have ended.
        hops: Control processes that have forwarded the message.
        segments: Keys that the request shares with others, see
            `core.placement.suspect_keys`.
    """

    fingerprint: str
    server_id: str
    trial_id: str
    longest_s: float
    hops: int = 0
    segments: tuple[str, ...] = ()


class TrialReply(NamedTuple):
    """Decision on whether a suspected request may run.

    Attributes:
        verdict: The decision.
        retry_after_s: Seconds after which a retry may be decided otherwise.
    """

    verdict: Verdict
    retry_after_s: float = 0.0


class TrialEnd(NamedTuple):
    """A suspected request has ended without the loss of its server.

    Attributes:
        fingerprint: The request.
        trial_id: The trial, empty for a run that began before the request was
            suspected.
        answered: Whether the server sent a complete answer.
    """

    fingerprint: str
    trial_id: str
    answered: bool


class Crash(NamedTuple):
    """One loss of a server, merged from all reports of it."""

    server_id: str
    version: str
    at: float
    fingerprints: frozenset[str]


class Cause(StrEnum):
    """Cause of crashes."""

    POISON = 'poison_request'
    BAD_VERSION = 'bad_version'
    DYING_HOST = 'dying_host'
    UNCLEAR = 'unclear'


class SuspectsApplied(NamedTuple):
    """Confirms that an entry has applied the suspects of a view change.

    Attributes:
        entry: Name of the entry process with its start id.
        number: Number of the change at the control process.
    """

    entry: str
    number: int
