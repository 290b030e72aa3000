"""A configuration document as plain data, in the form operators write.

It has the structure of `config_data.Document` with one exception: a version is
listed inside its model and so has no model name of its own.
"""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any

from beryllug.core import config_data, record_codec

VERSION = 'version'
RECORDS: Mapping[str, type[Any]] = MappingProxyType(
    {
        'accounts': config_data.Account,
        'models': config_data.Model,
        'cascades': config_data.Cascade,
        'rollouts': config_data.Rollout,
        'pools': config_data.Pool,
        'services': config_data.Service,
        'targets': config_data.Targets,
    }
)


def render(document: config_data.Document) -> dict[str, Any]:
    """Return the document as operators write it."""
    rendered: dict[str, Any] = record_codec.to_plain(document)
    for model in rendered['models']:
        model['versions'] = [
            {VERSION: version.pop('ref')[VERSION], **version}
            for version in model['versions']
        ]
    return rendered


def build(rendered: dict[str, Any]) -> config_data.Document:
    """Build the records of a document that is known to be well formed.

    Raises:
        TypeError: The structure differs.
        ValueError: A value is not in its enumeration.
        KeyError: A name is missing, or a section is unknown.
    """
    sections = {
        section: build_records(section, records)
        for section, records in rendered.items()
    }
    return config_data.Document(**sections)


def build_records(section: str, records: Sequence[Any]) -> tuple[Any, ...]:
    """Build the records of one section; raises like `build`."""
    kind = RECORDS[section]
    if kind is config_data.Model:
        records = [_expand_version_refs(model) for model in records]
    return tuple(record_codec.from_plain(kind, record) for record in records)


def _expand_version_refs(model: dict[str, Any]) -> dict[str, Any]:
    name = model['name']
    versions = [
        {**version, 'ref': {'model': name, VERSION: version[VERSION]}}
        for version in model['versions']
    ]
    return {**model, 'versions': versions}
