"""The root object of the configuration, and how it advances.

The root is small and is the only object that ever changes. Everything else
is immutable and named by its own digest, so whoever holds a root holds one
whole configuration and never a mixture of two.
"""

import json
from typing import NamedTuple

from beryllug.core import plain

KEY = 'beryllug/config/root'
HISTORY = 32


class Past(NamedTuple):
    """One accepted revision, for the history and for lost answers.

    Attributes:
        revision: Its number.
        author: Who applied it.
        at: When, in seconds of the wall clock.
        apply_id: Id of the apply, chosen by the operator's tool.
        manifest: Digest of the part that lists its parts.
    """

    revision: int
    author: str
    at: float
    apply_id: str
    manifest: str


class Root(NamedTuple):
    """The configuration in force.

    Attributes:
        revision: Rises by one with each accepted document.
        parts: Digests of the parts of the document, in order.
        history: The last revisions, the present one first.
    """

    revision: int = 0
    parts: tuple[str, ...] = ()
    history: tuple[Past, ...] = ()

    @property
    def author(self) -> str:
        """Return who applied the present revision."""
        return self.history[0].author if self.history else ''


class Stamp(NamedTuple):
    """Who applies a document, when, and under which id."""

    author: str
    at: float
    apply_id: str


def advance(
    root: Root, stamp: Stamp, parts: tuple[str, ...], manifest: str
) -> Root:
    """Return the root after an accepted apply."""
    revision = root.revision + 1
    past = Past(revision, stamp.author, stamp.at, stamp.apply_id, manifest)
    return Root(revision, parts, (past, *root.history)[:HISTORY])


def applied(root: Root, apply_id: str) -> int | None:
    """Return the revision that an apply made, or None if it made none."""
    for past in root.history:
        if past.apply_id == apply_id:
            return past.revision
    return None


def reaches_back(root: Root, revision: int) -> bool:
    """Tell whether the history has every revision after the given one."""
    oldest = root.history[-1].revision if root.history else 1
    return oldest <= revision + 1


def encode(root: Root) -> bytes:
    """Return the object's bytes."""
    return json.dumps(plain.to_plain(root)).encode()


def decode(raw: bytes) -> Root:
    """Read the object's bytes.

    Raises:
        ValueError: They are no root.
    """
    try:
        return plain.from_plain(Root, json.loads(raw))
    except TypeError as exc:
        raise ValueError(f'no configuration root: {exc}') from exc
