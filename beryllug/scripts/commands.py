"""What the command-line tool can do, without the command line."""

import json
import pathlib
import uuid
from collections.abc import Callable, Mapping
from typing import Any

from beryllug.checks import judge
from beryllug.core import document_plain, finding, plain
from beryllug.scripts import cli_data, cli_render, operator_link

GET = 'GET'
POST = 'POST'
PATTERN = '*.json'

Render = Callable[[dict[str, Any]], tuple[str, ...]]


async def validate(path: str) -> cli_data.Outcome:
    """Judge a document, without any other process.

    Args:
        path: A file, or a directory whose files are its sections.
    """
    judged = _read(path)
    if isinstance(judged, cli_data.Outcome):
        return judged
    report: dict[str, Any] = {'findings': []}
    return cli_data.Outcome(cli_data.Exit.DONE, report, ('no findings',))


async def compare(target: cli_data.Target, path: str) -> cli_data.Outcome:
    """Tell how a document differs from the one in force."""
    body = _read(path)
    if isinstance(body, cli_data.Outcome):
        return body
    ask = operator_link.Ask(POST, '/v1/diff', body=body)
    return await _call(target, ask, _render_diff)


async def apply(
    target: cli_data.Target, path: str, query: Mapping[str, str]
) -> cli_data.Outcome:
    """Put a document in force.

    Args:
        target: The operators' interface.
        path: A file, or a directory whose files are its sections.
        query: Expected revision, author and apply id.
    """
    body = _read(path)
    if isinstance(body, cli_data.Outcome):
        return body
    ask = operator_link.Ask(POST, '/v1/config', _with_id(query), body)
    return await _call(target, ask, _render_applied)


async def edit(
    target: cli_data.Target,
    path: str,
    query: Mapping[str, str],
    body: Any = None,
) -> cli_data.Outcome:
    """Change the document in force by name.

    Args:
        target: The operators' interface.
        path: Which change, as ``/v1/withdraw``.
        query: What is changed, author and apply id.
        body: What the change needs beside that.
    """
    raw = b'' if body is None else json.dumps(body).encode()
    ask = operator_link.Ask(POST, path, _with_id(query), raw)
    return await _call(target, ask, _render_applied)


async def show(target: cli_data.Target, revision: str) -> cli_data.Outcome:
    """Show the document in force, or a remembered one."""
    query = {'revision': revision} if revision else {}
    ask = operator_link.Ask(GET, '/v1/config', query)
    return await _call(target, ask, cli_render.document)


async def history(target: cli_data.Target) -> cli_data.Outcome:
    """Show who applied the last revisions, and when."""
    ask = operator_link.Ask(GET, '/v1/config/history')
    return await _call(target, ask, cli_render.history)


async def status(target: cli_data.Target) -> cli_data.Outcome:
    """Show every process and backend server, as far as known."""
    ask = operator_link.Ask(GET, '/v1/status')
    return await _call(target, ask, cli_render.status)


async def usage(target: cli_data.Target) -> cli_data.Outcome:
    """Show what was billed."""
    ask = operator_link.Ask(GET, '/v1/usage')
    return await _call(target, ask, cli_render.usage)


async def dump(target: cli_data.Target) -> cli_data.Outcome:
    """Show the whole state of one process."""
    ask = operator_link.Ask(GET, '/dump')
    return await _call(target, ask, cli_render.plain_data)


async def _call(
    target: cli_data.Target, ask: operator_link.Ask, render: Render
) -> cli_data.Outcome:
    reply = await operator_link.call(target, ask)
    if reply.code is cli_data.Exit.DONE:
        return cli_data.Outcome(reply.code, reply.body, render(reply.body))
    lines = cli_render.refusal(reply.body)
    return cli_data.Outcome(reply.code, reply.body, lines)


def _read(path: str) -> bytes | cli_data.Outcome:
    """Read and judge a document; the outcome is that of a broken one."""
    source = pathlib.Path(path)
    try:
        texts = _texts(source)
    except (OSError, UnicodeDecodeError) as exc:
        return cli_data.failure(cli_data.Exit.INVALID, 'unreadable', str(exc))
    parsed, findings = judge.judge_files(texts, path)
    if parsed is None:
        return _invalid(findings)
    return json.dumps(document_plain.render(parsed)).encode()


def _texts(source: pathlib.Path) -> dict[str, str]:
    """Read the files of a document by their names."""
    files = sorted(source.glob(PATTERN)) if source.is_dir() else [source]
    if not files:
        raise FileNotFoundError(f'{source} has no {PATTERN}')
    return {str(part): part.read_text(encoding='utf-8') for part in files}


def _invalid(findings: list[finding.Finding]) -> cli_data.Outcome:
    body = {
        'error': 'invalid',
        'message': 'refused whole; mend all findings',
        'findings': plain.to_plain(tuple(findings)),
    }
    lines = cli_render.refusal(body)
    return cli_data.Outcome(cli_data.Exit.INVALID, body, lines)


def _with_id(query: Mapping[str, str]) -> dict[str, str]:
    """Give a change its id here, so that it can be repeated with it."""
    given = {name: text for name, text in query.items() if text}
    return {'apply_id': uuid.uuid4().hex, **given}


def _render_applied(body: dict[str, Any]) -> tuple[str, ...]:
    return (f'revision {body["revision"]} is in force',)


def _render_diff(body: dict[str, Any]) -> tuple[str, ...]:
    lines = cli_render.differences(body['differences'])
    revision = body['revision']
    return lines or (f'no difference from revision {revision}',)
