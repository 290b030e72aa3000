"""Parses settings files: INI text to `settings_data.Settings`.

All errors of a file are reported at once, each with its section and key, so
an operator can fix them in one pass; a process never starts on partially valid
settings. Keys and defaults come from the records of `settings_data`, allowed
values from `settings_rules.RULES`; docs/SETTINGS.md is generated from both.
"""

import configparser
import pathlib
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from beryllug.core import finding, settings_data
from beryllug.parsing import settings_rules

Findings = list[finding.Finding]
MAX_BYTES = 65536
ROLE_SECTIONS = ('entry', 'control', 'router')


class _ParsedSections(NamedTuple):
    """Parsed records by section name, and the findings."""

    records: dict[str, Any]
    findings: Findings


def load(path: str) -> tuple[settings_data.Settings | None, Findings]:
    """Read a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings and no findings, or None and every finding.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return None, [finding.Finding(path, '', f'cannot be read: {exc}')]
    return parse(text, path)


def parse(
    text: str, source: str
) -> tuple[settings_data.Settings | None, Findings]:
    """Parse the text of a settings file.

    Args:
        text: The INI text.
        source: Name of the file, for the findings.

    Returns:
        The settings and no findings, or None and every finding.
    """
    if len(text) > MAX_BYTES:
        reason = f'is longer than {MAX_BYTES} characters'
        return None, [finding.Finding(source, '', reason)]
    ini, findings = _read_ini(text, source)
    findings += _unknown_sections(ini, source)
    records: dict[str, Any] = {}
    for section in _required_sections(ini):
        parsed_section = _parse_section(ini, section, source)
        findings += parsed_section.findings
        records.update(parsed_section.records)
    if findings:
        return None, findings
    settings = settings_data.Settings(**records)
    findings = settings_rules.check_cross_key_constraints(settings, source)
    return (None, findings) if findings else (settings, [])


def _read_ini(
    text: str, source: str
) -> tuple[configparser.RawConfigParser, Findings]:
    """Parse the INI syntax; report syntax errors and duplicate keys."""
    ini = configparser.RawConfigParser(strict=False, default_section='')
    findings = list(_duplicates(text, source))
    try:
        ini.read_string(text, source)
    except configparser.MissingSectionHeaderError as exc:
        reason = 'a key comes before the first [section]'
        findings.append(_finding_at_line(source, exc.lineno, reason))
    except configparser.ParsingError as exc:
        findings += [
            _finding_at_line(source, line, f'invalid syntax: {content}')
            for line, content in exc.errors
        ]
    return ini, findings


def _finding_at_line(source: str, line: int, reason: str) -> finding.Finding:
    return finding.Finding(source, f'line {line}', reason)


def _duplicates(text: str, source: str) -> Iterator[finding.Finding]:
    """Report duplicate sections and keys; configparser would use the last."""
    seen: set[str] = set()
    section = ''
    for line in text.splitlines():
        path = _declared_path(line, section)
        if path.startswith('['):
            section = path.strip('[]')
        if path and path in seen:
            yield finding.Finding(source, path, 'is given more than once')
        seen.add(path)


def _declared_path(line: str, section: str) -> str:
    """Return the ``[section]`` or ``section.key`` that a line declares."""
    if line.startswith('[') and ']' in line:
        return line[: line.index(']') + 1]
    if not line.strip() or line[0] in '#; \t':
        return ''
    key = line.replace(':', '=').split('=')[0].strip().lower()
    return f'{section}.{key}'


def _required_sections(ini: configparser.RawConfigParser) -> tuple[str, ...]:
    """Return the sections that a file of this role must have."""
    role = ini.get('process', 'role', fallback='')
    role_sections = (role,) if role in ROLE_SECTIONS else ()
    return ('process', 'operators', 'fleet', *role_sections)


def _unknown_sections(
    ini: configparser.RawConfigParser, source: str
) -> Findings:
    required = _required_sections(ini)
    known = ', '.join(required)
    reason = f'is not a section of this role; expected: {known}'
    return [
        finding.Finding(source, section, reason)
        for section in ini.sections()
        if section not in required
    ]


def _parse_section(
    ini: configparser.RawConfigParser, section: str, source: str
) -> _ParsedSections:
    """Parse one section into its record."""
    if not ini.has_section(section):
        missing = finding.Finding(source, section, 'this section is missing')
        return _ParsedSections({}, [missing])
    record = settings_rules.RECORDS[section]
    raw_values = dict(ini.items(section))
    findings = _unknown_keys(section, raw_values, record, source)
    parsed_values: dict[str, Any] = {}
    for key in record._fields:
        if key not in raw_values:
            findings += _missing_key(section, key, record, source)
            continue
        rule = settings_rules.find_rule(section, key)
        parsed, reason = settings_rules.parse(rule, raw_values[key])
        if reason:
            findings.append(finding.Finding(source, f'{section}.{key}', reason))
        parsed_values[key] = parsed
    if findings:
        return _ParsedSections({}, findings)
    return _ParsedSections({section: record(**parsed_values)}, [])


def _unknown_keys(
    section: str,
    raw_values: Mapping[str, str],
    record: type[Any],
    source: str,
) -> Findings:
    return [
        finding.Finding(source, f'{section}.{key}', 'is not a known key')
        for key in raw_values
        if key not in record._fields
    ]


def _missing_key(
    section: str, key: str, record: type[Any], source: str
) -> Findings:
    if key in record._field_defaults:
        return []
    return [finding.Finding(source, f'{section}.{key}', 'must be given')]
