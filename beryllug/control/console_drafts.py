"""Drafts of the console: the document they start from, and their judgement."""

import json
from typing import NamedTuple

from beryllug.control import config_desk, console_forms, console_pages
from beryllug.core import config_data, document_plain, draft, finding


class Base(NamedTuple):
    """The document that the draft starts from."""

    rendered: draft.Rendered
    document: config_data.Document


class Draft(NamedTuple):
    """The draft judged as a whole."""

    rendered: draft.Rendered
    document: config_data.Document | None
    findings: list[finding.Finding]


class Drafts:
    """Makes whole documents of drafts and judges them."""

    def __init__(self, desk: config_desk.ConfigDesk) -> None:
        """Bind to the desk."""
        self._desk = desk

    async def base(self, revision: int) -> Base | None:
        """Return the document of the revision that a draft starts from."""
        shown = await self._desk.show()
        if shown.root.revision == revision:
            return Base(shown.rendered, shown.document)
        document = await self._desk.past(revision)
        if document is None:
            return None
        return Base(document_plain.render(document), document)

    async def judge(self, session: console_pages.Session, base: Base) -> Draft:
        """Make the whole document of a draft and judge it."""
        rendered = draft.apply(base.rendered, session.changes)
        if not session.changes:
            return Draft(rendered, base.document, [])
        text = json.dumps(rendered).encode()
        document, findings = await self._desk.judge(text)
        return Draft(rendered, document, findings)


def reasons_of(
    findings: list[finding.Finding], prefix: str
) -> console_forms.Reasons:
    """Return what is wrong inside one record, by path within it."""
    reasons: console_forms.Reasons = {}
    for found in findings:
        if found.path.startswith(prefix):
            path = found.path.removeprefix(prefix).removeprefix('.')
            reasons.setdefault(path, []).append(found.reason)
    return reasons
