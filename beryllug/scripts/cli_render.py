"""Renders responses of the operators' interface as text lines."""

import json
import time
from collections.abc import Iterable, Sequence
from typing import Any

from beryllug.core import diff, finding, record_codec

TIME_FORMAT = '%Y-%m-%d %H:%M:%S'
COLUMN_GAP = '  '

Lines = tuple[str, ...]


def refusal(body: dict[str, Any]) -> Lines:
    """Render a refusal with its reason, findings and differences."""
    error = body.get('error', 'failed')
    message = body.get('message', '')
    return (
        f'{error}: {message}',
        *findings(body.get('findings', ())),
        *differences(body.get('differences', ())),
    )


def findings(listed: Iterable[dict[str, Any]]) -> Lines:
    """Render one line per finding."""
    found = (record_codec.from_plain(finding.Finding, item) for item in listed)
    return tuple(map(finding.describe, found))


def differences(listed: Iterable[dict[str, Any]]) -> Lines:
    """Render one line per difference."""
    found = (record_codec.from_plain(diff.Difference, item) for item in listed)
    return tuple(map(diff.describe, found))


def document(body: dict[str, Any]) -> Lines:
    """Render a document as JSON."""
    return tuple(json.dumps(body['document'], indent=2).splitlines())


def history(body: dict[str, Any]) -> Lines:
    """Render one line per revision, latest first."""
    rows = [
        (
            str(entry['revision']),
            time.strftime(TIME_FORMAT, time.localtime(entry['at'])),
            entry['author'],
            entry['apply_id'],
        )
        for entry in body['history']
    ]
    return table(('REVISION', 'AT', 'AUTHOR', 'APPLY ID'), rows)


def status(body: dict[str, Any]) -> Lines:
    """Render the processes, then the backend servers."""
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
            _format_number(found['running']),
            _format_number(found['queued']),
        )
        for found in body['servers']
    ]
    header = ('PROCESS', 'ROLE', 'ZONE', 'REVISION', 'ACCEPTS', 'STATE')
    server_header = ('SERVER', 'POOL', 'ZONE', 'STATE', 'RUNNING', 'QUEUED')
    return (*table(header, processes), '', *table(server_header, servers))


def usage(body: dict[str, Any]) -> Lines:
    """Render the usage by account, then by account and version."""
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
    header = ('ACCOUNT', 'REQUESTS', 'COST (MILLIONTHS)')
    version_header = (
        *('ACCOUNT', 'MODEL', 'VERSION', 'STAGES'),
        *('TOKENS IN', 'TOKENS OUT', 'COST (MILLIONTHS)'),
    )
    return (*table(header, accounts), '', *table(version_header, versions))


def plain_data(body: Any) -> Lines:
    """Render data that has no format of its own as JSON."""
    return tuple(json.dumps(body, indent=2).splitlines())


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> Lines:
    """Render a table with aligned columns."""
    widths = [
        max(map(len, column)) for column in zip(header, *rows, strict=True)
    ]
    return tuple(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in (header, *rows)
    )


def _format_number(number: int | None) -> str:
    return '-' if number is None else str(number)
