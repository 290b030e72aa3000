"""Messages between the processes of the fleet.

They are encoded as MessagePack arrays, so fields are only added at the end
and with a default.
"""

from typing import NamedTuple

from beryllug.core import (
    config_data,
    config_state,
    journal_data,
    view_data,
)


class ViewRequest(NamedTuple):
    """An entry asks its control process for the view and its changes."""

    entry: str
    zone: str


class Suspect(NamedTuple):
    """A request that is suspected of crashing backend servers.

    Attributes:
        fingerprint: Hash of account and body.
        crashes: Backend servers lost while it ran there.
        until: Wall-clock second until which this record is valid.
        refused: Whether it is refused; else it needs a trial before it runs.
        trial_server: Server on which its trial may be running, or empty.
    """

    fingerprint: str
    crashes: int
    until: float
    refused: bool = False
    trial_server: str = ''


class TokenKey(NamedTuple):
    """A key that signs session tokens; the first of the list signs."""

    key_id: str
    secret: bytes


class ViewUpdate(NamedTuple):
    """A change of the view; None marks a part that is unchanged.

    A receiver accepts `document` only with a higher `revision` than its own,
    so a stale control process cannot revert it.

    Attributes:
        revision: Revision of the configuration the sender has.
        document: The accepted document.
        rollouts: State of every rollout.
        servers: Backend servers of the host list.
        loads: Loads reported by engines.
        suspects: Requests suspected of crashing servers.
        token_keys: Keys for session tokens.
        budgets: Share of this entry in each candidate's exposure budget.
        accept: False when the control process has been cut off from both
            the platform and its peers for too long.
        sent_at: Wall-clock second at the sender.
        number: Number of the change at the sender; a receiver confirms it
            after applying suspects.
    """

    revision: int
    document: config_data.Document | None = None
    rollouts: tuple[view_data.RolloutStatus, ...] | None = None
    servers: tuple[view_data.BackendServer, ...] | None = None
    loads: tuple[view_data.ServerLoad, ...] | None = None
    suspects: tuple[Suspect, ...] | None = None
    token_keys: tuple[TokenKey, ...] | None = None
    budgets: tuple['ExposureShare', ...] | None = None
    accept: bool = True
    sent_at: float = 0.0
    number: int = 0


class ExposureShare(NamedTuple):
    """An entry's share of a candidate's exposure budget.

    Attributes:
        version: The candidate.
        total: Maximum of answers by this entry since it started; it never
            decreases, so a duplicate message grants nothing twice.
    """

    version: config_data.VersionRef
    total: int


class IntentBatch(NamedTuple):
    """Intents that an entry sends to be made durable, in order."""

    rows: tuple[journal_data.Row, ...]
    hops: int = 0


class GrantBatch(NamedTuple):
    """One grant for each intent of the batch, in its order."""

    grants: tuple[journal_data.Grant, ...]


class OutcomeBatch(NamedTuple):
    """Outcomes and session rows that an entry sends to be made durable."""

    rows: tuple[journal_data.Row, ...]
    hops: int = 0


class Ack(NamedTuple):
    """For each row of a batch whether it is durable."""

    durable: tuple[bool, ...]


class LookupRequest(NamedTuple):
    """Ask a shard's owner for the latest row of a kind under a key."""

    account_id: str
    shard_key: str
    kind: journal_data.RowKind
    hops: int = 0


class LookupReply(NamedTuple):
    """The row, if there is one; `available` False if no owner answered."""

    row: journal_data.Row | None
    available: bool = True


class CrashReport(NamedTuple):
    """A backend server was lost while these requests ran on it.

    Attributes:
        entry: Name of the entry process.
        server_id: The server.
        version: Version of the run that broke, None for a plain service.
        fingerprints: Requests of this entry that ran there.
        at: Wall-clock second.
        tried: Fingerprint of the request whose trial ran there, or empty.
        trial_id: Id of that trial.
    """

    entry: str
    server_id: str
    version: config_data.VersionRef | None
    fingerprints: tuple[str, ...]
    at: float
    tried: str = ''
    trial_id: str = ''


