"""What a page of the console carries, and how it is known to be ours."""

import hashlib
import hmac
import json
import uuid
from typing import Any
from urllib.parse import parse_qsl

from beryllug.control import console_pages, operator_replies
from beryllug.core import draft, plain
from beryllug.drivers import http_data
from beryllug.kernel import ops

MAX_FIELDS = 20000
CROSS_SITE = frozenset(('cross-site', 'same-site'))
TOKEN_TEXT = b'beryllug console'

Fields = dict[str, str]
Session = console_pages.Session


def fields_of(req: http_data.Request) -> Fields:
    """Return the fields of a submitted form; none where it is no form."""
    try:
        pairs = parse_qsl(
            req.body.decode(), keep_blank_values=True, max_num_fields=MAX_FIELDS
        )
    except ValueError:
        return {}
    return dict(pairs)


def read(req: http_data.Request, fields: Fields) -> Session:
    """Return what a request carries; a new session where it has none."""
    given = ops.credentials(req)
    author = given.user
    if operator_replies.WORD.fullmatch(author) is None:
        author = 'console'
    revision = fields.get('revision', '')
    return Session(
        author=author,
        token=_token(given),
        revision=int(revision) if revision.isdecimal() else -1,
        changes=_changes(fields.get('changes', '[]')),
        apply_id=fields.get('apply_id') or uuid.uuid4().hex,
    )


def is_ours(req: http_data.Request, fields: Fields, session: Session) -> bool:
    """Tell whether a form was submitted from one of our pages.

    A browser sends the operator's key with every request to this address,
    also with one that a foreign page makes. Such a page can't know the token,
    and the browser says that it is foreign.
    """
    if req.headers.get('sec-fetch-site', '') in CROSS_SITE:
        return False
    sent = fields.get('token', '').encode()
    return hmac.compare_digest(sent, session.token.encode())


def _token(given: ops.Credentials) -> str:
    text = TOKEN_TEXT + given.user.encode()
    return hmac.new(given.key.encode(), text, hashlib.sha256).hexdigest()


def _changes(text: str) -> tuple[draft.Change, ...]:
    """Read the changes; those of a shape that we don't write are dropped."""
    try:
        listed = json.loads(text)
    except (ValueError, RecursionError):
        return ()
    if not isinstance(listed, list):
        return ()
    return tuple(
        plain.from_plain(draft.Change, item)
        for item in listed
        if _is_change(item)
    )


def _is_change(item: Any) -> bool:
    if not isinstance(item, dict) or set(item) != set(draft.Change._fields):
        return False
    words = isinstance(item['key'], str) and item['section'] in draft.SECTIONS
    return words and isinstance(item['record'], dict | None)
