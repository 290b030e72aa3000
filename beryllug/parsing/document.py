"""Parses configuration documents: JSON to `config_data.Document`.

Every finding carries its path. Only the structure is checked here; the
semantic rules are checked by `checks.validations`.
"""

import json
from typing import Any

import pydantic

from beryllug.core import config_data, document_plain, finding
from beryllug.parsing import document_model

Findings = list[finding.Finding]
MAX_BYTES = 4194304
MAX_FINDINGS = 1000
TOO_SHORT = 'too_short'


class _DuplicateFieldError(ValueError):
    """An object has a duplicate field."""


def parse(
    text: str | bytes, source: str
) -> tuple[config_data.Document | None, Findings]:
    """Parse the text of a document.

    Args:
        text: JSON, as text or as UTF-8.
        source: Name of the document, for the findings.

    Returns:
        The document and no findings, or None and the findings.
    """
    if len(text) > MAX_BYTES:
        return None, [
            _document_finding(source, f'is larger than {MAX_BYTES} bytes')
        ]
    try:
        json.loads(text, object_pairs_hook=_reject_duplicate_fields)
    except (ValueError, RecursionError) as exc:
        return None, [_document_finding(source, f'is no JSON document: {exc}')]
    try:
        model = document_model.Document.model_validate_json(text)
    except pydantic.ValidationError as exc:
        return None, _to_findings(exc, source)
    return document_plain.build(model.model_dump()), []


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a document."""
    return document_model.Document.model_json_schema()


def _document_finding(source: str, reason: str) -> finding.Finding:
    return finding.Finding(source, 'document', reason)


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Reject duplicate fields, since JSON parsers differ in which one wins."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        listed = ', '.join(duplicates)
        raise _DuplicateFieldError(
            f'a field stands twice in an object: {listed}'
        )
    return fields


def _to_findings(exc: pydantic.ValidationError, source: str) -> Findings:
    """Convert pydantic errors to findings, each with its path."""
    errors = exc.errors(include_url=False, include_input=False)
    with_nested_errors = {
        error['loc'][:-depth] for error in errors for depth in (1, 2)
    }
    findings = [
        finding.Finding(source, _path(error['loc']), error['msg'])
        for error in errors
        # Pydantic doesn't count invalid items, so a list also counts as too
        # short when its only item has a finding of its own.
        if error['type'] != TOO_SHORT or error['loc'] not in with_nested_errors
    ]
    omitted = len(findings) - MAX_FINDINGS
    if omitted > 0:
        return [
            *findings[:MAX_FINDINGS],
            _document_finding(source, f'has {omitted} more'),
        ]
    return findings


def _path(location: tuple[str | int, ...]) -> str:
    path = ''
    for key in location:
        if isinstance(key, int):
            path = f'{path}[{key}]'
        else:
            path = f'{path}.{key}' if path else key
    return path or 'document'
