"""Drafts of the console: their base documents and their validation."""

import json
from typing import NamedTuple

from beryllug.control import config_admin, console_forms, console_pages
from beryllug.core import config_data, document_plain, draft, finding


class BaseDocument(NamedTuple):
    """The document that a draft is based on."""

    rendered: draft.Rendered
    document: config_data.Document


class Draft(NamedTuple):
    """A draft, validated as a whole document."""

    rendered: draft.Rendered
    document: config_data.Document | None
    findings: list[finding.Finding]


class Drafts:
    """Builds whole documents from drafts and validates them."""

    def __init__(self, admin: config_admin.ConfigAdmin) -> None:
        """Bind to the configuration operations."""
        self._admin = admin

    async def base(self, revision: int) -> BaseDocument | None:
        """Return the document of a draft's base revision, None if expired."""
        shown = await self._admin.show()
        if shown.root.revision == revision:
            return BaseDocument(shown.rendered, shown.document)
        document = await self._admin.past(revision)
        if document is None:
            return None
        return BaseDocument(document_plain.render(document), document)

    async def check(
        self, session: console_pages.Session, base: BaseDocument
    ) -> Draft:
        """Build the whole document of a draft and validate it."""
        rendered = draft.apply(base.rendered, session.changes)
        if not session.changes:
            return Draft(rendered, base.document, [])
        text = json.dumps(rendered).encode()
        document, findings = await self._admin.check_document(text)
        return Draft(rendered, document, findings)


def findings_under(
    findings: list[finding.Finding], prefix: str
) -> console_forms.Reasons:
    """Return the findings inside one record, by path within it."""
    reasons: console_forms.Reasons = {}
    for found in findings:
        if found.path.startswith(prefix):
            path = found.path.removeprefix(prefix).removeprefix('.')
            reasons.setdefault(path, []).append(found.reason)
    return reasons
