"""Runs all semantic validations of a document.

Each module of this package with a tuple `VALIDATIONS` adds to the table. A
document with any finding is rejected as a whole: applying a part of it would
result in a configuration that no operator has written.
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
def all_validations() -> tuple[Validation, ...]:
    """Return every validation, in the order of module names."""
    validations: list[Validation] = []
    for module in pkgutil.iter_modules(checks.__path__):
        if not module.name.endswith('_test'):
            loaded = importlib.import_module(f'{checks.__name__}.{module.name}')
            validations.extend(getattr(loaded, 'VALIDATIONS', ()))
    return tuple(validations)


def validate(
    document: config_data.Document, source: str = SOURCE
) -> list[finding.Finding]:
    """Validate the semantics of a well-formed document.

    Args:
        document: The document.
        source: Name of the document, for the findings.

    Returns:
        The findings of all validations; empty if the document is valid.
    """
    return [
        item._replace(source=source)
        for validation in all_validations()
        for item in validation(document)
    ]
