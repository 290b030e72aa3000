"""Header fields between h11's bytes and our text.

Both ways use Latin-1, which maps every byte: what came in a field goes on
as the same bytes, whatever encoding its sender meant.
"""

from collections.abc import Iterable

import h11

from beryllug.drivers import http_data

LENGTH = 'content-length'
ENCODING = 'transfer-encoding'

# Headers of answers that ask nothing more of who passes them on, or are read by
# the HTTP client.
STANDARD = frozenset(
    (
        'cache-control',
        'connection',
        'content-encoding',
        'content-length',
        'content-type',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
    )
)


def decode(head: h11.Request | h11.Response) -> http_data.Headers:
    """Decode the fields of a head, repeats joined as the standard allows."""
    fields: http_data.Headers = {}
    for raw_name, raw_value in head.headers.raw_items():
        name = raw_name.decode('ascii').lower()
        text = raw_value.decode('latin-1')
        fields[name] = f'{fields[name]}, {text}' if name in fields else text
    return fields


def encode(fields: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Encode header fields.

    Raises:
        UnicodeEncodeError: A field holds what no header may hold.
    """
    return [
        (name.encode('ascii'), text.encode('latin-1')) for name, text in fields
    ]
