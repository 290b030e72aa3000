"""Session state in the forms of the console, and its CSRF protection."""

import hashlib
import hmac
import json
import uuid
from typing import Any
from urllib.parse import parse_qsl

from beryllug.control import console_pages, operator_replies
from beryllug.core import draft, record_codec
from beryllug.drivers import http_data
from beryllug.kernel import ops

MAX_FIELDS = 20000
FOREIGN_SITES = frozenset(('cross-site', 'same-site'))
TOKEN_CONTEXT = b'beryllug console'

Fields = dict[str, str]
Session = console_pages.Session


def form_fields(req: http_data.Request) -> Fields:
    """Return the fields of a submitted form; empty if the body isn't a form."""
    try:
        pairs = parse_qsl(
            req.body.decode(), keep_blank_values=True, max_num_fields=MAX_FIELDS
        )
    except ValueError:
        return {}
    return dict(pairs)


def read_session(req: http_data.Request, fields: Fields) -> Session:
    """Return the session of a request; a new one if it has none."""
    creds = ops.credentials(req)
    author = creds.user
    if operator_replies.IDENTIFIER.fullmatch(author) is None:
        author = 'console'
    revision = fields.get('revision', '')
    return Session(
        author=author,
        token=_token(creds),
        revision=int(revision) if revision.isdecimal() else -1,
        changes=_changes(fields.get('changes', '[]')),
        apply_id=fields.get('apply_id') or uuid.uuid4().hex,
    )


def passes_csrf_check(
    req: http_data.Request, fields: Fields, session: Session
) -> bool:
    """Tell whether a form was submitted from one of our pages.

    A browser sends the operator's key with every request to this address,
    also with one made by a page of another site. Such a page can't know the
    token, and the browser marks its requests in the Sec-Fetch-Site header.
    """
    if req.headers.get('sec-fetch-site', '') in FOREIGN_SITES:
        return False
    sent = fields.get('token', '').encode()
    return hmac.compare_digest(sent, session.token.encode())


def _token(creds: ops.Credentials) -> str:
    text = TOKEN_CONTEXT + creds.user.encode()
    return hmac.new(creds.key.encode(), text, hashlib.sha256).hexdigest()


def _changes(text: str) -> tuple[draft.Change, ...]:
    """Decode the changes; malformed ones are dropped."""
    try:
        listed = json.loads(text)
    except (ValueError, RecursionError):
        return ()
    if not isinstance(listed, list):
        return ()
    return tuple(
        record_codec.from_plain(draft.Change, item)
        for item in listed
        if _is_change(item)
    )


def _is_change(item: Any) -> bool:
    if not isinstance(item, dict) or set(item) != set(draft.Change._fields):
        return False
    is_valid = (
        isinstance(item['key'], str) and item['section'] in draft.SECTIONS
    )
    return is_valid and isinstance(item['record'], dict | None)
