"""Sessions, which stay on the version that answered first.

The pin is returned as a signed token. The session of a client that does not
send the token is found by a journal record, so it also survives the loss of
the entry host and a change of the roll-out share.
"""

import time
from collections import OrderedDict
from typing import Any

from beryllug.core import (
    config_data,
    journal_data,
    request_id,
    rpc_data,
    session_token,
    versions,
)
from beryllug.entry import call_data, control_link, outbox

CACHE_SIZE = 4096
RECORD_TIMEOUT_S = 2.0
SEPARATOR = '@'


class Sessions:
    """Service 'sessions' of an entry process."""

    def __init__(
        self, entry: str, link: control_link.ControlLink, rows: outbox.Outbox
    ) -> None:
        """Use the given link, for its token keys, and the outbox."""
        self._entry = entry
        self._link = link
        self._outbox = rows
        self._cache: OrderedDict[str, config_data.VersionRef] = OrderedDict()

    async def start(self) -> None:
        """Do nothing: no background task is needed."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing: it holds no socket and no task."""

    def dump(self) -> dict[str, Any]:
        """Return the number of cached sessions."""
        return {'remembered': len(self._cache)}

    async def find(self, call: call_data.Call) -> versions.Session:
        """Return the session of a call with its pinned version, if any."""
        if not call.session_id:
            return versions.Session(call.facts.session_key)
        pin = self._from_token(call) or await self._from_record(call)
        pins = (pin,) if pin else ()
        return versions.Session(call.session_id, pins)

    async def pin(
        self,
        call: call_data.Call,
        session: versions.Session,
        version: config_data.VersionRef,
    ) -> str:
        """Pin the session to the version that answers; return its token.

        The record is written before the client sees the answer, so that every
        host can find a session whose first answer the client has seen.
        """
        if not call.session_id:
            return ''
        family = _family(call)
        if version not in session.pins:
            await self._outbox.finish(
                self._record(call, version), RECORD_TIMEOUT_S
            )
        self._cache_pin(family, version)
        pin = session_token.Pin(
            call.account.account_id,
            call.session_id,
            call.facts.asked,
            version,
        )
        return session_token.sign(pin, self._link.known.token_keys)

    def _from_token(
        self, call: call_data.Call
    ) -> config_data.VersionRef | None:
        pin = session_token.verify(
            call.session_token, self._link.known.token_keys
        )
        if pin is None:
            return None
        pinned = (pin.account_id, pin.session_id, pin.model)
        requested = (call.account.account_id, call.session_id, call.facts.asked)
        return pin.version if pinned == requested else None

    async def _from_record(
        self, call: call_data.Call
    ) -> config_data.VersionRef | None:
        family = _family(call)
        known = self._cache.get(family)
        if known is not None:
            return known
        reply = await self._outbox.lookup(
            rpc_data.LookupRequest(
                call.account.account_id, family, journal_data.RowKind.SESSION
            )
        )
        if reply.row is None:
            return None
        model, _, version = reply.row.note.partition(SEPARATOR)
        return config_data.VersionRef(model, version)

    def _record(
        self, call: call_data.Call, version: config_data.VersionRef
    ) -> journal_data.Row:
        family = _family(call)
        return journal_data.Row(
            kind=journal_data.RowKind.SESSION,
            request_id=f'{family}-{call.request_id}',
            account_id=call.account.account_id,
            shard_key=family,
            body_hash='',
            at=time.time(),
            entry=self._entry,
            note=f'{version.model}{SEPARATOR}{version.version}',
        )

    def _cache_pin(self, family: str, version: config_data.VersionRef) -> None:
        self._cache[family] = version
        self._cache.move_to_end(family)
        if len(self._cache) > CACHE_SIZE:
            self._cache.popitem(last=False)


def _family(call: call_data.Call) -> str:
    return request_id.session_family(
        call.account.account_id, call.session_id, call.facts.asked
    )
