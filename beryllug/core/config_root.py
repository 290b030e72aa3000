"""The root object of the configuration, and its updates.

The root is small and the only object that changes. All others are immutable
and content-addressed, so a root identifies one complete configuration and
never a mixture of two.
"""

import json
from typing import NamedTuple

from beryllug.core import record_codec

KEY = 'beryllug/config/root'
HISTORY = 32


class AcceptedRevision(NamedTuple):
    """An accepted revision in the history.

    It also tells a tool whose response was lost whether its apply succeeded.

    Attributes:
        revision: Its number.
        author: Who applied it.
        at: When, in seconds of the wall clock.
        apply_id: Id of the apply, chosen by the operator's tool.
        manifest: Digest of the manifest that lists its parts.
    """

    revision: int
    author: str
    at: float
    apply_id: str
    manifest: str


class Root(NamedTuple):
    """The current configuration.

    Attributes:
        revision: Incremented with each accepted document.
        parts: Digests of the parts of the document, in order.
        history: The last revisions, the current one first.
    """

    revision: int = 0
    parts: tuple[str, ...] = ()
    history: tuple[AcceptedRevision, ...] = ()

    @property
    def author(self) -> str:
        """Return who applied the current revision."""
        return self.history[0].author if self.history else ''


class ApplyInfo(NamedTuple):
    """Who applies a document, when, and with which id."""

    author: str
    at: float
    apply_id: str


def advance(
    root: Root, stamp: ApplyInfo, parts: tuple[str, ...], manifest: str
) -> Root:
    """Return the root after an accepted apply."""
    revision = root.revision + 1
    accepted = AcceptedRevision(
        revision, stamp.author, stamp.at, stamp.apply_id, manifest
    )
    return Root(revision, parts, (accepted, *root.history)[:HISTORY])


def revision_of_apply(root: Root, apply_id: str) -> int | None:
    """Return the revision that an apply created; None if unknown."""
    for accepted in root.history:
        if accepted.apply_id == apply_id:
            return accepted.revision
    return None


def has_history_since(root: Root, revision: int) -> bool:
    """Return whether the history has all revisions after the given one."""
    oldest = root.history[-1].revision if root.history else 1
    return oldest <= revision + 1


def encode(root: Root) -> bytes:
    """Return the root as JSON."""
    return json.dumps(record_codec.to_plain(root)).encode()


def decode(raw: bytes) -> Root:
    """Read a root from JSON.

    Raises:
        ValueError: The bytes are not a configuration root.
    """
    try:
        return record_codec.from_plain(Root, json.loads(raw))
    except TypeError as exc:
        raise ValueError(f'not a configuration root: {exc}') from exc
