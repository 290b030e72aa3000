"""Records of the command-line tool, and its exit codes."""

from enum import IntEnum
from typing import Any, NamedTuple


class Exit(IntEnum):
    """Exit codes. Scripts rely on them, so their meaning never changes."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNCERTAIN = 5


class Outcome(NamedTuple):
    """Result of a command.

    Attributes:
        code: The exit code.
        report: The complete result as plain data, for ``--json``.
        lines: The result as text lines.
    """

    code: Exit
    report: Any
    lines: tuple[str, ...]


class Target(NamedTuple):
    """Addresses and key of the operators' interface.

    Attributes:
        addresses: ``ip:port`` of control processes, in order of preference.
        key: An operators' key.
    """

    addresses: tuple[str, ...]
    key: str


def failure(code: Exit, error: str, message: str) -> Outcome:
    """Return the outcome of a command that did not succeed."""
    report = {'error': error, 'message': message}
    return Outcome(code, report, (f'{error}: {message}',))
