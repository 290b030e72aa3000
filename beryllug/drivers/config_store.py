"""The accepted configuration in the platform's object API.

A document is first written as immutable parts; then one conditional update of
the root activates it. A reader sees either the old configuration or the new
one, and of two concurrent applies one gets a conflict.

A response can be lost after its write took effect. The root records the ids of
the last applies, so reading it again shows the outcome. The same conditional
write is repeated only if the root shows that it did not happen; should the
first one still arrive late, it then fails on its condition.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import result

from beryllug.core import config_data, config_root, diff, document_parts
from beryllug.drivers import object_api, object_data, part_store

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0


class Snapshot(NamedTuple):
    """One complete configuration.

    Attributes:
        version: The store's version of the root.
        root: The root.
        document: The document that the root refers to.
        chunks: The encoded parts of the document, as stored.
    """

    version: int
    root: config_root.Root
    document: config_data.Document
    chunks: tuple[bytes, ...] = ()


class ApplyRequest(NamedTuple):
    """A request to activate a document.

    Attributes:
        document: The document, already validated.
        expect_revision: The revision that it is based on.
        author: The operator.
        apply_id: Unique id of this apply, the same in a retry.
    """

    document: config_data.Document
    expect_revision: int
    author: str
    apply_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The current revision is not the expected one.

    Attributes:
        revision: The current revision.
        author: The operator who applied it.
        differences: Changes since the expected revision; if that is no
            longer in the history, the changes that the rejected document
            would have made.
    """

    revision: int
    author: str
    differences: tuple[diff.Difference, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Nothing was applied: the platform is unavailable."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The apply may have taken effect; retry it with the same apply id."""

    apply_id: str
    reason: str


Refusal = Conflict | Unavailable | Uncertain
Outcome = result.Result[int, Refusal]


class _VersionedRoot(NamedTuple):
    """The root and its version, 0 if there is no root yet."""

    version: int
    root: config_root.Root


class UnreadableError(object_data.ObjectApiError):
    """A newer release wrote a configuration that this one can't decode."""


class ConfigStore:
    """Reads and applies configurations."""

    def __init__(self, api: object_api.ObjectApi) -> None:
        """Create a store on the platform's object API."""
        self.parts = part_store.PartStore(api)
        self._api = api
        self._min_version = 0

    async def read(self) -> Snapshot | None:
        """Read the current configuration; None before the first apply.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        for attempt in range(MAX_ATTEMPTS):
            current = await self.read_root()
            if not current.version:
                return None
            try:
                chunks = await self.parts.get(current.root.parts)
            except part_store.PartMissingError:
                # The root was replaced while its parts were read, and the
                # parts of the old one were collected: start again.
                await asyncio.sleep(_retry_delay_s(attempt))
            else:
                self.parts.retain_only(current.root.parts)
                return Snapshot(
                    current.version, current.root, _join(chunks), chunks
                )
        raise part_store.PartMissingError('parts of the root are missing')

    async def read_root(self) -> _VersionedRoot:
        """Read the root, never an older version than was seen before.

        Raises:
            ObjectApiError: The platform can't be read, or reads return only
                stale versions from a lagging replica.
        """
        for attempt in range(MAX_ATTEMPTS):
            stored = await self._api.read(config_root.KEY)
            version = stored.version if stored else 0
            if version >= self._min_version:
                self._min_version = version
                raw = stored.value if stored else b''
                return _VersionedRoot(version, _decode(raw))
            await asyncio.sleep(_retry_delay_s(attempt))
        raise object_data.UnavailableError('only stale answers')

    async def assemble(self, root: config_root.Root) -> config_data.Document:
        """Build the document of a root, reading the parts not cached.

        Raises:
            PartMissingError: The root was replaced and its parts collected.
            ObjectApiError: The platform can't be read.
        """
        return _join(await self.parts.get(root.parts))

    async def document_of_revision(
        self, revision: int
    ) -> config_data.Document | None:
        """Return the document of a revision in the history, or None.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        current = await self.read_root()
        return await self._document_at(current.root, revision)

    async def apply(self, req: ApplyRequest, now: float) -> Outcome:
        """Activate a document if the expected revision is current.

        Args:
            req: The apply.
            now: Wall-clock seconds, for the history.

        Returns:
            The new revision, or the reason of the refusal.
        """
        return await _ApplyOperation(self, self._api, req, now).run()

    async def explain(
        self, root: config_root.Root, req: ApplyRequest
    ) -> tuple[diff.Difference, ...]:
        """Return the differences to report with a conflict."""
        try:
            current_document = await self.assemble(root)
            base = await self._document_at(root, req.expect_revision)
        except object_data.ObjectApiError:
            return ()
        if base is None:
            return diff.compare(current_document, req.document)
        return diff.compare(base, current_document)

    def record_version(self, version: int) -> None:
        """Record that the root has at least this version."""
        self._min_version = max(self._min_version, version)

    async def _document_at(
        self, root: config_root.Root, revision: int
    ) -> config_data.Document | None:
        for entry in root.history:
            if entry.revision == revision:
                listed = await self.parts.get((entry.manifest,))
                digests = document_parts.read_manifest(listed[0])
                chunks = await self.parts.get(digests)
                self.parts.retain_only(root.parts)
                return _join(chunks)
        return None


class _ApplyOperation:
    """One apply: its attempts so far and writes with unknown outcome."""

    def __init__(
        self,
        store: ConfigStore,
        api: object_api.ObjectApi,
        req: ApplyRequest,
        now: float,
    ) -> None:
        self._store = store
        self._api = api
        self._req = req
        self._stamp = config_root.ApplyInfo(req.author, now, req.apply_id)
        self._parts_root_version = -1
        self._uncertain_version = -1

    async def run(self) -> Outcome:
        """Retry until the outcome is known or the attempts are used up."""
        reason = ''
        for attempt in range(MAX_ATTEMPTS):
            try:
                outcome = await self._attempt(last=attempt + 1 == MAX_ATTEMPTS)
            except object_data.TooLargeError as exc:
                return result.Err(Unavailable(str(exc)))
            except object_data.ObjectApiError as exc:
                reason = str(exc) or type(exc).__name__
                outcome = None
            if outcome is not None:
                return outcome
            await asyncio.sleep(_retry_delay_s(attempt))
        if self._uncertain_version >= 0:
            return result.Err(Uncertain(self._req.apply_id, reason))
        return result.Err(Unavailable(reason))

    async def _attempt(self, last: bool) -> Outcome | None:
        current = await self._store.read_root()
        if current.version != self._uncertain_version:
            # The root has changed since: a write that is conditional on the
            # previous version can't take effect any more.
            self._uncertain_version = -1
        revision = config_root.revision_of_apply(
            current.root, self._req.apply_id
        )
        if revision is not None:
            return result.Ok(revision)
        expected = self._req.expect_revision
        if current.root.revision < expected and not last:
            # A lagging replica: the operator has seen a newer revision.
            return None
        if current.root.revision != expected:
            return result.Err(await self._refusal(current.root))
        return await self._write(current)

    async def _refusal(self, root: config_root.Root) -> Refusal:
        if not config_root.has_history_since(root, self._req.expect_revision):
            reason = 'the history no longer reaches back to this apply'
            return Uncertain(self._req.apply_id, reason)
        differences = await self._store.explain(root, self._req)
        return Conflict(root.revision, root.author, differences)

    async def _write(self, current: _VersionedRoot) -> Outcome | None:
        parts = document_parts.split(self._req.document)
        digests = tuple(part.digest for part in parts)
        manifest_part = document_parts.manifest(digests)
        # Parts of the current root can't be collected while the root is
        # unchanged. The others are written again after each change of it.
        if current.version != self._parts_root_version:
            known = set(current.root.parts)
            for part in (*parts, manifest_part):
                if part.digest not in known:
                    await self._store.parts.put(part)
            self._parts_root_version = current.version
        root = config_root.advance(
            current.root, self._stamp, digests, manifest_part.digest
        )
        return await self._update_root(root, current.version)

    async def _update_root(
        self, root: config_root.Root, version: int
    ) -> Outcome | None:
        """Update the root; None if it must be read to learn the outcome."""
        raw = config_root.encode(root)
        try:
            written = await self._api.write(config_root.KEY, raw, version)
        except object_data.ConflictError as exc:
            self._store.record_version(exc.current_version)
            return None
        except object_data.UncertainError:
            self._uncertain_version = version
            raise
        self._store.record_version(written)
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


def _retry_delay_s(attempt: int) -> float:
    return min(RETRY_DELAY_S * (1 << attempt), MAX_RETRY_DELAY_S)
