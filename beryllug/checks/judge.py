"""Judges the text of a document: its structure first, then its meaning.

It loads the structure's library, which costs a process some 10 MB. Whoever
runs long imports this module only when a document is to be judged.
"""

import json
from collections.abc import Mapping
from typing import Any

from beryllug.checks import validations
from beryllug.core import config_data, document_plain, finding
from beryllug.parsing import document

Findings = list[finding.Finding]
Judged = tuple[config_data.Document | None, Findings]


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a document."""
    return document.schema()


def judge(text: str | bytes, source: str) -> Judged:
    """Judge one document.

    Args:
        text: JSON, as text or as UTF-8.
        source: Its name, for the findings.

    Returns:
        The document and no findings, or None and every finding.
    """
    parsed, findings = document.parse(text, source)
    if parsed is None:
        return None, findings
    findings = validations.validate(parsed, source)
    return (None, findings) if findings else (parsed, [])


def judge_files(texts: Mapping[str, str], source: str) -> Judged:
    """Judge a document that is kept in several files.

    Each file has some sections; lists of the same section are joined in the
    order of the files' names.

    Args:
        texts: The text of each file, by its name.
        source: Name of the whole, for what concerns more than one file.
    """
    whole = config_data.Document()
    findings: Findings = []
    for name, text in sorted(texts.items()):
        parsed, found = document.parse(text, name)
        findings += found
        if parsed is not None:
            whole = _joined(whole, parsed)
    if findings:
        return None, findings
    # Judged as a whole once more: the bounds of size hold for the whole.
    return judge(json.dumps(document_plain.render(whole)), source)


def _joined(
    first: config_data.Document, second: config_data.Document
) -> config_data.Document:
    joined: dict[str, Any] = {
        section: getattr(first, section) + getattr(second, section)
        for section in first._fields
    }
    return config_data.Document(**joined)
