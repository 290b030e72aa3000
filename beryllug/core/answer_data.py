"""Messages about large answers that are kept in the platform."""

from typing import NamedTuple


class AnswerBody(NamedTuple):
    """A large answer to be kept in the platform.

    Attributes:
        name: Its day and request id, as the outcome row names it.
        body: The answer.
        found: Whether there is such an answer, in a reply.
    """

    name: str
    body: bytes
    found: bool = True


class AnswerKey(NamedTuple):
    """Ask for a kept answer by its name."""

    name: str
