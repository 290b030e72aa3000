"""MessagePack encoding of messages, compatible with adjacent releases.

Fields are only ever added at the end and with a default. An older release
then receives arrays that are longer than its records, which msgspec rejects:
during a rolling upgrade, an old entry host would lose the view stream of a new
control process. A rejected message is therefore decoded again without types,
truncated to the fields that are known here, and converted.
"""

import functools
import types
from collections.abc import Callable
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec

encode = msgspec.msgpack.Encoder().encode


def decoder(expected_type: type[Any]) -> Callable[[bytes], Any]:
    """Return a decoder of a message type that drops unknown fields.

    The decoder raises `msgspec.DecodeError` for bytes that are not a message
    of this type even when truncated.
    """
    decode_strictly = msgspec.msgpack.Decoder(expected_type).decode

    def decode(raw: bytes) -> Any:  # noqa: WPS430
        try:
            return decode_strictly(raw)
        except msgspec.ValidationError:
            untyped = msgspec.msgpack.decode(raw)
            return msgspec.convert(
                _truncate(expected_type, untyped), expected_type
            )

    return decode


def _truncate(expected_type: Any, untyped: Any) -> Any:
    """Truncate arrays to the fields of the records that they encode."""
    if hasattr(expected_type, '_fields') and isinstance(untyped, list):
        hints = _field_types(expected_type)
        return [
            _truncate(hint, element) for hint, element in zip(hints, untyped)
        ]
    arguments = get_args(expected_type)
    origin = get_origin(expected_type)
    if origin is tuple and isinstance(untyped, list):
        return [_truncate(arguments[0], element) for element in untyped]
    if origin is dict and isinstance(untyped, dict):
        return {
            name: _truncate(arguments[1], element)
            for name, element in untyped.items()
        }
    if origin in {Union, types.UnionType}:
        return _truncate_optional(arguments, untyped)
    return untyped


def _truncate_optional(arguments: tuple[Any, ...], untyped: Any) -> Any:
    if untyped is None:
        return None
    alternatives = [
        expected_type
        for expected_type in arguments
        if expected_type is not types.NoneType
    ]
    return _truncate(alternatives[0], untyped)


@functools.cache
def _field_types(expected_type: Any) -> tuple[Any, ...]:
    return tuple(get_type_hints(expected_type).values())
