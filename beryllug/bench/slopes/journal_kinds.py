"""Builds state of a journal shard's owner, to measure its memory."""

from collections.abc import Callable
from typing import Any

from beryllug.bench import journal_harness
from beryllug.core import (
    digest_index,
    journal,
    journal_data,
    journal_log,
    shard_state,
)
from beryllug.drivers import wire

StateFactory = Callable[[], Any]


def open_requests(count: int) -> StateFactory:
    """Return a builder of open non-idempotent requests."""
    raws = [
        wire.encode(journal_harness.intent(f'{number}'))
        for number in range(count)
    ]
    decode = wire.decoder(journal_data.Row)

    def make() -> Any:  # noqa: WPS430
        state = shard_state.ShardState()
        for raw in raws:
            row = decode(raw)
            journal.begin(state, row, 0)
            journal_log.apply_committed(state, row, 1, 0)
        return state

    return make


def finished_requests(count: int) -> StateFactory:
    """Return a builder of finished requests without an idempotency key."""
    outcome_row = journal_harness.outcome(journal_harness.intent('0'))

    def make() -> Any:  # noqa: WPS430
        state = shard_state.ShardState()
        for number in range(count):
            name = f'{number}'
            row = outcome_row._replace(request_id=name, shard_key=name)
            journal_log.apply_committed(state, row, 1, 0)
        return state

    return make


def sessions(count: int) -> StateFactory:
    """Return a builder of an index with positions of session records."""

    def make() -> Any:  # noqa: WPS430
        index = digest_index.Index()
        for number in range(count):
            key = digest_index.digest('session', f'{number}')
            digest_index.put(index, key, 1, 0)
        return index

    return make
