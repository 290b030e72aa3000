"""Immutable parts in the platform's object API, named by their digest.

A part never changes, so it is cached and not read again as long as the
configuration that was read last refers to it.
"""

import asyncio
from collections.abc import Iterable, Mapping

from beryllug.core import document_parts
from beryllug.drivers import object_api, object_data

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.05
MAX_CONCURRENT_READS = 8


class PartMissingError(object_data.ObjectApiError):
    """A part does not exist, or its bytes don't match its digest."""


class PartStore:
    """Reads and writes parts, caching those in use."""

    def __init__(self, api: object_api.ObjectApi) -> None:
        """Create a store with an empty cache."""
        self._api = api
        self._cached: dict[str, bytes] = {}
        self._read_limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

    @property
    def cached(self) -> Mapping[str, bytes]:
        """Cached parts by digest."""
        return self._cached

    def cache(self, parts: Iterable[document_parts.Part]) -> None:
        """Cache parts that were received from elsewhere, if intact."""
        for part in parts:
            if document_parts.is_whole(part):
                self._cached[part.digest] = part.content

    def retain_only(self, digests: Iterable[str]) -> None:
        """Drop all other parts from the cache."""
        wanted = set(digests)
        self._cached = {
            digest: content
            for digest, content in self._cached.items()
            if digest in wanted
        }

    async def get(self, digests: Iterable[str]) -> tuple[bytes, ...]:
        """Return the bytes of parts, in order, reading those not cached.

        Raises:
            PartMissingError: A part does not exist any more or is damaged.
            ObjectApiError: The platform can't be read.
        """
        return tuple(await asyncio.gather(*map(self._get, digests)))

    async def put(self, part: document_parts.Part) -> None:
        """Write a part, also if it exists already.

        Overwriting changes its version, so a collector that listed it as
        unused before can't delete it any more: its delete is conditional on
        the listed version. All writers write the same bytes, so a write with
        unknown outcome is just repeated.

        Raises:
            ObjectApiError: The part could not be written.
        """
        key = document_parts.key_of(part.digest)
        for attempt in range(MAX_ATTEMPTS):
            try:
                await self._api.write(key, part.content, None)
            except object_data.TooLargeError:
                raise
            except object_data.ObjectApiError:
                if attempt + 1 == MAX_ATTEMPTS:
                    raise
                await asyncio.sleep(RETRY_DELAY_S * (1 << attempt))
            else:
                return

    async def _get(self, digest: str) -> bytes:
        content = self._cached.get(digest)
        if content is None:
            async with self._read_limit:
                content = await self._fetch(digest)
            self._cached[digest] = content
        return content

    async def _fetch(self, digest: str) -> bytes:
        found = await self._api.read(document_parts.key_of(digest))
        if found is None:
            raise PartMissingError(f'part {digest} is missing')
        if not document_parts.is_whole(
            document_parts.Part(digest, found.value)
        ):
            raise PartMissingError(f'part {digest} is damaged')
        return found.value
