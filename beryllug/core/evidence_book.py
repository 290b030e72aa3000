"""An entry host's buffer of evidence that was not reported yet.

One report is in flight at a time. It is resent unchanged until it is
acknowledged, and new events are counted for the next one. So the size of the
buffer is bounded by the versions and accounts, however long the control
processes are unreachable, and a report whose acknowledgement was lost is
counted once.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from beryllug.core import config_data, rpc_data


class Subject(NamedTuple):
    """Key of a count: a version and a client account."""

    version: config_data.VersionRef
    account_id: str


class Answer(NamedTuple):
    """The outcome of an answer.

    Attributes:
        failed: The version caused a failure, including a lost server.
        late: It missed its latency target.
        crashed: Its backend server was lost.
    """

    failed: bool = False
    late: bool = False
    crashed: bool = False


@dataclass(slots=True)
class EvidenceBuffer:
    """The unreported evidence of one entry process.

    Attributes:
        entry: Name of the process and of its start.
        sequence: Sequence number of the last report.
        pending: The report that is not acknowledged yet.
        counts: Counts for the next report.
        running: Requests in flight.
    """

    entry: str
    sequence: int = 0
    pending: rpc_data.EvidenceReport | None = None
    counts: dict[Subject, rpc_data.VersionEvidence] = field(
        default_factory=dict
    )
    running: dict[Subject, int] = field(default_factory=dict)


def start(book: EvidenceBuffer, subject: Subject) -> None:
    """Count a dispatched request."""
    book.running[subject] = book.running.get(subject, 0) + 1


def end(book: EvidenceBuffer, subject: Subject, answer: Answer) -> None:
    """Count an answer; a `start` is followed by one `end` or `drop`."""
    _stop_running(book, subject)
    counts = _counts(book, subject)
    book.counts[subject] = counts._replace(
        answers=counts.answers + 1,
        errors=counts.errors + answer.failed,
        late=counts.late + answer.late,
        crashes=counts.crashes + answer.crashed,
    )


def drop(book: EvidenceBuffer, subject: Subject) -> None:
    """Discard a started request that is no evidence about the version.

    The caller disconnected, or the server refused the request without running
    it.
    """
    _stop_running(book, subject)


def rate(
    book: EvidenceBuffer, subject: Subject, rating: float, min_rating: float
) -> None:
    """Count a rating, from 0 to 1, of an answer that was counted before."""
    counts = _counts(book, subject)
    book.counts[subject] = counts._replace(
        rated=counts.rated + 1,
        rating_sum=counts.rating_sum + rating,
        low_ratings=counts.low_ratings + (rating < min_rating),
    )


def skip_rating(book: EvidenceBuffer, subject: Subject) -> None:
    """Count a successful answer that will not be rated."""
    counts = _counts(book, subject)
    book.counts[subject] = counts._replace(unrated=counts.unrated + 1)


def move(book: EvidenceBuffer, subject: Subject) -> None:
    """Count a session that was moved to another version."""
    counts = _counts(book, subject)
    book.counts[subject] = counts._replace(moved=counts.moved + 1)


def report(
    book: EvidenceBuffer, braked: tuple[config_data.VersionRef, ...]
) -> rpc_data.EvidenceReport:
    """Return the report to send: the unacknowledged one, or a new one."""
    if book.pending is not None:
        return book.pending
    book.sequence += 1
    subjects = {**book.counts, **book.running}
    book.pending = rpc_data.EvidenceReport(
        entry=book.entry,
        sequence=book.sequence,
        counts=tuple(
            _counts(book, subject)._replace(
                running=book.running.get(subject, 0)
            )
            for subject in sorted(subjects)
        ),
        braked=braked,
    )
    book.counts = {}
    return book.pending


def acknowledge(book: EvidenceBuffer, sequence: int) -> None:
    """Record that the report with this sequence number was received."""
    if book.pending is not None and book.pending.sequence == sequence:
        book.pending = None


def _stop_running(book: EvidenceBuffer, subject: Subject) -> None:
    left = book.running.get(subject, 0) - 1
    if left > 0:
        book.running[subject] = left
    else:
        book.running.pop(subject, None)


def _counts(book: EvidenceBuffer, subject: Subject) -> rpc_data.VersionEvidence:
    found = book.counts.get(subject)
    if found is not None:
        return found
    return rpc_data.VersionEvidence(
        subject.version, subject.account_id, answers=0, errors=0, late=0
    )
