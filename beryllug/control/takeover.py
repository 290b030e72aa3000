"""Takeover of a shard from its earlier owner."""

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
    """Fence off the earlier owner and return the shard's state.

    Platform failures are retried without limit, as nobody serves the shard
    until the takeover succeeds.

    Args:
        api: The platform.
        shard: The shard.
        log: Its log, under the new owner's fencing token.
        prepare: Adds to the state what the platform may not have.

    Raises:
        ShardLostError: A later owner has already taken over.
    """
    while True:
        try:
            return await _take_over_once(api, shard, log, prepare)
        except object_data.ObjectApiError as exc:
            logging.warning(
                'event=takeover_failed shard=%d error=%s', shard, exc
            )
            await asyncio.sleep(RETRY_S)


async def _take_over_once(
    api: object_api.ObjectApi,
    shard: int,
    log: segments.ShardLog,
    prepare: Prepare,
) -> images.Restored:
    base = await images.read_base(api, shard)
    last = await log.take_over(images.compacted_upto(base))
    # Until it was fenced off, the earlier owner may have written a newer image
    # and deleted tables and segments that the older one needs.
    base = await images.read_base(api, shard)
    restored = await images.restore(api, shard, base, last)
    journal_log.finish_replay(restored.state, time.monotonic())
    await prepare(restored.state)
    return restored
