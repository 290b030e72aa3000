"""The operators' console: HTML forms that edit the configuration document.

The pages have no scripts and are generated from the JSON Schema. A page
carries the base revision of the draft and the records changed since; applying
them passes the same validation and the same conditional apply as any other
document.
"""

import json
import uuid
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from beryllug.control import (
    config_admin,
    console_drafts,
    console_forms,
    console_pages,
    console_session,
)
from beryllug.core import (
    diff,
    draft,
)
from beryllug.drivers import config_store, http_data, http_server, object_data
from beryllug.kernel import ops

PATH = '/console'
STYLE_PATH = '/console/style.css'
OK = 200
FORBIDDEN = 403
HTML: Mapping[str, str] = MappingProxyType(
    {
        'content-type': 'text/html; charset=utf-8',
        'cache-control': 'no-store',
        'content-security-policy': (
            "default-src 'none'; style-src 'self'; form-action 'self'; "
            "frame-ancestors 'none'; base-uri 'none'"
        ),
        'referrer-policy': 'no-referrer',
        'x-content-type-options': 'nosniff',
    }
)
CSS: Mapping[str, str] = MappingProxyType(
    {'content-type': 'text/css; charset=utf-8'}
)

RESTART_VERBS = ('start', 'discard')
Fields = console_session.Fields
Session = console_pages.Session


class _FormAction(NamedTuple):
    """A button pressed in the form of a record, with the form's fields."""

    fields: Fields
    verb: str
    argument: str


