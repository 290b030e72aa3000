"""Records built from plain options: JSON members or command-line flags."""

from collections.abc import Mapping
from typing import Any, TypeVar, get_type_hints

import msgspec

Record = TypeVar('Record')


class OptionError(ValueError):
    """An option is unknown or has a wrong type."""


def build(kind: type[Record], given: Mapping[str, Any]) -> Record:
    """Build a record of options; those not given keep their defaults.

    Raises:
        OptionError: An option is unknown or has a wrong type.
    """
    hints = get_type_hints(kind)
    unknown = sorted(set(given) - set(hints))
    if unknown:
        names = ', '.join(unknown)
        raise OptionError(f'unknown options: {names}')
    typed = {
        name: _convert(name, raw, hints[name]) for name, raw in given.items()
    }
    return kind(**typed)


def _convert(name: str, raw: Any, hint: Any) -> Any:
    try:
        return msgspec.convert(raw, hint, strict=False)
    except msgspec.ValidationError as exc:
        raise OptionError(f'{name}: {exc}') from exc
