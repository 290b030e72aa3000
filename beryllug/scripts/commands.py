"""Implements the commands of the command-line tool."""

import json
import pathlib
import uuid
from collections.abc import Callable, Mapping
from typing import Any

from beryllug.checks import judge
from beryllug.core import document_plain, finding, record_codec
from beryllug.scripts import cli_data, cli_render, operator_link

GET = 'GET'
POST = 'POST'
PATTERN = '*.json'

Render = Callable[[dict[str, Any]], tuple[str, ...]]


async def validate(path: str) -> cli_data.Outcome:
    """Validate a document locally, without any other process.

    Args:
        path: A file, or a directory whose files are its sections.
    """
    validated = _read_document(path)
    if isinstance(validated, cli_data.Outcome):
        return validated
    report: dict[str, Any] = {'findings': []}
    return cli_data.Outcome(cli_data.Exit.DONE, report, ('no findings',))


async def compare(target: cli_data.Target, path: str) -> cli_data.Outcome:
    """Show how a document differs from the active one."""
    body = _read_document(path)
    if isinstance(body, cli_data.Outcome):
        return body
    request = operator_link.OperatorRequest(POST, '/v1/diff', body=body)
    return await _call(target, request, _render_diff)


async def apply(
    target: cli_data.Target, path: str, query: Mapping[str, str]
) -> cli_data.Outcome:
    """Activate a document.

    Args:
        target: The operators' interface.
        path: A file, or a directory whose files are its sections.
        query: Expected revision, author and apply id.
    """
    body = _read_document(path)
    if isinstance(body, cli_data.Outcome):
        return body
    request = operator_link.OperatorRequest(
        POST, '/v1/config', _with_apply_id(query), body
    )
    return await _call(target, request, _render_applied)


async def edit(
    target: cli_data.Target,
    path: str,
    query: Mapping[str, str],
    body: Any = None,
) -> cli_data.Outcome:
    """Apply a named change to the active document.

    Args:
        target: The operators' interface.
        path: Path of the change, as ``/v1/withdraw``.
        query: Parameters of the change, author and apply id.
        body: Further data of the change, sent as JSON.
    """
    raw = b'' if body is None else json.dumps(body).encode()
    request = operator_link.OperatorRequest(
        POST, path, _with_apply_id(query), raw
    )
    return await _call(target, request, _render_applied)


async def show(target: cli_data.Target, revision: str) -> cli_data.Outcome:
    """Show the active document, or a stored revision."""
    query = {'revision': revision} if revision else {}
    request = operator_link.OperatorRequest(GET, '/v1/config', query)
    return await _call(target, request, cli_render.document)


async def history(target: cli_data.Target) -> cli_data.Outcome:
    """Show who applied the last revisions, and when."""
    request = operator_link.OperatorRequest(GET, '/v1/config/history')
    return await _call(target, request, cli_render.history)


async def status(target: cli_data.Target) -> cli_data.Outcome:
    """Show all known processes and backend servers."""
    request = operator_link.OperatorRequest(GET, '/v1/status')
    return await _call(target, request, cli_render.status)


async def usage(target: cli_data.Target) -> cli_data.Outcome:
    """Show the billed usage."""
    request = operator_link.OperatorRequest(GET, '/v1/usage')
    return await _call(target, request, cli_render.usage)


async def dump(target: cli_data.Target) -> cli_data.Outcome:
    """Show the whole state of one process."""
    request = operator_link.OperatorRequest(GET, '/dump')
    return await _call(target, request, cli_render.plain_data)


async def _call(
    target: cli_data.Target,
    request: operator_link.OperatorRequest,
    render: Render,
) -> cli_data.Outcome:
    reply = await operator_link.call(target, request)
    if reply.code is cli_data.Exit.DONE:
        return cli_data.Outcome(reply.code, reply.body, render(reply.body))
    lines = cli_render.refusal(reply.body)
    return cli_data.Outcome(reply.code, reply.body, lines)


def _read_document(path: str) -> bytes | cli_data.Outcome:
    """Read and validate a document; return an outcome if it is invalid."""
    source = pathlib.Path(path)
    try:
        texts = _read_files(source)
    except (OSError, UnicodeDecodeError) as exc:
        return cli_data.failure(cli_data.Exit.INVALID, 'unreadable', str(exc))
    parsed, findings = judge.judge_files(texts, path)
    if parsed is None:
        return _invalid(findings)
    return json.dumps(document_plain.render(parsed)).encode()


def _read_files(source: pathlib.Path) -> dict[str, str]:
    """Read the files of a document; return their texts by path."""
    files = sorted(source.glob(PATTERN)) if source.is_dir() else [source]
    if not files:
        raise FileNotFoundError(f'{source} has no {PATTERN}')
    return {
        str(source_file): source_file.read_text(encoding='utf-8')
        for source_file in files
    }


def _invalid(findings: list[finding.Finding]) -> cli_data.Outcome:
    body = {
        'error': 'invalid',
        'message': 'refused whole; mend all findings',
        'findings': record_codec.to_plain(tuple(findings)),
    }
    lines = cli_render.refusal(body)
    return cli_data.Outcome(cli_data.Exit.INVALID, body, lines)


def _with_apply_id(query: Mapping[str, str]) -> dict[str, str]:
    """Add an apply id, so that the change can be repeated with the same id."""
    non_empty = {name: text for name, text in query.items() if text}
    return {'apply_id': uuid.uuid4().hex, **non_empty}


def _render_applied(body: dict[str, Any]) -> tuple[str, ...]:
    return (f'revision {body["revision"]} is in force',)


def _render_diff(body: dict[str, Any]) -> tuple[str, ...]:
    lines = cli_render.differences(body['differences'])
    revision = body['revision']
    return lines or (f'no difference from revision {revision}',)
