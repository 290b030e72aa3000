"""The pages of the operators' console, as HTML without scripts."""

import json
from collections.abc import Iterable, Sequence
from html import escape
from typing import Any, NamedTuple

from beryllug.control import console_forms
from beryllug.core import diff, draft, finding, record_codec

STYLE = """\
body { font: 16px/1.5 system-ui, sans-serif; margin: 2rem auto;
  max-width: 60rem; padding: 0 1rem; color: #1b1b1b; background: #fff; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin: 1.5rem 0 .3rem; }
.field { margin: .6rem 0; } label { display: block; font-weight: 600; }
small { font-weight: 400; color: #555; margin-left: .5rem; }
input:not([type=checkbox]), textarea, select { font: inherit; width: 100%;
  max-width: 40rem; padding: .3rem; box-sizing: border-box; }
fieldset { margin: .8rem 0; border: 1px solid #bbb; }
button { font: inherit; margin: .2rem .4rem .2rem 0; padding: .2rem .8rem; }
.wrong { color: #a00; margin: .2rem 0; } .good { color: #060; }
.changed { font-weight: 600; } ul { padding-left: 1.2rem; }
@media (prefers-color-scheme: dark) {
  body { color: #eee; background: #111; } small { color: #aaa; }
  .wrong { color: #f88; } .good { color: #8d8; } }
"""
MAX_SHOWN = 200


class Session(NamedTuple):
    """State that a page carries from one request to the next.

    Attributes:
        author: Name of the operator.
        token: CSRF token; proves that a form came from one of our pages.
        revision: The base revision of the draft.
        changes: The changes of the draft.
        apply_id: Id under which the draft will be applied.
    """

    author: str
    token: str
    revision: int
    changes: tuple[draft.Change, ...]
    apply_id: str


class Overview(NamedTuple):
    """Content of the first page.

    Attributes:
        rendered: The document with the changes of the draft.
        findings: Findings of its validation.
        differences: Differences from the base revision.
        notice: Result of the last action, as HTML.
        find: Only records whose name contains this are listed.
    """

    rendered: draft.Rendered
    findings: Sequence[finding.Finding] = ()
    differences: Sequence[diff.Difference] = ()
    notice: str = ''
    find: str = ''


class RecordPage(NamedTuple):
    """Content of the page of one record.

    Attributes:
        section: Its section.
        key: Its name before the change, empty for a new record.
        inputs: Its inputs, as HTML.
        left: Findings that belong to no input.
    """

    section: str
    key: str
    inputs: str
    left: Sequence[str] = ()


def overview(session: Session, content: Overview) -> str:
    """Return the first page: notices, findings, differences and sections."""
    sections = ''.join(
        _section(session, section, records, content.find)
        for section, records in content.rendered.items()
    )
    body = (
        f'{content.notice}{_findings(content)}{_differences(session, content)}'
        f'<p><label for="find">Find by name</label>'
        f'<input id="find" name="find" value="{escape(content.find)}">'
        f'{_button("find", "Find")}</p>{sections}'
    )
    return page(session, f'Revision {session.revision}', body)


def record(session: Session, content: RecordPage) -> str:
    """Return the page of one record."""
    left = ''.join(map(console_forms.error_line, content.left))
    body = (
        f'<input type="hidden" name="of" value="{escape(content.section)}">'
        f'<input type="hidden" name="was" value="{escape(content.key)}">'
        # The enter key presses the first button of a form.
        f'{_button("keep", "Keep in the draft")}{_button("back", "Back")}'
        f'{left}{content.inputs}'
    )
    title = f'{content.section}: {content.key or "new"}'
    return page(session, title, body)


def page(session: Session, title: str, body: str) -> str:
    """Return a whole page, with the session in hidden inputs."""
    changes = json.dumps(record_codec.to_plain(session.changes))
    hidden_inputs = ''.join(
        f'<input type="hidden" name="{name}" value="{escape(text)}">'
        for name, text in (
            ('token', session.token),
            ('revision', str(session.revision)),
            ('changes', changes),
            ('apply_id', session.apply_id),
        )
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<title>{escape(title)} - beryllug</title>'
        '<meta name="viewport" content="width=device-width">'
        '<link rel="stylesheet" href="/console/style.css"></head><body>'
        f'<h1>{escape(title)}</h1><p>You are {escape(session.author)}.</p>'
        f'<form method="post" action="/console">{hidden_inputs}{body}</form>'
        '</body></html>'
    )


def notice(text: str, *, good: bool) -> str:
    """Return a line about the last action as HTML."""
    if good:
        return f'<p class="good" role="status">{escape(text)}</p>'
    return console_forms.error_line(text)


def conflict(text: str, lines: Sequence[str]) -> str:
    """Return another operator's changes with a button to rebase the draft."""
    button = _button('rebase', 'Carry my changes over')
    return f'{console_forms.error_line(text)}{_list(lines)}{button}'


def _section(
    session: Session, section: str, records: list[Any], find: str
) -> str:
    keys = [draft.key_of(section, one) for one in records]
    found = [key for key in keys if find in key]
    changed = {
        draft.key_of(section, change.record or {})
        for change in session.changes
        if change.section == section
    }
    lines = ''.join(
        _record_line(section, key, key in changed) for key in found[:MAX_SHOWN]
    )
    more = len(found) - MAX_SHOWN
    hidden = f'<p>and {more} more; find them by name</p>' if more > 0 else ''
    return (
        f'<h2>{escape(section)} ({len(keys)})</h2><ul>{lines}</ul>{hidden}'
        f'{_button(f"open {section} ", "Add")}'
    )


def _record_line(section: str, key: str, is_changed: bool) -> str:
    marked = ' class="changed"' if is_changed else ''
    return (
        f'<li{marked}>{escape(key)} {_button(f"open {section} {key}", "Edit")}'
        f'{_button(f"remove {section} {key}", "Remove")}</li>'
    )


def _findings(content: Overview) -> str:
    return ''.join(
        console_forms.error_line(f'{found.path}: {found.reason}')
        for found in content.findings
    )


def _differences(session: Session, content: Overview) -> str:
    if not session.changes:
        return '<p>Nothing is changed yet.</p>'
    lines = _list(map(diff.describe, content.differences))
    can_apply = not content.findings and content.differences
    apply = _button('apply', 'Apply') if can_apply else ''
    return f'{lines}{apply}{_button("discard", "Discard the draft")}'


def _list(texts: Iterable[str]) -> str:
    lines = ''.join(f'<li>{escape(text)}</li>' for text in texts)
    return f'<ul>{lines}</ul>'


def _button(act: str, text: str) -> str:
    return f'<button name="act" value="{escape(act)}">{text}</button>'
