"""Messages as MessagePack, readable by neighbouring releases.

Fields are only ever added at the end and with a default. An older release
then gets arrays that are longer than its records, which the decoder refuses:
while a fleet is upgraded, an old entry would lose the view stream of a new
control process. On such a refusal the message is read once more without
types, cut to the fields that are known here, and converted.
"""

import functools
import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec

encode = msgspec.msgpack.Encoder().encode


def decoder(kind: type[Any]) -> Callable[[bytes], Any]:
    """Return what decodes messages of a type, longer ones too.

    The returned function raises `msgspec.DecodeError` for what is no message
    of this type even when it is cut.
    """
    strict = msgspec.msgpack.Decoder(kind).decode

    def decode(raw: bytes) -> Any:  # noqa: WPS430
        try:
            return strict(raw)
        except msgspec.ValidationError:
            plain = msgspec.msgpack.decode(raw)
            return msgspec.convert(_cut(kind, plain), kind)

    return decode


def _cut(kind: Any, plain: Any) -> Any:
    """Cut arrays to the fields of the records that they stand for."""
    if hasattr(kind, '_fields') and isinstance(plain, list):
        hints = _field_types(kind)
        return [_cut(hint, part) for hint, part in zip(hints, plain)]
    arguments = get_args(kind)
    origin = get_origin(kind)
    if origin is tuple and isinstance(plain, list):
        return [_cut(arguments[0], part) for part in plain]
    if origin is dict and isinstance(plain, dict):
        return {name: _cut(arguments[1], part) for name, part in plain.items()}
    if origin in {Union, types.UnionType}:
        return _cut_optional(arguments, plain)
    return plain


def _cut_optional(arguments: tuple[Any, ...], plain: Any) -> Any:
    if plain is None:
        return None
    known = [kind for kind in arguments if kind is not types.NoneType]
    return _cut(known[0], plain)


@functools.cache
def _field_types(kind: Any) -> tuple[Any, ...]:
    return tuple(get_type_hints(kind).values())
