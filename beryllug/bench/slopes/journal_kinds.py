"""Builds state of a journal shard's owner, to measure its memory."""

from collections.abc import Callable
from typing import Any

from beryllug.bench import journal_world
from beryllug.core import (
    digest_index,
    journal,
    journal_data,
    journal_log,
    shard_state,
)
from beryllug.drivers import wire

Make = Callable[[], Any]


def tries(count: int) -> Make:
    """Return a builder of open non-idempotent requests."""
    raws = [
        wire.encode(journal_world.intent(f'{number}'))
        for number in range(count)
    ]
    decode = wire.decoder(journal_data.Row)

    def make() -> Any:  # noqa: WPS430
        state = shard_state.ShardState()
        for raw in raws:
            row = decode(raw)
            journal.begin(state, row, 0)
            journal_log.committed(state, row, 1, 0)
        return state

    return make


def bills(count: int) -> Make:
    """Return a builder of finished requests without an idempotency key."""
    outcome_row = journal_world.outcome(journal_world.intent('0'))

    def make() -> Any:  # noqa: WPS430
        state = shard_state.ShardState()
        for number in range(count):
            name = f'{number}'
            row = outcome_row._replace(request_id=name, shard_key=name)
            journal_log.committed(state, row, 1, 0)
        return state

    return make


def sessions(count: int) -> Make:
    """Return a builder of an index with positions of session records."""

    def make() -> Any:  # noqa: WPS430
        index = digest_index.Index()
        for number in range(count):
            key = digest_index.digest('session', f'{number}')
            digest_index.put(index, key, 1, 0)
        return index

    return make
