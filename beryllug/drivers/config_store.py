"""The accepted configuration in the platform's object API.

A document is written as immutable parts first; then one conditional update of
the root puts it in force. A reader sees the old configuration or the new one,
and of two operators who race one gets a conflict.

An answer can be lost after its write took effect. The root remembers the ids
of the last applies, so it is read again and tells. Only where it shows that
the write did not happen is the same conditional write made again; the late
first one then fails on its condition.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import result

from beryllug.core import config_data, config_root, diff, document_parts
from beryllug.drivers import object_api, object_data, part_store

ATTEMPTS = 8
PAUSE_S = 0.05
MAX_PAUSE_S = 1.0


class Snapshot(NamedTuple):
    """One whole configuration.

    Attributes:
        version: The store's version of the root.
        root: The root.
        document: The document that it stands for.
        chunks: The bytes of its parts, as they were written.
    """

    version: int
    root: config_root.Root
    document: config_data.Document
    chunks: tuple[bytes, ...] = ()


class Apply(NamedTuple):
    """A document that an operator wants in force.

    Attributes:
        document: The document, already judged to be sound.
        expect_revision: The revision it was written against.
        author: Who applies it.
        apply_id: Unique id of this apply, the same in a repeat.
    """

    document: config_data.Document
    expect_revision: int
    author: str
    apply_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another revision is in force than the one expected.

    Attributes:
        revision: The revision in force.
        author: Who applied it.
        differences: What was changed since the expected revision; where
            that is forgotten, what the refused document would have changed.
    """

    revision: int
    author: str
    differences: tuple[diff.Difference, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Nothing was put in force: the platform couldn't be used."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """It may or may not be in force; repeat it with the same apply id."""

    apply_id: str
    reason: str


Refusal = Conflict | Unavailable | Uncertain
Outcome = result.Result[int, Refusal]


class _Found(NamedTuple):
    """The root and its version; version 0 where there is none yet."""

    version: int
    root: config_root.Root


class UnreadableError(object_data.ObjectApiError):
    """A newer release wrote what this one can't read at all."""


class ConfigStore:
    """Reads and applies configurations."""

    def __init__(self, api: object_api.ObjectApi) -> None:
        """Make a store over the platform's object API."""
        self.parts = part_store.PartStore(api)
        self._api = api
        self._floor = 0

    async def read(self) -> Snapshot | None:
        """Read the configuration in force, whole; None before the first.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        for attempt in range(ATTEMPTS):
            found = await self.read_root()
            if not found.version:
                return None
            try:
                chunks = await self.parts.get(found.root.parts)
            except part_store.PartMissingError:
                # Parts of an old root are collected some time after. This
                # root was overtaken while its parts were read: read anew.
                await asyncio.sleep(_pause(attempt))
            else:
                self.parts.keep_only(found.root.parts)
                return Snapshot(
                    found.version, found.root, _join(chunks), chunks
                )
        raise part_store.PartMissingError('parts of the root are missing')

    async def read_root(self) -> _Found:
        """Read the root, never an older one than was seen before.

        Raises:
            ObjectApiError: The platform can't be read, or only a replica
                that lags behind.
        """
        for attempt in range(ATTEMPTS):
            stored = await self._api.read(config_root.KEY)
            version = stored.version if stored else 0
            if version >= self._floor:
                self._floor = version
                raw = stored.value if stored else b''
                return _Found(version, _decode(raw))
            await asyncio.sleep(_pause(attempt))
        raise object_data.UnavailableError('only stale answers')

    async def assemble(self, root: config_root.Root) -> config_data.Document:
        """Build the document of a root; reads the parts that aren't held.

        Raises:
            PartMissingError: The root was overtaken and its parts collected.
            ObjectApiError: The platform can't be read.
        """
        return _join(await self.parts.get(root.parts))

    async def past(self, revision: int) -> config_data.Document | None:
        """Return the document of a remembered revision, or None.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        found = await self.read_root()
        return await self._past(found.root, revision)

    async def apply(self, req: Apply, now: float) -> Outcome:
        """Put a document in force if the expected revision still is.

        Args:
            req: What to apply.
            now: Seconds of the wall clock, for the history.

        Returns:
            The new revision, or why there is none.
        """
        return await _Applying(self, self._api, req, now).run()

    async def explain(
        self, root: config_root.Root, req: Apply
    ) -> tuple[diff.Difference, ...]:
        """Tell what stands between a refused apply and the present root."""
        try:
            present = await self.assemble(root)
            base = await self._past(root, req.expect_revision)
        except object_data.ObjectApiError:
            return ()
        if base is None:
            return diff.compare(present, req.document)
        return diff.compare(base, present)

    def overtaken(self, version: int) -> None:
        """Take note that the root has at least this version."""
        self._floor = max(self._floor, version)

    async def _past(
        self, root: config_root.Root, revision: int
    ) -> config_data.Document | None:
        for past in root.history:
            if past.revision == revision:
                listed = await self.parts.get((past.manifest,))
                digests = document_parts.read_manifest(listed[0])
                chunks = await self.parts.get(digests)
                self.parts.keep_only(root.parts)
                return _join(chunks)
        return None


class _Applying:
    """One apply: what was tried so far and what may still take effect."""

    def __init__(
        self,
        store: ConfigStore,
        api: object_api.ObjectApi,
        req: Apply,
        now: float,
    ) -> None:
        self._store = store
        self._api = api
        self._req = req
        self._stamp = config_root.Stamp(req.author, now, req.apply_id)
        self._stored_at = -1
        self._doubted = -1

    async def run(self) -> Outcome:
        """Try until it is known how the apply ended, or give up."""
        reason = ''
        for attempt in range(ATTEMPTS):
            try:
                outcome = await self._try(last=attempt + 1 == ATTEMPTS)
            except object_data.TooLargeError as exc:
                return result.Err(Unavailable(str(exc)))
            except object_data.ObjectApiError as exc:
                reason = str(exc) or type(exc).__name__
                outcome = None
            if outcome is not None:
                return outcome
            await asyncio.sleep(_pause(attempt))
        if self._doubted >= 0:
            return result.Err(Uncertain(self._req.apply_id, reason))
        return result.Err(Unavailable(reason))

    async def _try(self, last: bool) -> Outcome | None:
        found = await self._store.read_root()
        if found.version != self._doubted:
            # The root has moved on: a write that was conditional on the
            # version before can't take effect any more.
            self._doubted = -1
        revision = config_root.applied(found.root, self._req.apply_id)
        if revision is not None:
            return result.Ok(revision)
        expected = self._req.expect_revision
        if found.root.revision < expected and not last:
            # A replica that lags behind; the operator has seen a newer one.
            return None
        if found.root.revision != expected:
            return result.Err(await self._refuse(found.root))
        return await self._write(found)

    async def _refuse(self, root: config_root.Root) -> Refusal:
        if not config_root.reaches_back(root, self._req.expect_revision):
            reason = 'the history no longer reaches back to this apply'
            return Uncertain(self._req.apply_id, reason)
        differences = await self._store.explain(root, self._req)
        return Conflict(root.revision, root.author, differences)

    async def _write(self, found: _Found) -> Outcome | None:
        parts = document_parts.split(self._req.document)
        digests = tuple(part.digest for part in parts)
        listed = document_parts.manifest(digests)
        # Parts of the present root can't be collected while it stays as it
        # is. The others are written again after each change of the root.
        if found.version != self._stored_at:
            known = set(found.root.parts)
            for part in (*parts, listed):
                if part.digest not in known:
                    await self._store.parts.put(part)
            self._stored_at = found.version
        root = config_root.advance(
            found.root, self._stamp, digests, listed.digest
        )
        return await self._swap(root, found.version)

    async def _swap(
        self, root: config_root.Root, version: int
    ) -> Outcome | None:
        """Update the root; None where the next look at it has to tell."""
        raw = config_root.encode(root)
        try:
            written = await self._api.write(config_root.KEY, raw, version)
        except object_data.ConflictError as exc:
            self._store.overtaken(exc.current_version)
            return None
        except object_data.UncertainError:
            self._doubted = version
            raise
        self._store.overtaken(written)
        return result.Ok(root.revision)


def _join(chunks: Iterable[bytes]) -> config_data.Document:
    try:
        return document_parts.join(map(document_parts.parse, chunks))
    except ValueError as exc:
        raise UnreadableError(str(exc)) from exc


def _decode(raw: bytes) -> config_root.Root:
    if not raw:
        return config_root.Root()
    try:
        return config_root.decode(raw)
    except ValueError as exc:
        raise object_data.UncertainError(f'root unreadable: {exc}') from exc


def _pause(attempt: int) -> float:
    return min(PAUSE_S * (1 << attempt), MAX_PAUSE_S)
