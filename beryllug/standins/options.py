"""Builds typed option records from JSON members or command-line flags."""

from collections.abc import Mapping
from typing import Any, TypeVar, get_type_hints

import msgspec

Record = TypeVar('Record')


class OptionError(ValueError):
    """An option is unknown or has the wrong type."""


def build(record_type: type[Record], given: Mapping[str, Any]) -> Record:
    """Build an options record; omitted options keep their defaults.

    Raises:
        OptionError: An option is unknown or has the wrong type.
    """
    hints = get_type_hints(record_type)
    unknown = sorted(set(given) - set(hints))
    if unknown:
        names = ', '.join(unknown)
        raise OptionError(f'unknown options: {names}')
    typed = {
        name: _convert(name, value, hints[name])
        for name, value in given.items()
    }
    return record_type(**typed)


def _convert(name: str, value: Any, hint: Any) -> Any:
    try:
        return msgspec.convert(value, hint, strict=False)
    except msgspec.ValidationError as exc:
        raise OptionError(f'{name}: {exc}') from exc
