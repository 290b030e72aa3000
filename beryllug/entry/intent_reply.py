"""Replies of the journal for a call that may run only once."""

from dataclasses import dataclass

from beryllug.core import journal_data, refusal


@dataclass(frozen=True, slots=True)
class MayRun:
    """The intent is granted: the call may run once."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The first try of the call has ended.

    Attributes:
        row: The outcome of the first try.
    """

    row: journal_data.Row


@dataclass(frozen=True, slots=True)
class Unfinished:
    """The first try has no outcome: it is running or its entry host was lost.

    Attributes:
        request_id: Id of the first try.
        refused: Error for the client if the answer can not be recovered.
    """

    request_id: str
    refused: refusal.Refusal


IntentReply = MayRun | Finished | Unfinished
