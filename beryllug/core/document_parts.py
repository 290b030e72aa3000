"""A document as content-addressed parts, and back.

A part holds some records of one section. Where it ends is decided by the
record itself and not by its place, so a record that is added or changed
changes one part, and every other part keeps its digest and isn't sent again.
"""

import hashlib
import json
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from beryllug.core import config_data, document_plain, plain

PREFIX = 'beryllug/parts/'
SMALL = 4096
LARGE = 262144
CUT_ONE_IN = 8
DIGEST_BYTES = 32


class Part(NamedTuple):
    """Bytes under the hex digest of themselves."""

    digest: str
    content: bytes


class Records(NamedTuple):
    """The records of one part, and the section in which they stand."""

    section: str
    records: tuple[Any, ...]


def key_of(digest: str) -> str:
    """Return the key of a part in the platform."""
    return f'{PREFIX}{digest}'


def make(content: bytes) -> Part:
    """Name some bytes by their digest."""
    return Part(hashlib.sha256(content).hexdigest(), content)


def is_whole(part: Part) -> bool:
    """Tell whether the bytes are those that the digest names."""
    return make(part.content).digest == part.digest


def split(document: config_data.Document) -> tuple[Part, ...]:
    """Split a document into parts, in order."""
    rendered = document_plain.render(document)
    return tuple(
        make(_frame(section, chunk))
        for section, records in rendered.items()
        for chunk in _chunks(map(_encode, records))
    )


def parse(content: bytes) -> Records:
    """Build the records of one part.

    Raises:
        ValueError: The bytes are no part of a document.
    """
    try:
        frame = json.loads(content)
        section = min(frame)
        records = document_plain.build_records(section, frame[section])
    except (TypeError, LookupError) as exc:
        raise ValueError(f'no part of a document: {exc}') from exc
    return Records(section, records)


def is_understood(content: bytes) -> bool:
    """Tell whether this release knows all fields of a part.

    A newer release may have written fields that this one passes over. It
    can still serve by such a document, but what it would write of it lacks
    those fields, so it must not make a new document out of it.
    """
    part = parse(content)
    sections = {part.section: part.records}
    known = document_plain.render(config_data.Document(**sections))
    return plain.knows(known, json.loads(content))


def join(parts: Iterable[Records]) -> config_data.Document:
    """Build the document of parsed parts, in their order."""
    sections: dict[str, list[Any]] = {}
    for part in parts:
        sections.setdefault(part.section, []).extend(part.records)
    return config_data.Document(
        **{section: tuple(records) for section, records in sections.items()}
    )


def join_plain(chunks: Iterable[bytes]) -> dict[str, Any]:
    """Return the document as it was written, with fields unknown here."""
    sections: dict[str, Any] = {}
    for chunk in chunks:
        for section, records in json.loads(chunk).items():
            sections.setdefault(section, []).extend(records)
    return sections


def manifest(digests: Sequence[str]) -> Part:
    """Make the part that lists the parts of a document."""
    return make(json.dumps(list(digests)).encode())


def read_manifest(content: bytes) -> tuple[str, ...]:
    """Read the digests that a manifest lists."""
    return tuple(json.loads(content))


def _encode(record: Any) -> bytes:
    return json.dumps(record, sort_keys=True, separators=(',', ':')).encode()


def _frame(section: str, chunk: list[bytes]) -> bytes:
    records = b','.join(chunk)
    return b'{"%s":[%s]}' % (section.encode(), records)


def _chunks(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Cut after a record whose own digest says so, within bounds of size."""
    chunk: list[bytes] = []
    size = 0
    for record in records:
        chunk.append(record)
        size += len(record)
        marked = hashlib.sha256(record).digest()[0] % CUT_ONE_IN == 0
        if size >= LARGE or (marked and size >= SMALL):
            yield chunk
            chunk = []
            size = 0
    if chunk:
        yield chunk
