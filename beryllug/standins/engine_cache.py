"""The prefix cache of the engine stand-in and its event feed."""

import collections
import random
import time

import msgspec

from beryllug.drivers import engine_data

MAX_EVENTS = 10000


class PrefixCache:
    """Blocks of prompt prefixes, with least-recently-used eviction."""

    def __init__(self, size: int) -> None:
        """Create a cache for a number of blocks."""
        self._size = size
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[
            tuple[float, engine_data.CacheEvent]
        ] = collections.deque(maxlen=MAX_EVENTS)

    def get_or_store(self, blocks: list[str]) -> int:
        """Look up a prompt's blocks and store the missing ones.

        Returns:
            Number of leading blocks that were cached.
        """
        hits = len(self.cached_prefix(blocks))
        for block in blocks:
            self._store(block)
        return hits

    def cached_prefix(self, blocks: list[str]) -> list[str]:
        """Return the leading blocks of a prompt that are cached."""
        found: list[str] = []
        for block in blocks:
            if block not in self._blocks:
                return found
            found.append(block)
        return found

    def clear(self) -> None:
        """Remove all blocks without events, as a crash does."""
        self._blocks.clear()

    def events(
        self, after: int, lag_s: float, gap_rate: float
    ) -> engine_data.CacheEvents:
        """Return the events visible to a reader, with lag and gaps."""
        visible_until = time.monotonic() - lag_s
        visible = [
            event
            for at, event in self._events
            if event.sequence > after and at <= visible_until
        ]
        latest = visible[-1].sequence if visible else after
        delivered = (event for event in visible if not _is_gap(event, gap_rate))
        return engine_data.CacheEvents(latest, tuple(delivered))

    def _store(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._append_event(block, stored=True)
        if len(self._blocks) > self._size:
            evicted, _ = self._blocks.popitem(last=False)
            self._append_event(evicted, stored=False)

    def _append_event(self, block: str, *, stored: bool) -> None:
        self._sequence += 1
        event = engine_data.CacheEvent(self._sequence, stored, block)
        self._events.append((time.monotonic(), event))


def encode_blocks(blocks: list[str]) -> bytes:
    """Encode exported blocks."""
    return msgspec.msgpack.encode(blocks)


def decode_blocks(encoded: bytes) -> list[str]:
    """Decode exported blocks.

    Raises:
        DecodeError: The data is not a valid export.
    """
    return msgspec.msgpack.decode(encoded, type=list[str])


def _is_gap(event: engine_data.CacheEvent, gap_rate: float) -> bool:
    """Decide by sequence number, so that rereading gives the same gaps."""
    return random.Random(event.sequence).random() < gap_rate
