"""The form in which accusations are stored, in a kind of this system's own."""

from typing import Annotated, Any

import msgspec

from beryllug.core.placement import poison_data, suspect_keys

KIND = 'accusations'
MAX_TEXT_LENGTH = 256
MAX_LOST_SERVERS = 1_000_000
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]


class _Accusation(msgspec.Struct):
    keys: Annotated[
        tuple[_Text, ...],
        msgspec.Meta(min_length=1, max_length=suspect_keys.MAX_TOGETHER),
    ]
    server: _Text
    lost_servers: Annotated[int, msgspec.Meta(ge=0, le=MAX_LOST_SERVERS)]
    # Wall-clock second: the clocks of two processes differ by little against
    # the minutes for which it counts.
    at: float


def encode(record: poison_data.Accusation, wall: float) -> dict[str, Any]:
    """Return an accusation in stored form.

    Args:
        record: The accusation.
        wall: The current wall-clock second.
    """
    plain: dict[str, Any] = msgspec.to_builtins(
        _Accusation(
            record.keys,
            record.instance,
            record.lost_servers,
            wall - record.ago_s,
        )
    )
    return plain


def decode(name: str, spec: Any, wall: float) -> poison_data.Accusation:
    """Return a stored accusation.

    Args:
        name: Name of the stored object, which is the id of its trial.
        spec: The accusation itself.
        wall: The current wall-clock second.

    Raises:
        ValidationError: The document does not match the schema.
    """
    decoded = msgspec.convert(spec, _Accusation)
    return poison_data.Accusation(
        name,
        decoded.keys,
        decoded.server,
        decoded.lost_servers,
        max(wall - decoded.at, 0),
    )
