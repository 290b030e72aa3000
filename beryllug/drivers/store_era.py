"""The era of a store: how often it has returned from an older copy."""

from collections.abc import Callable

from beryllug.drivers import object_data

Listener = Callable[[int, int], None]
# Eras are counted from one; a number with more digits is no count.
MOST_DIGITS = 6


class StoreEra:
    """Keeps the highest era that is known.

    Attributes:
        era: The era, 0 where none is known.
        on_changed: Told of each new era, with the one before.
        on_unreadable: Told of each answer whose era is no number.
    """

    def __init__(self) -> None:
        """Begin without an era."""
        self.era = 0
        self.on_changed: Listener = _pass_over
        self.on_unreadable: Callable[[str], None] = _pass_over_text

    def answered(self, told: str) -> None:
        """Take the era that an answer tells; without one nothing changes.

        Raises:
            UncertainError: The answer is of an era that is over.
        """
        if not told:
            return
        if not told.isascii() or not told.isdigit() or len(told) > MOST_DIGITS:
            self.on_unreadable(told)
            return
        if int(told) < self.era:
            raise object_data.UncertainError('an answer of an earlier era')
        self.learn(int(told))

    def learn(self, era: int) -> None:
        """Take an era that an answer, or another process, has told."""
        before = self.era
        if era > before:
            self.era = era
            self.on_changed(era, before)


def _pass_over(era: int, before: int) -> None:
    """Tell nobody of a new era."""


def _pass_over_text(told: str) -> None:
    """Tell nobody of what can't be read."""
