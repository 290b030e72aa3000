"""Operations of operators on the configuration, independent of HTTP.

Every change, whether a whole document or an edit that produces one, passes the
same validation and the same conditional apply.
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

VALIDATOR_MODULE = 'beryllug.checks.judge'
DOCUMENT_SOURCE = 'document'
CURRENT_REVISION = -1
NEWER_RELEASE = (
    'a newer release wrote the document; ask a control of that release'
)

Findings = list[finding.Finding]
Validation = tuple[config_data.Document | None, Findings]


class Validator(Protocol):
    """Interface of the module that validates documents."""

    def schema(self) -> dict[str, Any]:
        """Return the JSON Schema of a document."""

    def judge(self, text: str | bytes, source: str) -> Validation:
        """Validate one document."""


class ApplyParams(NamedTuple):
    """Parameters of an apply.

    Attributes:
        expect_revision: The revision that the change is based on.
        author: Who applies it.
        apply_id: Unique id of this apply; a retry has the same one.
    """

    expect_revision: int
    author: str
    apply_id: str


class ConfigSnapshot(NamedTuple):
    """A configuration as shown to operators.

    Attributes:
        root: Its root, with the history.
        document: Its document.
        source: Where it was read: the platform, or this process when the
            platform can't be read.
        rendered: The document as plain data, with all its fields.
        understood: False if a newer release wrote fields into it that this
            release doesn't know.
    """

    root: config_root.Root
    document: config_data.Document
    source: str
    rendered: dict[str, Any]
    understood: bool = True


@dataclass(frozen=True, slots=True)
class Invalid:
    """The whole document was rejected; these are all findings."""

    findings: tuple[finding.Finding, ...]


Refusal = Invalid | config_store.Refusal
Outcome = result.Result[int, Refusal]


class ConfigAdmin:
    """Reads, validates, edits and applies configurations."""

    def __init__(self, view: config.Config) -> None:
        """Bind to the configuration service."""
        self._view = view
        self._store = view.watch.store

    async def show(self) -> ConfigSnapshot:
        """Return the current configuration."""
        try:
            found = await self._store.read()
        except object_data.ObjectApiError:
            root = config_root.Root(self._view.revision)
            return _snapshot(root, self._view.document, 'this process')
        if found is None:
            empty = config_data.Document()
            return _snapshot(config_root.Root(), empty, 'platform')
        snapshot = _snapshot(found.root, found.document, 'platform')
        if all(map(document_parts.is_understood, found.chunks)):
            return snapshot
        written = document_parts.join_plain(found.chunks)
        return snapshot._replace(rendered=written, understood=False)

    async def past(self, revision: int) -> config_data.Document | None:
        """Return the document of a retained past revision, or None.

        Raises:
            ObjectApiError: The platform can't be read.
        """
        return await self._store.document_of_revision(revision)

    async def check_document(
        self, text: bytes, source: str = DOCUMENT_SOURCE
    ) -> Validation:
        """Validate a document, in a thread: a large one takes long."""
        return await asyncio.to_thread(_check_document, text, source)

    async def schema(self) -> dict[str, Any]:
        """Return the JSON Schema of a document."""
        return await asyncio.to_thread(_schema)

    async def apply(self, text: bytes, params: ApplyParams) -> Outcome:
        """Validate a document and apply it."""
        document, findings = await self.check_document(text)
        if document is None:
            return result.Err(Invalid(tuple(findings)))
        return await self._apply(document, params)

    async def edit(self, edit: edits.Edit, params: ApplyParams) -> Outcome:
        """Edit the current document, validate the result and apply it.

        The reply to an edit may be lost and the edit be retried. A second
        edit would fail, or undo later changes, so the apply id is looked up
        first.

        Args:
            edit: What to change.
            params: Parameters of the apply; its revision may be
                `CURRENT_REVISION`.
        """
        snapshot = await self.show()
        revision = config_root.revision_of_apply(snapshot.root, params.apply_id)
        if revision is not None:
            return result.Ok(revision)
        if params.expect_revision == CURRENT_REVISION:
            params = params._replace(expect_revision=snapshot.root.revision)
        if not snapshot.understood:
            return result.Err(_invalid_edit(edit, NEWER_RELEASE))
        try:
            document = edits.apply(snapshot.document, edit)
        except LookupError as exc:
            return result.Err(_invalid_edit(edit, str(exc.args[0])))
        text = json.dumps(document_plain.render(document))
        return await self.apply(text.encode(), params)

    async def _apply(
        self, document: config_data.Document, params: ApplyParams
    ) -> Outcome:
        outcome = await self._store.apply(
            config_store.ApplyRequest(document, *params), time.time()
        )
        logging.info(
            'event=config_apply author=%s apply_id=%s expect=%d outcome=%s',
            params.author,
            params.apply_id,
            params.expect_revision,
            _outcome_name(outcome),
        )
        return outcome


def _snapshot(
    root: config_root.Root, document: config_data.Document, source: str
) -> ConfigSnapshot:
    return ConfigSnapshot(
        root, document, source, document_plain.render(document)
    )


def _invalid_edit(edit: edits.Edit, reason: str) -> Invalid:
    return Invalid((finding.Finding('edit', type(edit).__name__, reason),))


def _outcome_name(outcome: Outcome) -> str:
    if outcome.is_ok():
        return 'accepted'
    return type(outcome.unwrap_err()).__name__


def _check_document(text: bytes, source: str) -> Validation:
    """Import and validate in one thread: the first import takes long, too."""
    return _validator().judge(text, source)


def _schema() -> dict[str, Any]:
    return _validator().schema()


def _validator() -> Validator:
    return cast('Validator', importlib.import_module(VALIDATOR_MODULE))
