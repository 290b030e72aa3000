"""A configuration document as plain data, in the form operators write.

It mirrors `config_data.Document` but for one thing: a version stands inside
its model and so names the version only.
"""

from typing import Any

from beryllug.core import config_data, plain

VERSION = 'version'


def render(document: config_data.Document) -> dict[str, Any]:
    """Return the document as operators write it."""
    rendered: dict[str, Any] = plain.to_plain(document)
    for model in rendered['models']:
        model['versions'] = [
            {VERSION: version.pop('ref')[VERSION], **version}
            for version in model['versions']
        ]
    return rendered


def build(rendered: dict[str, Any]) -> config_data.Document:
    """Build the records of a document that is known to be well formed.

    Raises:
        TypeError: The shape is another.
        ValueError: A word isn't one of an enumeration.
        KeyError: A name is missing.
    """
    models = [_with_refs(model) for model in rendered.get('models', ())]
    complete = {**rendered, 'models': models}
    return plain.from_plain(config_data.Document, complete)


def _with_refs(model: dict[str, Any]) -> dict[str, Any]:
    name = model['name']
    versions = [
        {**version, 'ref': {'model': name, VERSION: version[VERSION]}}
        for version in model['versions']
    ]
    return {**model, 'versions': versions}
