"""Findings: errors with their location.

Parsers and validations never stop at the first mistake. They return a list of
findings, so that an operator can correct a document or a settings file at once.
"""

from typing import NamedTuple


class Finding(NamedTuple):
    """One mistake in an input.

    Attributes:
        source: The file or document in which it is.
        path: Location in the source, such as ``accounts[2].allowed[0]`` or
            ``section.key``.
        reason: What is wrong and what would be correct.
    """

    source: str
    path: str
    reason: str


def describe(finding: Finding) -> str:
    """Format a finding as one line."""
    return f'{finding.source}: {finding.path}: {finding.reason}'
