"""Records of the command-line tool, and its exit codes."""

from enum import IntEnum
from typing import Any, NamedTuple


class Exit(IntEnum):
    """Exit codes; scripts rely on them, so they never change meaning."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNCERTAIN = 5


class Outcome(NamedTuple):
    """How a command ended.

    Attributes:
        code: The exit code.
        report: All of it as plain data, for ``--json``.
        lines: The same for a person.
    """

    code: Exit
    report: Any
    lines: tuple[str, ...]


class Target(NamedTuple):
    """Where the operators' interface is, and the key for it.

    Attributes:
        addresses: ``ip:port`` of control processes, in order of preference.
        key: An operators' key.
    """

    addresses: tuple[str, ...]
    key: str


def failure(code: Exit, word: str, message: str) -> Outcome:
    """Make the outcome of a command that did not succeed."""
    report = {'error': word, 'message': message}
    return Outcome(code, report, (f'{word}: {message}',))
