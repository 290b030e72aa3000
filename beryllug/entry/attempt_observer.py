"""Observers that turn attempts into evidence on a version."""

from typing import Protocol

from beryllug.core import evidence_book
from beryllug.entry import exposure


class AttemptObserver(Protocol):
    """Receives the start and the end of each attempt of a call."""

    def begin(self) -> None:
        """Count a dispatch."""

    def end(self, answer: evidence_book.Answer) -> None:
        """Record the result of a dispatch."""

    def drop(self) -> None:
        """End a dispatch without evidence on the version."""


class VersionObserver:
    """Reports attempts on one version to the exposure service."""

    def __init__(
        self,
        exposure_service: exposure.Exposure,
        subject: evidence_book.Subject,
    ) -> None:
        """Initialize for the version and account of the attempts."""
        self._exposure = exposure_service
        self._subject = subject
        self._open = False

    def begin(self) -> None:
        """Count a dispatch."""
        self._open = True
        self._exposure.begin(self._subject)

    def end(self, answer: evidence_book.Answer) -> None:
        """Record the result of the open dispatch, once."""
        if self._open:
            self._open = False
            self._exposure.end(self._subject, answer)

    def drop(self) -> None:
        """End the open dispatch, if any, without evidence."""
        if self._open:
            self._open = False
            self._exposure.drop(self._subject)


class NullObserver:
    """Does nothing, for plain services, which have no versions."""

    def begin(self) -> None:
        """Do nothing."""

    def end(self, answer: evidence_book.Answer) -> None:
        """Do nothing."""

    def drop(self) -> None:
        """Do nothing."""
