"""What operators do with the configuration, without HTTP.

Every way to change it ends in the same judgement and the same conditional
apply: a whole document, or an edit that makes one.
"""

import asyncio
import importlib
import json
import time
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol, cast

import result
from absl import logging

from beryllug.control import config
from beryllug.core import (
    config_data,
    config_root,
    document_parts,
    document_plain,
    edits,
    finding,
)
from beryllug.drivers import config_store, object_data

JUDGE = 'beryllug.checks.judge'
SOURCE = 'document'
PRESENT = -1
OLDER = 'a newer release wrote the document; ask a control of that release'

Findings = list[finding.Finding]
Judged = tuple[config_data.Document | None, Findings]


class Judge(Protocol):
    """What is needed of the module that judges documents."""

    def schema(self) -> dict[str, Any]:
        """Return the JSON Schema of a document."""

    def judge(self, text: str | bytes, source: str) -> Judged:
        """Judge one document."""


class Order(NamedTuple):
    """Who applies what was written against which revision.

    Attributes:
        expect_revision: The revision it was written against.
        author: Who applies it.
        apply_id: Unique id of this apply, the same in a repeat.
    """

    expect_revision: int
    author: str
    apply_id: str


class Shown(NamedTuple):
    """A configuration as operators see it.

    Attributes:
        root: Its root, with the history.
        document: Its document.
        source: Where it was read: the platform, or this process when the
            platform can't be read.
        rendered: The document as operators write it, with all its fields.
        understood: False when a newer release wrote fields into it that this
            one doesn't know.
    """

    root: config_root.Root
    document: config_data.Document
    source: str
    rendered: dict[str, Any]
    understood: bool = True


@dataclass(frozen=True, slots=True)
class Invalid:
    """The document was refused whole; these are all findings."""

    findings: tuple[finding.Finding, ...]


Refusal = Invalid | config_store.Refusal
Outcome = result.Result[int, Refusal]


class ConfigDesk:
    """Reads, judges, edits and applies configurations."""

    def __init__(self, view: config.Config) -> None:
        """Bind to the configuration service."""
        self._view = view
        self._store = view.watch.store

    async def show(self) -> Shown:
        """Return the configuration in force."""
        try:
            found = await self._store.read()
        except object_data.ObjectApiError:
            root = config_root.Root(self._view.revision)
            return _shown(root, self._view.document, 'this process')
        if found is None:
            empty = config_data.Document()
            return _shown(config_root.Root(), empty, 'platform')
        shown = _shown(found.root, found.document, 'platform')
        if all(map(document_parts.is_understood, found.chunks)):
            return shown
        written = document_parts.join_plain(found.chunks)
        return shown._replace(rendered=written, understood=False)

    async def past(self, revision: int) -> config_data.Document | None:
        """Return the document of a remembered revision, or None.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        return await self._store.past(revision)

    async def judge(self, text: bytes, source: str = SOURCE) -> Judged:
        """Judge a document, beside the event loop: a large one takes long."""
        return await asyncio.to_thread(_judge, text, source)

    async def schema(self) -> dict[str, Any]:
        """Return the JSON Schema of a document."""
        return await asyncio.to_thread(_schema)

    async def apply(self, text: bytes, order: Order) -> Outcome:
        """Judge a document and put it in force."""
        document, findings = await self.judge(text)
        if document is None:
            return result.Err(Invalid(tuple(findings)))
        return await self._apply(document, order)

    async def edit(self, edit: edits.Edit, order: Order) -> Outcome:
        """Make an edit of the document in force, judge it and apply it.

        The answer to an edit may be lost, and the edit be asked for again.
        Made a second time it would fail, or undo what came after it; so its
        apply id is looked up first.

        Args:
            edit: What to change.
            order: Who changes it; its revision may be `PRESENT`.
        """
        shown = await self.show()
        revision = config_root.applied(shown.root, order.apply_id)
        if revision is not None:
            return result.Ok(revision)
        if order.expect_revision == PRESENT:
            order = order._replace(expect_revision=shown.root.revision)
        if not shown.understood:
            return result.Err(_refused(edit, OLDER))
        try:
            document = edits.apply(shown.document, edit)
        except LookupError as exc:
            return result.Err(_refused(edit, str(exc.args[0])))
        text = json.dumps(document_plain.render(document))
        return await self.apply(text.encode(), order)

    async def _apply(
        self, document: config_data.Document, order: Order
    ) -> Outcome:
        outcome = await self._store.apply(
            config_store.Apply(document, *order), time.time()
        )
        logging.info(
            'event=config_apply author=%s apply_id=%s expect=%d outcome=%s',
            order.author,
            order.apply_id,
            order.expect_revision,
            _word(outcome),
        )
        return outcome


def _shown(
    root: config_root.Root, document: config_data.Document, source: str
) -> Shown:
    return Shown(root, document, source, document_plain.render(document))


def _refused(edit: edits.Edit, reason: str) -> Invalid:
    return Invalid((finding.Finding('edit', type(edit).__name__, reason),))


def _word(outcome: Outcome) -> str:
    if outcome.is_ok():
        return 'accepted'
    return type(outcome.unwrap_err()).__name__


def _judge(text: bytes, source: str) -> Judged:
    """Import and judge in one thread: the first import takes long, too."""
    return _judging().judge(text, source)


def _schema() -> dict[str, Any]:
    return _judging().schema()


def _judging() -> Judge:
    return cast('Judge', importlib.import_module(JUDGE))
