"""Settings files: INI text to `settings_data.Settings`.

Every mistake of a file is reported at once with its section and key, so an
operator mends it in one go; a process never starts on half-understood
settings. What a key may hold is read from the type of its field and from
`settings_rules.RULES`, which the page docs/SETTINGS.md is made from too.
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


class _Outcome(NamedTuple):
    """Records by section name, and what is wrong."""

    records: dict[str, Any]
    findings: Findings


def load(path: str) -> tuple[settings_data.Settings | None, Findings]:
    """Read a settings file.

    Args:
        path: Where the file is.

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
    for section in _wanted_sections(ini):
        outcome = _section(ini, section, source)
        findings += outcome.findings
        records.update(outcome.records)
    if findings:
        return None, findings
    settings = settings_data.Settings(**records)
    findings = settings_rules.across(settings, source)
    return (None, findings) if findings else (settings, [])


def _read_ini(
    text: str, source: str
) -> tuple[configparser.RawConfigParser, Findings]:
    """Read the INI syntax; a key given twice is a finding, as is no syntax."""
    ini = configparser.RawConfigParser(strict=False, default_section='')
    findings = list(_repeats(text, source))
    try:
        ini.read_string(text, source)
    except configparser.MissingSectionHeaderError as exc:
        reason = 'a key stands before the first [section]'
        findings.append(_at_line(source, exc.lineno, reason))
    except configparser.ParsingError as exc:
        findings += [
            _at_line(source, line, f'cannot be understood: {content}')
            for line, content in exc.errors
        ]
    return ini, findings


def _at_line(source: str, line: int, reason: str) -> finding.Finding:
    return finding.Finding(source, f'line {line}', reason)


def _repeats(text: str, source: str) -> Iterator[finding.Finding]:
    """Find sections and keys that stand twice; INI would take the last."""
    seen: set[str] = set()
    section = ''
    for line in text.splitlines():
        path = _declared(line, section)
        if path.startswith('['):
            section = path.strip('[]')
        if path and path in seen:
            yield finding.Finding(source, path, 'is given twice')
        seen.add(path)


def _declared(line: str, section: str) -> str:
    """Return the ``[section]`` or ``section.key`` that a line declares."""
    if line.startswith('[') and ']' in line:
        return line[: line.index(']') + 1]
    if not line.strip() or line[0] in '#; \t':
        return ''
    key = line.replace(':', '=').split('=')[0].strip().lower()
    return f'{section}.{key}'


def _wanted_sections(ini: configparser.RawConfigParser) -> tuple[str, ...]:
    """Name the sections a file of this role must have."""
    role = ini.get('process', 'role', fallback='')
    own = (role,) if role in ROLE_SECTIONS else ()
    return ('process', 'operators', 'fleet', *own)


def _unknown_sections(
    ini: configparser.RawConfigParser, source: str
) -> Findings:
    wanted = _wanted_sections(ini)
    known = ', '.join(wanted)
    reason = f'is not a section of this role; it has {known}'
    return [
        finding.Finding(source, section, reason)
        for section in ini.sections()
        if section not in wanted
    ]


def _section(
    ini: configparser.RawConfigParser, section: str, source: str
) -> _Outcome:
    """Build the record of one section."""
    if not ini.has_section(section):
        missing = finding.Finding(source, section, 'this section is missing')
        return _Outcome({}, [missing])
    record = settings_rules.RECORDS[section]
    texts = dict(ini.items(section))
    findings = _unknown_keys(section, texts, record, source)
    given: dict[str, Any] = {}
    for key in record._fields:
        if key not in texts:
            findings += _missing(section, key, record, source)
            continue
        rule = settings_rules.rule_of(section, key)
        parsed, reason = settings_rules.parse(rule, texts[key])
        if reason:
            findings.append(finding.Finding(source, f'{section}.{key}', reason))
        given[key] = parsed
    if findings:
        return _Outcome({}, findings)
    return _Outcome({section: record(**given)}, [])


def _unknown_keys(
    section: str,
    texts: Mapping[str, str],
    record: type[Any],
    source: str,
) -> Findings:
    return [
        finding.Finding(source, f'{section}.{key}', 'is not a known key')
        for key in texts
        if key not in record._fields
    ]


def _missing(
    section: str, key: str, record: type[Any], source: str
) -> Findings:
    if key in record._field_defaults:
        return []
    return [finding.Finding(source, f'{section}.{key}', 'must be given')]
