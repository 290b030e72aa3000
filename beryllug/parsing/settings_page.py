"""Generates docs/SETTINGS.md from the settings records and their rules."""

import inspect
import re
from collections.abc import Iterator
from typing import Any

from beryllug.parsing import settings_rules

INTRODUCTION = f"""\
# Settings

A process reads one INI file, `beryllugd SETTINGS.ini`. Its role decides which
sections it has: `process`, `operators` and `fleet` always, then `entry`,
`control` or `router`. Unknown sections and keys are refused. Every broken key
is reported at once with file, section and key, and the process ends with exit
code 2.

Durations are in seconds, but for keys that end in `_ms`. Addresses are
`ip:port`; names are never resolved.
Lists are separated by commas or line ends. Comments start a line with `#` or
`;`. Keys rotate by listing two: `fleet.keys` signs with the first and accepts
both, `operators.keys` accepts both.

Keys bind one another: `control.lease_s` must be more than
{settings_rules.MIN_LEASE_HEARTBEATS} times and `control.cut_off_s` more than
{settings_rules.MIN_CUT_OFF_HEARTBEATS} times `control.heartbeat_s`.

Samples: `examples/entry.ini`, `examples/control.ini`; `deploy/router.ini` is
the template that the platform fills in for a `router`.

This page is made by `python -m beryllug.scripts.reference`.
"""
ATTRIBUTE = re.compile(r'^    (\w+): (.*)$')
CONTINUATION_INDENT = ' ' * 8


def render() -> str:
    """Return the text of the page."""
    sections = (
        '\n'.join(_render_section(name, record))
        for name, record in settings_rules.RECORDS.items()
    )
    return '\n'.join((INTRODUCTION, *sections))


def _render_section(name: str, record: type[Any]) -> Iterator[str]:
    docstring = inspect.getdoc(record) or ''
    summary = docstring.splitlines()[0].partition(': ')[2]
    descriptions = _field_descriptions(docstring)
    yield f'## [{name}]'
    yield ''
    yield summary[:1].upper() + summary[1:]
    yield ''
    yield '| key | must be | default | meaning |'
    yield '|---|---|---|---|'
    for key in record._fields:
        rule = settings_rules.find_rule(name, key)
        allowed = settings_rules.describe(rule)
        default = _default(record, key)
        yield f'| `{key}` | {allowed} | {default} | {descriptions[key]} |'
    yield ''


def _default(record: type[Any], key: str) -> str:
    if key not in record._field_defaults:
        return 'must be given'
    default = record._field_defaults[key]
    return 'empty' if default in {'', ()} else f'`{default}`'


def _field_descriptions(docstring: str) -> dict[str, str]:
    """Return the description of each field from a record's docstring."""
    descriptions: dict[str, str] = {}
    field = ''
    for line in docstring.splitlines():
        match = ATTRIBUTE.match(line)
        if match:
            field = match.group(1)
            descriptions[field] = match.group(2)
        elif line.startswith(CONTINUATION_INDENT) and field:
            descriptions[field] = f'{descriptions[field]} {line.strip()}'
    return descriptions
