"""Probes: what one dispatch of a call says of the version it ran on."""

from typing import Protocol

from beryllug.core import evidence_book
from beryllug.entry import exposure


class Probe(Protocol):
    """Takes the start and the end of each attempt of a call."""

    def begin(self) -> None:
        """Count a dispatch."""

    def end(self, answer: evidence_book.Answer) -> None:
        """Take in how it ended."""

    def drop(self) -> None:
        """End it without saying anything of the version."""


class VersionObserver:
    """Tells the exposure service of attempts on one version."""

    def __init__(
        self,
        exposure_service: exposure.Exposure,
        subject: evidence_book.Subject,
    ) -> None:
        """Bind the service and what the attempts are about."""
        self._exposure = exposure_service
        self._subject = subject
        self._open = False

    def begin(self) -> None:
        """Count a dispatch."""
        self._open = True
        self._exposure.begin(self._subject)

    def end(self, answer: evidence_book.Answer) -> None:
        """Take in how the dispatch ended; once."""
        if self._open:
            self._open = False
            self._exposure.end(self._subject, answer)

    def drop(self) -> None:
        """End the dispatch, if it is open, without evidence."""
        if self._open:
            self._open = False
            self._exposure.drop(self._subject)


class NullObserver:
    """For plain services, which have no versions."""

    def begin(self) -> None:
        """Do nothing."""

    def end(self, answer: evidence_book.Answer) -> None:
        """Do nothing."""

    def drop(self) -> None:
        """Do nothing."""
