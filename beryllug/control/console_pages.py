"""The pages of the operators' console, as HTML without scripts."""

import json
from collections.abc import Iterable, Sequence
from html import escape
from typing import Any, NamedTuple

from beryllug.control import console_forms
from beryllug.core import diff, draft, finding, plain

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
    """What a page carries from one request to the next.

    Attributes:
        author: Who is at the console.
        token: Shows that a submitted form came from one of our pages.
        revision: The revision that the operator started from.
        changes: What was changed since.
        apply_id: Id under which the draft will be applied.
    """

    author: str
    token: str
    revision: int
    changes: tuple[draft.Change, ...]
    apply_id: str


class Overview(NamedTuple):
    """All that the first page shows.

    Attributes:
        rendered: The document with the changes made so far.
        findings: What is wrong with it.
        differences: How it differs from the revision started from.
        notice: What became of the last act, as HTML.
        find: Only records whose name has this are listed.
    """

    rendered: draft.Rendered
    findings: Sequence[finding.Finding] = ()
    differences: Sequence[diff.Difference] = ()
    notice: str = ''
    find: str = ''


class RecordPage(NamedTuple):
    """One record in its form.

    Attributes:
        section: Its section.
        key: Its name as it was, empty for a new one.
        inputs: Its inputs, as HTML.
        left: What is wrong with it and has no field of its own.
    """

    section: str
    key: str
    inputs: str
    left: Sequence[str] = ()


def overview(session: Session, shown: Overview) -> str:
    """Return the first page: sections, findings, differences, apply."""
    sections = ''.join(
        _section(session, section, records, shown.find)
        for section, records in shown.rendered.items()
    )
    body = (
        f'{shown.notice}{_findings(shown)}{_differences(session, shown)}'
        f'<p><label for="find">Find by name</label>'
        f'<input id="find" name="find" value="{escape(shown.find)}">'
        f'{_button("find", "Find")}</p>{sections}'
    )
    return page(session, f'Revision {session.revision}', body)


def record(session: Session, shown: RecordPage) -> str:
    """Return the page of one record."""
    left = ''.join(map(console_forms.wrong, shown.left))
    body = (
        f'<input type="hidden" name="of" value="{escape(shown.section)}">'
        f'<input type="hidden" name="was" value="{escape(shown.key)}">'
        # The first button of a form is what the enter key presses.
        f'{_button("keep", "Keep in the draft")}{_button("back", "Back")}'
        f'{left}{shown.inputs}'
    )
    title = f'{shown.section}: {shown.key or "new"}'
    return page(session, title, body)


def page(session: Session, title: str, body: str) -> str:
    """Return a whole page with what it carries on."""
    changes = json.dumps(plain.to_plain(session.changes))
    carried = ''.join(
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
        f'<form method="post" action="/console">{carried}{body}</form>'
        '</body></html>'
    )


def notice(text: str, *, good: bool) -> str:
    """Return a line about the last act."""
    if good:
        return f'<p class="good" role="status">{escape(text)}</p>'
    return console_forms.wrong(text)


def conflict(text: str, lines: Sequence[str]) -> str:
    """Return what another operator did, and the way on."""
    button = _button('rebase', 'Carry my changes over')
    return f'{console_forms.wrong(text)}{_list(lines)}{button}'


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
        _line(section, key, key in changed) for key in found[:MAX_SHOWN]
    )
    more = len(found) - MAX_SHOWN
    hidden = f'<p>and {more} more; find them by name</p>' if more > 0 else ''
    return (
        f'<h2>{escape(section)} ({len(keys)})</h2><ul>{lines}</ul>{hidden}'
        f'{_button(f"open {section} ", "Add")}'
    )


def _line(section: str, key: str, is_changed: bool) -> str:
    marked = ' class="changed"' if is_changed else ''
    return (
        f'<li{marked}>{escape(key)} {_button(f"open {section} {key}", "Edit")}'
        f'{_button(f"remove {section} {key}", "Remove")}</li>'
    )


def _findings(shown: Overview) -> str:
    return ''.join(
        console_forms.wrong(f'{found.path}: {found.reason}')
        for found in shown.findings
    )


def _differences(session: Session, shown: Overview) -> str:
    if not session.changes:
        return '<p>Nothing is changed yet.</p>'
    lines = _list(map(diff.describe, shown.differences))
    can_apply = not shown.findings and shown.differences
    apply = _button('apply', 'Apply') if can_apply else ''
    return f'{lines}{apply}{_button("discard", "Discard the draft")}'


def _list(texts: Iterable[str]) -> str:
    lines = ''.join(f'<li>{escape(text)}</li>' for text in texts)
    return f'<ul>{lines}</ul>'


def _button(act: str, text: str) -> str:
    return f'<button name="act" value="{escape(act)}">{text}</button>'
