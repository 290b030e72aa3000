"""Deletes unreferenced configuration parts periodically.

One process of the fleet does it at a time, as far as the members agree on
which; two that do it at once only duplicate work.
"""

import asyncio
import time
from collections.abc import Callable

from absl import logging

from beryllug.drivers import object_data, part_collector

COLLECT_INTERVAL_S = 300.0


async def run(
    collector: part_collector.PartCollector, is_responsible: Callable[[], bool]
) -> None:
    """Collect periodically, without end.

    Args:
        collector: Lists and deletes the parts.
        is_responsible: Tells whether this process is to collect now.
    """
    while True:
        await asyncio.sleep(COLLECT_INTERVAL_S)
        if is_responsible():
            await _collect(collector)


async def _collect(collector: part_collector.PartCollector) -> None:
    try:
        await collector.collect(time.monotonic())
    except object_data.ObjectApiError as exc:
        logging.warning('event=parts_not_collected error=%s', exc)
