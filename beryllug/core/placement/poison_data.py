"""Records of server losses and of the requests that they are attributed to."""

from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import suspects_data
from beryllug.core.placement import segment_losses, suspect_keys

# Server losses after which a request is a suspect. Most requests that share a
# server with one that crashes it are not on the next one, too.
SUSPECT_AFTER = 2
# Seconds between the end of a run and the latest detection that its server is
# gone: the platform drops an entry after three missed heartbeats of 1.2 s.
DETECTED_WITHIN_S = 6.0
NEVER = float('-inf')


class Loss(NamedTuple):
    """A server that was lost while a request ran on it."""

    fingerprint: str
    instance: str


class EndedRun(NamedTuple):
    """A run of a request on a server that ended without an answer.

    Attributes:
        at: Second at which it ended.
        trial_id: The trial that it was; empty for an ordinary run.
        segments: Keys of the segments of its prompt.
        tried: Keys that were suspects in that trial.
    """

    at: float
    trial_id: str = ''
    segments: suspect_keys.Keys = ()
    tried: suspect_keys.Keys = ()


class AttributedLoss(NamedTuple):
    """A lost server, and a key of a request that ran there shortly before.

    Attributes:
        fingerprint: The key.
        instance: The server.
        run: The run; with the trial only if that accuses the key.
    """

    fingerprint: str
    instance: str
    run: EndedRun


class Attribution(NamedTuple):
    """What a lost server is attributed to.

    Attributes:
        found: Losses under requests, and under segments that a trial accuses.
        segments: The loss under all other segments of these requests.
    """

    found: list[AttributedLoss]
    segments: segment_losses.LostServer


class Accusation(NamedTuple):
    """A lost trial: one of its keys at least is what crashed the server.

    Attributes:
        trial_id: The trial.
        keys: The accused keys.
        instance: The server.
        lost_servers: Servers lost under the least suspected of the keys.
        ago_s: Seconds since the run ended.
    """

    trial_id: str
    keys: suspect_keys.Keys
    instance: str
    lost_servers: int
    ago_s: float


def _new_table() -> suspects_data.Table:
    return suspects_data.Table(suspect_after=SUSPECT_AFTER)


@dataclass(slots=True)
class Crashers:
    """Server losses that are attributed to requests, in this process's time.

    Attributes:
        ended: Runs without an answer, by instance and fingerprint.
        answered: Seconds of the last answers by key, oldest first.
        lost: Servers that were lost, with the second.
        table: Losses and trials by key.
        untold: Keys whose note has changed and is not reported to peers.
        vouched: Keys that peers suspect, and that this process saw answered.
        untold_lost: Lost servers whose segments are not reported to peers.
        untold_answered: Segments that were suspects until they were answered
            here, which is not reported to peers.
        vouched_segments: Segments under which peers lost servers, and that
            this process saw answered.
    """

    ended: dict[str, dict[str, EndedRun]] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    lost: dict[str, float] = field(default_factory=dict)
    table: suspects_data.Table = field(default_factory=_new_table)
    untold: dict[str, None] = field(default_factory=dict)
    vouched: dict[str, None] = field(default_factory=dict)
    untold_lost: list[segment_losses.LostServer] = field(default_factory=list)
    untold_answered: dict[str, None] = field(default_factory=dict)
    vouched_segments: dict[str, None] = field(default_factory=dict)
