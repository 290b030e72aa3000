"""Deletes parts of forgotten configurations now and then.

One process of the fleet does it at a time, as far as the members agree on
which; two that do it at once only repeat each other's work.
"""

import asyncio
import time
from collections.abc import Callable

from absl import logging

from beryllug.drivers import object_data, part_collector

EVERY_S = 300.0


async def run(
    collector: part_collector.PartCollector, is_chosen: Callable[[], bool]
) -> None:
    """Collect without end.

    Args:
        collector: What lists and deletes.
        is_chosen: Tells whether this process is the one to do it now.
    """
    while True:
        await asyncio.sleep(EVERY_S)
        if is_chosen():
            await _collect(collector)


async def _collect(collector: part_collector.PartCollector) -> None:
    try:
        await collector.collect(time.monotonic())
    except object_data.ObjectApiError as exc:
        logging.warning('event=parts_not_collected error=%s', exc)