class Console:
    """Serves the console's pages."""

    def __init__(self, admin: config_admin.ConfigAdmin) -> None:
        """Bind to the configuration operations."""
        self._admin = admin
        self._drafts = console_drafts.Drafts(admin)

    def routes(self) -> ops.Routes:
        """Return the handlers by method and path."""
        return {
            ops.Route('GET', PATH): self.serve,
            ops.Route('POST', PATH): self.serve,
            ops.Route('GET', STYLE_PATH): _serve_style,
        }

    async def serve(
        self, req: http_data.Request, exchange: http_server.Exchange
    ) -> None:
        """Serve a page."""
        fields = console_session.form_fields(req)
        session = console_session.read_session(req, fields)
        is_genuine = console_session.passes_csrf_check(req, fields, session)
        if req.method == 'POST' and not is_genuine:
            text = (
                'Not a form of this console, or an outdated one. Start again.'
            )
            await exchange.respond(FORBIDDEN, text.encode(), HTML)
            return
        try:
            shown = await self._handle(session, fields)
        except object_data.ObjectApiError as exc:
            text = f'The platform cannot be read: {exc}. Try again.'
            failed = console_pages.notice(text, good=False)
            shown = console_pages.page(session, 'Not available', failed)
        await exchange.respond(OK, shown.encode(), HTML)

    async def _handle(self, session: Session, fields: Fields) -> str:
        verb, _, argument = fields.get('act', 'start').partition(' ')
        if verb in RESTART_VERBS:
            return await self._new_draft(session)
        base = await self._drafts.base(session.revision)
        if base is None:
            text = (
                f'Revision {session.revision} is no longer retained. '
                'Start again.'
            )
            notice = console_pages.notice(text, good=False)
            return await self._new_draft(session, notice)
        match verb:
            case 'open' | 'remove':
                section, _, key = argument.partition(' ')
                change = draft.Change(section, key, None)
                return await self._open_or_remove(session, base, change, verb)
            case 'keep' | 'add' | 'drop':
                action = _FormAction(fields, verb, argument)
                return await self._edit_record(session, base, action)
            case 'apply' | 'rebase':
                return await self._apply_or_rebase(session, base, verb)
        find = fields.get('find', '')
        return await self._overview(session, base, find=find)

    async def _apply_or_rebase(
        self, session: Session, base: console_drafts.BaseDocument, verb: str
    ) -> str:
        if verb == 'apply':
            return await self._apply(session, base)
        return await self._rebase(session, base)

    async def _new_draft(self, session: Session, notice: str = '') -> str:
        """Start a draft based on the current revision."""
        shown = await self._admin.show()
        restarted = session._replace(
            revision=shown.root.revision, changes=(), apply_id=uuid.uuid4().hex
        )
        base = console_drafts.BaseDocument(shown.rendered, shown.document)
        return await self._overview(restarted, base, notice)

    async def _overview(
        self,
        session: Session,
        base: console_drafts.BaseDocument,
        notice: str = '',
        find: str = '',
    ) -> str:
        validated = await self._drafts.check(session, base)
        differences: tuple[diff.Difference, ...] = ()
        if validated.document is not None:
            differences = diff.compare(base.document, validated.document)
        return console_pages.overview(
            session,
            console_pages.Overview(
                validated.rendered,
                validated.findings,
                differences,
                notice,
                find,
            ),
        )

    async def _open_or_remove(
        self,
        session: Session,
        base: console_drafts.BaseDocument,
        change: draft.Change,
        verb: str,
    ) -> str:
        """Open a record or remove it."""
        rendered = draft.apply(base.rendered, session.changes)
        if change.section not in rendered:
            return await self._overview(session, base)
        if verb == 'remove':
            changes = draft.merge(session.changes, change)
            return await self._overview(session._replace(changes=changes), base)
        index = draft.place_of(rendered, change.section, change.key)
        record = {} if index is None else rendered[change.section][index]
        return await self._show_record(
            session, base, change._replace(record=record)
        )

    async def _edit_record(
        self,
        session: Session,
        base: console_drafts.BaseDocument,
        action: _FormAction,
    ) -> str:
        """Apply a button pressed in the form of a record."""
        change = await self._decode_change(action.fields)
        if change is None:
            return await self._overview(session, base)
        record = change.record or {}
        if action.verb == 'keep' and draft.key_of(change.section, record):
            changes = draft.merge(session.changes, change)
            session = session._replace(changes=changes)
            name = draft.key_of(change.section, record)
            change = change._replace(key=name)
        elif action.verb == 'add':
            record = console_forms.add_row(record, action.argument)
        elif action.verb == 'drop':
            record = console_forms.drop_row(record, action.argument)
        return await self._show_record(
            session, base, change._replace(record=record)
        )

    async def _decode_change(self, fields: Fields) -> draft.Change | None:
        """Return the change that a submitted record form contains."""
        schema = await self._admin.schema()
        section = fields.get('of', '')
        if section not in schema['properties']:
            return None
        of_record = console_forms.record_schema(schema, section)
        record = console_forms.decode(schema['$defs'], of_record, fields)
        return draft.Change(section, fields.get('was', ''), record)

    async def _show_record(
        self,
        session: Session,
        base: console_drafts.BaseDocument,
        change: draft.Change,
    ) -> str:
        """Return the page of a record, with findings at its fields."""
        schema = await self._admin.schema()
        reasons: console_forms.Reasons = {}
        if change.record:
            merged = draft.merge(session.changes, change)
            validated = await self._drafts.check(
                session._replace(changes=merged), base
            )
            key = draft.key_of(change.section, change.record)
            index = draft.place_of(validated.rendered, change.section, key)
            reasons = console_drafts.findings_under(
                validated.findings, f'{change.section}[{index}]'
            )
        form = console_forms.Form(schema['$defs'], reasons)
        of_record = console_forms.record_schema(schema, change.section)
        inputs = console_forms.render(form, of_record, change.record or {})
        left = [text for texts in form.reasons.values() for text in texts]
        return console_pages.record(
            session,
            console_pages.RecordPage(change.section, change.key, inputs, left),
        )

    async def _apply(
        self, session: Session, base: console_drafts.BaseDocument
    ) -> str:
        """Apply the draft; if refused, it is kept with its apply id."""
        rendered = draft.apply(base.rendered, session.changes)
        params = config_admin.ApplyParams(
            session.revision, session.author, session.apply_id
        )
        outcome = await self._admin.apply(json.dumps(rendered).encode(), params)
        if outcome.is_ok():
            done = f'Revision {outcome.unwrap()} is in force.'
            notice = console_pages.notice(done, good=True)
            return await self._new_draft(session, notice)
        notice = _refusal_notice(outcome.unwrap_err())
        return await self._overview(session, base, notice)

    async def _rebase(
        self, session: Session, base: console_drafts.BaseDocument
    ) -> str:
        """Rebase the draft on the current revision.

        Changes of records that another operator changed meanwhile are
        dropped, since they would silently undo the other operator's changes.
        """
        shown = await self._admin.show()
        conflicting = draft.clashes(
            base.rendered, shown.rendered, session.changes
        )
        kept = tuple(
            change for change in session.changes if change not in conflicting
        )
        rebased = session._replace(
            revision=shown.root.revision,
            changes=kept,
            apply_id=uuid.uuid4().hex,
        )
        notice = ''.join(
            console_pages.notice(
                'Changed by another operator, edit it again: '
                f'{change.section} {change.key}',
                good=False,
            )
            for change in conflicting
        )
        present = console_drafts.BaseDocument(shown.rendered, shown.document)
        return await self._overview(rebased, present, notice)


async def _serve_style(
    req: http_data.Request, exchange: http_server.Exchange
) -> None:
    await exchange.respond(OK, console_pages.STYLE.encode(), CSS)


def _refusal_notice(refusal: config_admin.Refusal) -> str:
    """Return a notice of why an apply was refused and what to do."""
    match refusal:
        case config_admin.Invalid():
            return console_pages.notice(
                'The configuration is invalid; nothing has been applied.',
                good=False,
            )
        case config_store.Conflict(revision, author, differences):
            lines = [diff.describe(found) for found in differences]
            text = f'Revision {revision} by {author} is in force:'
            return console_pages.conflict(text, lines)
        case config_store.Unavailable(reason):
            text = f'Nothing changed, try again later: {reason}'
        case config_store.Uncertain(_, reason):
            text = f'Not known whether it is in force. Apply again: {reason}'
    return console_pages.notice(text, good=False)
