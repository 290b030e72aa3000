"""The prefix cache of the engine stand-in and the feed of its events."""

import collections
import random
import time

import msgspec

from beryllug.drivers import engine_data

KEPT_EVENTS = 10000


class PrefixCache:
    """Blocks of prompt prefixes, the least recently used evicted first."""

    def __init__(self, size: int) -> None:
        """Make a cache of so many blocks."""
        self._size = size
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0
        self._events: collections.deque[
            tuple[float, engine_data.CacheEvent]
        ] = collections.deque(maxlen=KEPT_EVENTS)

    def use(self, blocks: list[str]) -> int:
        """Look up a prompt's blocks and store what is missing.

        Returns:
            How many of the first blocks were cached.
        """
        hits = len(self.cached(blocks))
        for block in blocks:
            self._store(block)
        return hits

    def cached(self, blocks: list[str]) -> list[str]:
        """Return the cached ones of a prompt's first blocks."""
        found: list[str] = []
        for block in blocks:
            if block not in self._blocks:
                return found
            found.append(block)
        return found

    def clear(self) -> None:
        """Lose everything, without events: this is a crash."""
        self._blocks.clear()

    def events(
        self, after: int, lag_s: float, gap_rate: float
    ) -> engine_data.CacheEvents:
        """Return the events that a reader gets: late and with gaps."""
        shown_until = time.monotonic() - lag_s
        shown = [
            event
            for at, event in self._events
            if event.sequence > after and at <= shown_until
        ]
        latest = shown[-1].sequence if shown else after
        kept = (event for event in shown if not _is_gap(event, gap_rate))
        return engine_data.CacheEvents(latest, tuple(kept))

    def _store(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._note(block, stored=True)
        if len(self._blocks) > self._size:
            evicted, _ = self._blocks.popitem(last=False)
            self._note(evicted, stored=False)

    def _note(self, block: str, *, stored: bool) -> None:
        self._sequence += 1
        event = engine_data.CacheEvent(self._sequence, stored, block)
        self._events.append((time.monotonic(), event))


def export(blocks: list[str]) -> bytes:
    """Encode exported blocks."""
    return msgspec.msgpack.encode(blocks)


def parse_export(exported: bytes) -> list[str]:
    """Decode exported blocks.

    Raises:
        DecodeError: It is no export.
    """
    return msgspec.msgpack.decode(exported, type=list[str])


def _is_gap(event: engine_data.CacheEvent, gap_rate: float) -> bool:
    """Draw by sequence number, so that a gap stays one when read again."""
    return random.Random(event.sequence).random() < gap_rate
