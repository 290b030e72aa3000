"""Immutable parts in the platform, named by their digest.

A part that was read once never changes, so it is kept and not read again as
long as the configuration that was read last uses it.
"""

import asyncio
from collections.abc import Iterable, Mapping

from beryllug.core import document_parts
from beryllug.drivers import object_api, object_data

ATTEMPTS = 4
PAUSE_S = 0.05
AT_ONCE = 8


class PartMissingError(object_data.ObjectApiError):
    """A part isn't there, or its bytes aren't those that it is named by."""


class PartStore:
    """Reads and writes parts, and keeps those in use."""

    def __init__(self, api: object_api.ObjectApi) -> None:
        """Make a store that holds nothing yet."""
        self._api = api
        self._kept: dict[str, bytes] = {}
        self._gate = asyncio.Semaphore(AT_ONCE)

    @property
    def kept(self) -> Mapping[str, bytes]:
        """Parts that are held, by digest."""
        return self._kept

    def keep(self, parts: Iterable[document_parts.Part]) -> None:
        """Hold parts that came another way; others are read when needed."""
        for part in parts:
            if document_parts.is_whole(part):
                self._kept[part.digest] = part.content

    def keep_only(self, digests: Iterable[str]) -> None:
        """Drop every part but these."""
        wanted = set(digests)
        self._kept = {
            digest: content
            for digest, content in self._kept.items()
            if digest in wanted
        }

    async def get(self, digests: Iterable[str]) -> tuple[bytes, ...]:
        """Return the bytes of parts, in order; reads those not held.

        Raises:
            PartMissingError: One isn't there any more.
            ObjectApiError: The platform can't be read.
        """
        return tuple(await asyncio.gather(*map(self._get, digests)))

    async def put(self, part: document_parts.Part) -> None:
        """Write a part, over itself if it is there.

        Writing over it moves its version, so a collector that listed it as
        unused before can no longer delete it: its delete is conditional on
        the listed version. The bytes are the same whoever writes them, so
        an uncertain write is simply made again.

        Raises:
            ObjectApiError: It could not be written.
        """
        key = document_parts.key_of(part.digest)
        for attempt in range(ATTEMPTS):
            try:
                await self._api.write(key, part.content, None)
            except object_data.TooLargeError:
                raise
            except object_data.ObjectApiError:
                if attempt + 1 == ATTEMPTS:
                    raise
                await asyncio.sleep(PAUSE_S * (1 << attempt))
            else:
                return

    async def _get(self, digest: str) -> bytes:
        content = self._kept.get(digest)
        if content is None:
            async with self._gate:
                content = await self._fetch(digest)
            self._kept[digest] = content
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
