"""Splits a document into content-addressed parts and joins them again.

A part holds some records of one section. Boundaries depend on the content of
the records and not on their position (content-defined chunking), so an added
or changed record usually changes one part; the others keep their digests and
are not sent again.
"""

import hashlib
import json
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from beryllug.core import config_data, document_plain, record_codec

PREFIX = 'beryllug/parts/'
MIN_CHUNK_BYTES = 4096
MAX_CHUNK_BYTES = 262144
BOUNDARY_ONE_IN = 8
DIGEST_BYTES = 32


class Part(NamedTuple):
    """Some bytes and their hex digest."""

    digest: str
    content: bytes


class Records(NamedTuple):
    """The records of a part, and the section to which they belong."""

    section: str
    records: tuple[Any, ...]


def key_of(digest: str) -> str:
    """Return the key under which the platform stores a part."""
    return f'{PREFIX}{digest}'


def make(content: bytes) -> Part:
    """Return some bytes as a part."""
    return Part(hashlib.sha256(content).hexdigest(), content)


def is_whole(part: Part) -> bool:
    """Return whether the digest of a part matches its bytes."""
    return make(part.content).digest == part.digest


def split(document: config_data.Document) -> tuple[Part, ...]:
    """Split a document into parts, in order."""
    rendered = document_plain.render(document)
    return tuple(
        make(_join_records(section, chunk))
        for section, records in rendered.items()
        for chunk in _chunks(map(_encode, records))
    )


def parse(content: bytes) -> Records:
    """Build the records of one part.

    Raises:
        ValueError: The bytes are not a part of a document.
    """
    try:
        decoded = json.loads(content)
        section = min(decoded)
        records = document_plain.build_records(section, decoded[section])
    except (TypeError, LookupError) as exc:
        raise ValueError(f'not a part of a document: {exc}') from exc
    return Records(section, records)


def is_understood(content: bytes) -> bool:
    """Return whether this release knows all fields of a part.

    A newer release may have written fields that this one ignores. It can
    serve with such a document, but must not derive a new document from it:
    the unknown fields would be lost.
    """
    part = parse(content)
    sections = {part.section: part.records}
    known = document_plain.render(config_data.Document(**sections))
    return record_codec.knows(known, json.loads(content))


def join(parts: Iterable[Records]) -> config_data.Document:
    """Join parsed parts, in their order, into a document."""
    sections: dict[str, list[Any]] = {}
    for part in parts:
        sections.setdefault(part.section, []).extend(part.records)
    return config_data.Document(
        **{section: tuple(records) for section, records in sections.items()}
    )


def join_plain(chunks: Iterable[bytes]) -> dict[str, Any]:
    """Return the document as it was written, with unknown fields."""
    sections: dict[str, Any] = {}
    for chunk in chunks:
        for section, records in json.loads(chunk).items():
            sections.setdefault(section, []).extend(records)
    return sections


def manifest(digests: Sequence[str]) -> Part:
    """Return the part that lists the parts of a document."""
    return make(json.dumps(list(digests)).encode())


def read_manifest(content: bytes) -> tuple[str, ...]:
    """Read the digests that a manifest lists."""
    return tuple(json.loads(content))


def _encode(record: Any) -> bytes:
    return json.dumps(record, sort_keys=True, separators=(',', ':')).encode()


def _join_records(section: str, chunk: list[bytes]) -> bytes:
    records = b','.join(chunk)
    return b'{"%s":[%s]}' % (section.encode(), records)


def _chunks(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Split after records chosen by their digest, within size bounds."""
    chunk: list[bytes] = []
    size = 0
    for record in records:
        chunk.append(record)
        size += len(record)
        is_boundary = hashlib.sha256(record).digest()[0] % BOUNDARY_ONE_IN == 0
        if size >= MAX_CHUNK_BYTES or (is_boundary and size >= MIN_CHUNK_BYTES):
            yield chunk
            chunk = []
            size = 0
    if chunk:
        yield chunk
