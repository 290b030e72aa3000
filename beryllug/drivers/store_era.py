"""The era of a store: the number of its restores from an older copy."""

from collections.abc import Callable

from beryllug.core import stamps
from beryllug.drivers import http_data, object_data

Listener = Callable[[int, int], None]
# Stores may count from any number; longer ones are none of 64 bits.
MAX_ERA_DIGITS = 20


class StoreEra:
    """Tracks the highest known era.

    Attributes:
        era: The era, 0 if none is known.
        on_changed: Called with each new era and the previous one.
        on_invalid: Called with each header value that is not an era.
    """

    def __init__(self) -> None:
        """Start without a known era."""
        self.era = 0
        self.on_changed: Listener = _ignore_change
        self.on_invalid: Callable[[str], None] = _ignore_unreadable

    def check_response(self, header: str) -> None:
        """Check the era header of a response; an empty one is ignored.

        Raises:
            UncertainError: The response is from an earlier era.
        """
        if not header:
            return
        if (
            not header.isascii()
            or not header.isdigit()
            or len(header) > MAX_ERA_DIGITS
        ):
            self.on_invalid(header)
            return
        if int(header) < self.era:
            raise object_data.UncertainError('an answer of an earlier era')
        self.advance(int(header))

    def stamp(self, revision: int) -> int:
        """Return the stamp of a revision in this era.

        Raises:
            ObjectApiError: The revision is out of range.
        """
        try:
            return stamps.stamp(self.era, revision)
        except ValueError as exc:
            raise object_data.ObjectApiError(
                f'unreadable answer: {exc}'
            ) from exc

    def advance(self, era: int) -> None:
        """Record an era that a response or another process reports."""
        previous = self.era
        if era > previous:
            self.era = era
            self.on_changed(era, previous)


def broken(
    exc: http_data.BrokenError, is_watch: bool
) -> object_data.ObjectApiError:
    """Return the error of a call whose answer broke off."""
    if is_watch and isinstance(exc, http_data.ExcessError):
        # The same changes would come again; a list comes in pages.
        return object_data.CompactedError(str(exc))
    return object_data.UncertainError(str(exc))


def _ignore_change(era: int, previous: int) -> None:
    """Default of `on_changed`."""


def _ignore_unreadable(header: str) -> None:
    """Default of `on_invalid`."""
