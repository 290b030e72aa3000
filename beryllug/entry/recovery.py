"""Recovers an answer whose entry host was lost before its delivery.

The engine that runs a request continues without its entry process and keeps
the answer for a while. Another entry process reads it by the request id from
its first byte, writes the outcome and returns it to the client. Nothing runs a
second time.
"""

from absl import logging

from beryllug.core import config_data, journal_data, request_id, rpc_data
from beryllug.drivers import (
    answer_timeouts,
    engine_stream,
    http_client,
    http_data,
)
from beryllug.entry import chat_bill, chat_data, headers, flow_dependencies

OK = 200


class Recovery:
    """Finds answers on the engines by request id."""

    def __init__(self, deps: flow_dependencies.FlowDependencies) -> None:
        """Use the given services."""
        self._deps = deps

    async def find(
        self, account_id: str, wanted_id: str, deadline: float
    ) -> journal_data.Row | None:
        """Find the answer of a try that has an intent and no outcome.

        Args:
            account_id: The client account.
            wanted_id: Id of the try.
            deadline: Monotonic second until which to wait for the answer.

        Returns:
            Its outcome, which is written now; None if no engine has its
            answer.
        """
        intent = await self._find_intent(account_id, wanted_id)
        version = self._version(intent) if intent else None
        if intent is None or version is None:
            return None
        index = self._deps.link.index
        for server in index.servers.get(version.pool, ()):
            found = await self._read_from(server.address, wanted_id, deadline)
            if found is not None:
                return await self._finish(
                    intent, version, server.server_id, found
                )
        return None

    async def _find_intent(
        self, account_id: str, wanted_id: str
    ) -> journal_data.Row | None:
        request = rpc_data.LookupRequest(
            account_id,
            request_id.family_of(wanted_id),
            journal_data.RowKind.INTENT,
        )
        reply = await self._deps.outbox.lookup(request)
        row = reply.row
        return row if row and row.request_id == wanted_id else None

    def _version(self, intent: journal_data.Row) -> config_data.Version | None:
        """Return the version that the try runs on, from the row's note."""
        index = self._deps.link.index
        return index.versions.get(chat_data.parse_name(intent.note))

    async def _read_from(
        self, address: str, wanted_id: str, deadline: float
    ) -> tuple[str, bytes] | None:
        """Read a whole answer; return its media type and body, or None."""
        try:
            incoming = await self._deps.engine.resume(address, wanted_id, 0)
        except (http_data.NotSentError, http_data.BrokenError):
            return None
        if incoming is None:
            return None
        try:
            async with answer_timeouts.at_deadline(deadline):
                body = await incoming.read()
        except (http_data.BrokenError, TimeoutError):
            return None
        finally:
            incoming.close()
        whole = incoming.status == OK and _is_whole(incoming, body)
        return (_media_type(incoming), body) if whole else None

    async def _finish(
        self,
        intent: journal_data.Row,
        version: config_data.Version,
        server_id: str,
        found: tuple[str, bytes],
    ) -> journal_data.Row:
        media_type, body = found
        answer = await self._deps.answers.store(
            intent.request_id, OK, media_type, body
        )
        use = chat_bill.stage_use_of_stored(version, server_id, body)
        logging.info('event=recovered request_id=%s', intent.request_id)
        return await self._deps.bills.finish_for_lost_entry(intent, use, answer)


def _is_whole(incoming: http_client.IncomingResponse, body: bytes) -> bool:
    if _media_type(incoming) != headers.EVENTS_TYPE:
        return bool(body)
    tail = engine_stream.StreamTail()
    tail.feed(body)
    return tail.reached_end()


def _media_type(incoming: http_client.IncomingResponse) -> str:
    return incoming.headers.get(headers.CONTENT_TYPE, headers.JSON_TYPE)
