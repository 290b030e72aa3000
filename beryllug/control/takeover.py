"""Taking a shard over from its earlier owner."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from absl import logging

from beryllug.control import images, segments
from beryllug.core import journal_log, shard_state
from beryllug.drivers import object_api, object_data

RETRY_S = 0.1

Prepare = Callable[[shard_state.ShardState], Awaitable[None]]


async def take_over(
    api: object_api.ObjectApi,
    shard: int,
    log: segments.ShardLog,
    prepare: Prepare,
) -> images.Restored:
    """Shut the earlier owner out and return the shard's state.

    It goes on until it succeeds: until then nobody serves the shard.

    Args:
        api: The platform.
        shard: The shard.
        log: Its log, under the new owner's token.
        prepare: Completes the state by what the platform may not have.

    Raises:
        LostError: A later owner was here already.
    """
    while True:
        try:
            return await _try(api, shard, log, prepare)
        except object_data.ObjectApiError as exc:
            logging.warning(
                'event=takeover_failed shard=%d error=%s', shard, exc
            )
            await asyncio.sleep(RETRY_S)


async def _try(
    api: object_api.ObjectApi,
    shard: int,
    log: segments.ShardLog,
    prepare: Prepare,
) -> images.Restored:
    base = await images.read_base(api, shard)
    last = await log.take_over(images.after(base))
    # The earlier owner can have written a newer image until it was shut out,
    # and have deleted what an older one needs.
    base = await images.read_base(api, shard)
    restored = await images.restore(api, shard, base, last)
    journal_log.replayed(restored.state, time.monotonic())
    await prepare(restored.state)
    return restored
