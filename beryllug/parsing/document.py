"""Configuration documents: JSON to `config_data.Document`.

Every finding carries its path. A document of the right structure may still
make no sense; that is judged by `checks.validations`.
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


class _RepeatedError(ValueError):
    """An object has a field twice."""


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
        return None, [_whole(source, f'is larger than {MAX_BYTES} bytes')]
    try:
        json.loads(text, object_pairs_hook=_refuse_repeats)
    except (ValueError, RecursionError) as exc:
        return None, [_whole(source, f'is no JSON document: {exc}')]
    try:
        model = document_model.Document.model_validate_json(text)
    except pydantic.ValidationError as exc:
        return None, _findings(exc, source)
    return document_plain.build(model.model_dump()), []


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a document."""
    return document_model.Document.model_json_schema()


def _whole(source: str, reason: str) -> finding.Finding:
    return finding.Finding(source, 'document', reason)


def _refuse_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Refuse a field that stands twice, of which readers take either one."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        listed = ', '.join(twice)
        raise _RepeatedError(f'a field stands twice in an object: {listed}')
    return fields


def _findings(exc: pydantic.ValidationError, source: str) -> Findings:
    """Turn the library's errors into findings, each with its path."""
    errors = exc.errors(include_url=False, include_input=False)
    inside = {error['loc'][:-depth] for error in errors for depth in (1, 2)}
    found = [
        finding.Finding(source, _path(error['loc']), error['msg'])
        for error in errors
        # A list is counted without its broken items, so it seems too short
        # when its only item has a finding of its own.
        if error['type'] != TOO_SHORT or error['loc'] not in inside
    ]
    more = len(found) - MAX_FINDINGS
    if more > 0:
        return [*found[:MAX_FINDINGS], _whole(source, f'has {more} more')]
    return found


def _path(location: tuple[str | int, ...]) -> str:
    path = ''
    for step in location:
        if isinstance(step, int):
            path = f'{path}[{step}]'
        else:
            path = f'{path}.{step}' if path else step
    return path or 'document'
