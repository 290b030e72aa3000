"""Validates the text of a document: its structure first, then its semantics.

This module imports pydantic, which costs a process about 10 MB. Long-running
processes import it only when a document has to be validated.
"""

import json
from collections.abc import Mapping
from typing import Any

from beryllug.checks import validations
from beryllug.core import config_data, document_plain, finding
from beryllug.parsing import document

Findings = list[finding.Finding]
ValidationResult = tuple[config_data.Document | None, Findings]


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a document."""
    return document.schema()


def judge(text: str | bytes, source: str) -> ValidationResult:
    """Parse and validate one document.

    Args:
        text: JSON, as text or as UTF-8.
        source: Name of the document, for the findings.

    Returns:
        The document and no findings, or None and every finding.
    """
    parsed, findings = document.parse(text, source)
    if parsed is None:
        return None, findings
    findings = validations.validate(parsed, source)
    return (None, findings) if findings else (parsed, [])


def judge_files(texts: Mapping[str, str], source: str) -> ValidationResult:
    """Parse and validate a document that is split into several files.

    Each file has some of the sections; lists of the same section are
    concatenated in the order of the file names.

    Args:
        texts: The text of each file, by file name.
        source: Name of the merged document, for its findings.
    """
    merged = config_data.Document()
    findings: Findings = []
    for name, text in sorted(texts.items()):
        parsed, file_findings = document.parse(text, name)
        findings += file_findings
        if parsed is not None:
            merged = _merge(merged, parsed)
    if findings:
        return None, findings
    # The merged document is validated again, since the size limits apply to it.
    return judge(json.dumps(document_plain.render(merged)), source)


def _merge(
    first: config_data.Document, second: config_data.Document
) -> config_data.Document:
    sections: dict[str, Any] = {
        section: getattr(first, section) + getattr(second, section)
        for section in first._fields
    }
    return config_data.Document(**sections)