class VersionEvidence(NamedTuple):
    """Counts of one version's answers since the entry's last report.

    Attributes:
        version: The version.
        account_id: The client account.
        answers: Answers returned to callers.
        errors: Answers that failed because of the version.
        late: Answers that missed their target.
        rated: Answers whose rating has arrived.
        rating_sum: Sum of these ratings, each from 0 to 1.
        low_ratings: Ratings below the minimum rating of the rollout.
        crashes: Answers that ended because their backend server was lost;
            counted among the errors too.
        unrated: Answers without failure that will not be rated: no rating
            was requested, or the entry stopped waiting for it.
        moved: Sessions that were moved off this version.
        running: Requests that run on this version at the time of the
            report; a gauge, not a count since the last report.
    """

    version: config_data.VersionRef
    account_id: str
    answers: int
    errors: int
    late: int
    rated: int = 0
    rating_sum: float = 0.0
    low_ratings: int = 0
    crashes: int = 0
    unrated: int = 0
    moved: int = 0
    running: int = 0


class EvidenceReport(NamedTuple):
    """An entry's evidence; `sequence` removes duplicate reports.

    Attributes:
        entry: Name of the entry process and its start id, so that a
            restarted one begins a new sequence and new shares.
        sequence: Grows by one with each report; a report is sent again
            unchanged until it is acknowledged.
        counts: Counts by version and account since the last report.
        braked: Candidates that this entry has stopped using by itself.
    """

    entry: str
    sequence: int
    counts: tuple[VersionEvidence, ...]
    braked: tuple[config_data.VersionRef, ...] = ()


class Empty(NamedTuple):
    """A message without content."""

    ok: bool = True


class ConfigPart(NamedTuple):
    """One part of a document, under its digest.

    Attributes:
        digest: Digest of its whole bytes.
        content: Its bytes, or their delta from the base.
        base: Digest of the base part, or empty.
    """

    digest: str
    content: bytes
    base: str = ''


class ConfigOffer(NamedTuple):
    """The configuration that a control process holds, offered to a peer.

    The reply to an offer is the peer's own offer, without parts.

    Attributes:
        address: Address of the sender, for requests of missing parts.
        revision: The revision it holds, 0 for none.
        manifest: Digest of its list of parts.
        splice: The difference from the previous list, with a change.
        parts: The parts that are new in it.
        keys_version: Version of the session keys it holds.
        keys: These keys, if the sender expects the peer not to have them.
    """

    address: str
    revision: int = 0
    manifest: str = ''
    splice: config_state.Splice | None = None
    parts: tuple[ConfigPart, ...] = ()
    keys_version: int = 0
    keys: bytes = b''


class PartsRequest(NamedTuple):
    """Ask a peer for parts by their digests."""

    digests: tuple[str, ...]


class PartsReply(NamedTuple):
    """The requested parts that the peer holds, up to a size limit."""

    parts: tuple[ConfigPart, ...]


class ProcessStatus(NamedTuple):
    """Status of one process of the fleet.

    Attributes:
        name: Its name.
        role: Entry or control.
        zone: Its availability zone.
        revision: Revision active there; for an entry the last one sent.
        accepts: Whether it allows entries to accept new requests.
        state: ``live``, or why its status is unknown.
        host: Its entry host, where known.
    """

    name: str
    role: str
    zone: str
    revision: int = 0
    accepts: bool = False
    state: str = 'live'
    host: str = ''


class StatusReply(NamedTuple):
    """A control process and the entries that are connected to it."""

    processes: tuple[ProcessStatus, ...]


class RolloutState(NamedTuple):
    """State of one rollout, from the process that controls it.

    Attributes:
        version: Version of its record in the platform; a higher one is newer.
        status: Its status for entries and operators.
        budgets: Maximum of answers in total, by start of an entry process.
    """

    version: int
    status: view_data.RolloutStatus
    budgets: dict[str, int]


class RolloutRequest(NamedTuple):
    """Ask the process that controls a rollout for its state."""

    model: str


class RolloutReply(NamedTuple):
    """The state; None if the receiver does not control the rollout."""

    state: RolloutState | None
