"""Lines for a person out of what the operators' interface answers."""

import json
import time
from collections.abc import Iterable, Sequence
from typing import Any

from beryllug.core import diff, finding, plain

TIME_FORMAT = '%Y-%m-%d %H:%M:%S'
GAP = '  '

Lines = tuple[str, ...]


def refusal(body: dict[str, Any]) -> Lines:
    """Say why something was refused, and all that is known of it."""
    word = body.get('error', 'failed')
    message = body.get('message', '')
    return (
        f'{word}: {message}',
        *findings(body.get('findings', ())),
        *differences(body.get('differences', ())),
    )


def findings(listed: Iterable[dict[str, Any]]) -> Lines:
    """Write one line a finding."""
    found = (plain.from_plain(finding.Finding, item) for item in listed)
    return tuple(map(finding.describe, found))


def differences(listed: Iterable[dict[str, Any]]) -> Lines:
    """Write one line a difference."""
    found = (plain.from_plain(diff.Difference, item) for item in listed)
    return tuple(map(diff.describe, found))


def document(body: dict[str, Any]) -> Lines:
    """Write a document as JSON."""
    return tuple(json.dumps(body['document'], indent=2).splitlines())


def history(body: dict[str, Any]) -> Lines:
    """Write one line a revision, the latest first."""
    rows = [
        (
            str(past['revision']),
            time.strftime(TIME_FORMAT, time.localtime(past['at'])),
            past['author'],
            past['apply_id'],
        )
        for past in body['history']
    ]
    return table(('REVISION', 'AT', 'AUTHOR', 'APPLY ID'), rows)


def status(body: dict[str, Any]) -> Lines:
    """Write the processes, then the backend servers."""
    processes = [
        (
            found['name'],
            found['role'],
            found['zone'],
            str(found['revision']),
            'yes' if found['accepts'] else 'no',
            found['state'],
        )
        for found in body['processes']
    ]
    servers = [
        (
            found['server_id'],
            found['pool'],
            found['zone'],
            found['state'],
            _number(found['running']),
            _number(found['queued']),
        )
        for found in body['servers']
    ]
    head = ('PROCESS', 'ROLE', 'ZONE', 'REVISION', 'ACCEPTS', 'STATE')
    server_head = ('SERVER', 'POOL', 'ZONE', 'STATE', 'RUNNING', 'QUEUED')
    return (*table(head, processes), '', *table(server_head, servers))


def usage(body: dict[str, Any]) -> Lines:
    """Write what each account used, then by version."""
    accounts = [
        (used['account_id'], str(used['requests']), str(used['cost_micro']))
        for used in body['accounts']
    ]
    versions = [
        (
            used['account_id'],
            used['model'],
            used['version'],
            str(used['stages']),
            str(used['tokens_in']),
            str(used['tokens_out']),
            str(used['cost_micro']),
        )
        for used in body['versions']
    ]
    head = ('ACCOUNT', 'REQUESTS', 'COST (MILLIONTHS)')
    version_head = (
        *('ACCOUNT', 'MODEL', 'VERSION', 'STAGES'),
        *('TOKENS IN', 'TOKENS OUT', 'COST (MILLIONTHS)'),
    )
    return (*table(head, accounts), '', *table(version_head, versions))


def plain_data(body: Any) -> Lines:
    """Write what has no form of its own as JSON."""
    return tuple(json.dumps(body, indent=2).splitlines())


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> Lines:
    """Align rows under their head."""
    widths = [max(map(len, column)) for column in zip(head, *rows, strict=True)]
    return tuple(
        GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in (head, *rows)
    )


def _number(number: int | None) -> str:
    return '-' if number is None else str(number)
