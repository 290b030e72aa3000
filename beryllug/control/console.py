"""The operators' console: forms whose output is one validated document.

Pages without scripts, made from the JSON Schema. A page carries the revision
the operator started from and the records changed since; applying them ends in
the same judgement and the same conditional apply as any other document.
"""

import json
import uuid
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from beryllug.control import (
    config_desk,
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

START = ('start', 'discard')
Fields = console_session.Fields
Session = console_pages.Session


class _Act(NamedTuple):
    """What was done in the form of a record."""

    fields: Fields
    verb: str
    rest: str


class Console:
    """Serves the console's pages."""

    def __init__(self, desk: config_desk.ConfigDesk) -> None:
        """Bind to the desk."""
        self._desk = desk
        self._drafts = console_drafts.Drafts(desk)

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
        fields = console_session.fields_of(req)
        session = console_session.read(req, fields)
        ours = console_session.is_ours(req, fields, session)
        if req.method == 'POST' and not ours:
            text = 'This form is not of this console, or too old. Start anew.'
            await exchange.respond(FORBIDDEN, text.encode(), HTML)
            return
        try:
            shown = await self._answer(session, fields)
        except object_data.ObjectApiError as exc:
            text = f'The platform can not be read: {exc}. Try again.'
            failed = console_pages.notice(text, good=False)
            shown = console_pages.page(session, 'Not available', failed)
        await exchange.respond(OK, shown.encode(), HTML)

    async def _answer(self, session: Session, fields: Fields) -> str:
        verb, _, rest = fields.get('act', 'start').partition(' ')
        if verb in START:
            return await self._fresh(session)
        base = await self._drafts.base(session.revision)
        if base is None:
            text = f'Revision {session.revision} is forgotten. Start anew.'
            notice = console_pages.notice(text, good=False)
            return await self._fresh(session, notice)
        match verb:
            case 'open' | 'remove':
                section, _, key = rest.partition(' ')
                change = draft.Change(section, key, None)
                return await self._pick(session, base, change, verb)
            case 'keep' | 'add' | 'drop':
                act = _Act(fields, verb, rest)
                return await self._edit(session, base, act)
            case 'apply' | 'rebase':
                return await self._finish(session, base, verb)
        find = fields.get('find', '')
        return await self._overview(session, base, find=find)

    async def _finish(
        self, session: Session, base: console_drafts.Base, verb: str
    ) -> str:
        if verb == 'apply':
            return await self._apply(session, base)
        return await self._rebase(session, base)

    async def _fresh(self, session: Session, notice: str = '') -> str:
        """Begin a draft over the revision in force."""
        shown = await self._desk.show()
        fresh = session._replace(
            revision=shown.root.revision, changes=(), apply_id=uuid.uuid4().hex
        )
        base = console_drafts.Base(shown.rendered, shown.document)
        return await self._overview(fresh, base, notice)

    async def _overview(
        self,
        session: Session,
        base: console_drafts.Base,
        notice: str = '',
        find: str = '',
    ) -> str:
        made = await self._drafts.judge(session, base)
        differences: tuple[diff.Difference, ...] = ()
        if made.document is not None:
            differences = diff.compare(base.document, made.document)
        return console_pages.overview(
            session,
            console_pages.Overview(
                made.rendered, made.findings, differences, notice, find
            ),
        )

    async def _pick(
        self,
        session: Session,
        base: console_drafts.Base,
        change: draft.Change,
        verb: str,
    ) -> str:
        """Open a record, or remove it."""
        rendered = draft.apply(base.rendered, session.changes)
        if change.section not in rendered:
            return await self._overview(session, base)
        if verb == 'remove':
            changes = draft.merge(session.changes, change)
            return await self._overview(session._replace(changes=changes), base)
        place = draft.place_of(rendered, change.section, change.key)
        record = {} if place is None else rendered[change.section][place]
        return await self._record(session, base, change._replace(record=record))

    async def _edit(
        self, session: Session, base: console_drafts.Base, act: _Act
    ) -> str:
        """Take what the form of a record states."""
        change = await self._stated(act.fields)
        if change is None:
            return await self._overview(session, base)
        record = change.record or {}
        if act.verb == 'keep' and draft.key_of(change.section, record):
            changes = draft.merge(session.changes, change)
            session = session._replace(changes=changes)
            name = draft.key_of(change.section, record)
            change = change._replace(key=name)
        elif act.verb == 'add':
            record = console_forms.add_row(record, act.rest)
        elif act.verb == 'drop':
            record = console_forms.drop_row(record, act.rest)
        return await self._record(session, base, change._replace(record=record))

    async def _stated(self, fields: Fields) -> draft.Change | None:
        """Return the change that the form of a record states."""
        schema = await self._desk.schema()
        section = fields.get('of', '')
        if section not in schema['properties']:
            return None
        of_record = console_forms.record_schema(schema, section)
        record = console_forms.decode(schema['$defs'], of_record, fields)
        return draft.Change(section, fields.get('was', ''), record)

    async def _record(
        self, session: Session, base: console_drafts.Base, change: draft.Change
    ) -> str:
        """Show a record, with what is wrong in the draft at its fields."""
        schema = await self._desk.schema()
        reasons: console_forms.Reasons = {}
        if change.record:
            merged = draft.merge(session.changes, change)
            made = await self._drafts.judge(
                session._replace(changes=merged), base
            )
            key = draft.key_of(change.section, change.record)
            place = draft.place_of(made.rendered, change.section, key)
            reasons = console_drafts.reasons_of(
                made.findings, f'{change.section}[{place}]'
            )
        form = console_forms.Form(schema['$defs'], reasons)
        of_record = console_forms.record_schema(schema, change.section)
        inputs = console_forms.render(form, of_record, change.record or {})
        left = [text for texts in form.reasons.values() for text in texts]
        return console_pages.record(
            session,
            console_pages.RecordPage(change.section, change.key, inputs, left),
        )

    async def _apply(self, session: Session, base: console_drafts.Base) -> str:
        """Apply the draft; a refusal keeps it, with its apply id."""
        rendered = draft.apply(base.rendered, session.changes)
        order = config_desk.Order(
            session.revision, session.author, session.apply_id
        )
        outcome = await self._desk.apply(json.dumps(rendered).encode(), order)
        if outcome.is_ok():
            done = f'Revision {outcome.unwrap()} is in force.'
            notice = console_pages.notice(done, good=True)
            return await self._fresh(session, notice)
        notice = _notice(outcome.unwrap_err())
        return await self._overview(session, base, notice)

    async def _rebase(self, session: Session, base: console_drafts.Base) -> str:
        """Carry the draft over to the revision in force.

        A record that another operator changed meanwhile is not carried over:
        the draft's would silently undo what the other did.
        """
        shown = await self._desk.show()
        clashing = draft.clashes(base.rendered, shown.rendered, session.changes)
        kept = tuple(
            change for change in session.changes if change not in clashing
        )
        moved = session._replace(
            revision=shown.root.revision,
            changes=kept,
            apply_id=uuid.uuid4().hex,
        )
        notice = ''.join(
            console_pages.notice(
                f'Changed by another, do it again: {change.section} '
                f'{change.key}',
                good=False,
            )
            for change in clashing
        )
        present = console_drafts.Base(shown.rendered, shown.document)
        return await self._overview(moved, present, notice)


async def _serve_style(
    req: http_data.Request, exchange: http_server.Exchange
) -> None:
    await exchange.respond(OK, console_pages.STYLE.encode(), CSS)


def _notice(refusal: config_desk.Refusal) -> str:
    """Say why an apply was refused, and what to do."""
    match refusal:
        case config_desk.Invalid():
            return console_pages.notice('Refused whole.', good=False)
        case config_store.Conflict(revision, author, differences):
            lines = [diff.describe(found) for found in differences]
            text = f'Revision {revision} by {author} is in force:'
            return console_pages.conflict(text, lines)
        case config_store.Unavailable(reason):
            text = f'Nothing changed, try again later: {reason}'
        case config_store.Uncertain(_, reason):
            text = f'Not known whether it is in force. Apply again: {reason}'
    return console_pages.notice(text, good=False)
