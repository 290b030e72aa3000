"""Findings: errors that carry the place they come from.

Parsers and validations never stop at the first mistake. They return a list
of findings, so that an operator mends a document or a settings file once.
"""

from typing import NamedTuple


class Finding(NamedTuple):
    """One mistake in an input.

    Attributes:
        source: The file or document in which it stands.
        path: Where in the source, as ``accounts[2].allowed[0]`` or
            ``section.key``.
        reason: What is wrong and what would be right.
    """

    source: str
    path: str
    reason: str


def describe(finding: Finding) -> str:
    """Render a finding as one line for a person."""
    return f'{finding.source}: {finding.path}: {finding.reason}'
