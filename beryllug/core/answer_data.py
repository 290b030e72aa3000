"""Messages about large answers that are stored in the platform."""

from typing import NamedTuple


class AnswerBody(NamedTuple):
    """A large answer to be stored in the platform.

    Attributes:
        name: Its day and request id, as stored in the outcome row.
        body: The answer.
        found: In a reply, whether the answer exists.
    """

    name: str
    body: bytes
    found: bool = True


class AnswerKey(NamedTuple):
    """A request for a stored answer by its name."""

    name: str
