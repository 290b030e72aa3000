"""What the journal says of a call that may run only once."""

from dataclasses import dataclass

from beryllug.core import journal_data, refusal


@dataclass(frozen=True, slots=True)
class MayRun:
    """It may run now, once."""


@dataclass(frozen=True, slots=True)
class Finished:
    """Its first try has ended.

    Attributes:
        row: The outcome of the first try.
    """

    row: journal_data.Row


@dataclass(frozen=True, slots=True)
class Unfinished:
    """Its first try has no outcome: it runs, or its entry host was lost.

    Attributes:
        request_id: Id of the first try.
        refused: What the caller is told unless the answer can be found.
    """

    request_id: str
    refused: refusal.Refusal


Begun = MayRun | Finished | Unfinished
