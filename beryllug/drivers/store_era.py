"""The era of a store: the number of its restores from an older copy."""

from collections.abc import Callable

from beryllug.drivers import object_data

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

    def advance(self, era: int) -> None:
        """Record an era that a response or another process reports."""
        previous = self.era
        if era > previous:
            self.era = era
            self.on_changed(era, previous)


def _ignore_change(era: int, previous: int) -> None:
    """Default of `on_changed`."""


def _ignore_unreadable(header: str) -> None:
    """Default of `on_invalid`."""
