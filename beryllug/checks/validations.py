"""The validations of a document's meaning, all of them every time.

Each module of this package that has a tuple `VALIDATIONS` adds to the table.
A document with any finding is refused whole: half of it in force would be a
state that no operator ever wrote down.
"""

import functools
import importlib
import pkgutil
from collections.abc import Callable, Iterator

from beryllug import checks
from beryllug.core import config_data, finding

Validation = Callable[[config_data.Document], Iterator[finding.Finding]]
SOURCE = 'document'


@functools.cache
def table() -> tuple[Validation, ...]:
    """Return every validation, in the order of module names."""
    found: list[Validation] = []
    for module in pkgutil.iter_modules(checks.__path__):
        if not module.name.endswith('_test'):
            loaded = importlib.import_module(f'{checks.__name__}.{module.name}')
            found.extend(getattr(loaded, 'VALIDATIONS', ()))
    return tuple(found)


def validate(
    document: config_data.Document, source: str = SOURCE
) -> list[finding.Finding]:
    """Judge a document that is well formed.

    Args:
        document: The document.
        source: Name of the document, for the findings.

    Returns:
        Every finding of every validation; none means it may be accepted.
    """
    return [
        item._replace(source=source)
        for validation in table()
        for item in validation(document)
    ]
