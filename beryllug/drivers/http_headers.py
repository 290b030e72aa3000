"""Conversion of header fields between h11's bytes and strings.

Values are decoded and encoded as Latin-1, which maps every byte: a value is
forwarded byte for byte, whatever encoding its sender used.
"""

from collections.abc import Iterable

import h11

from beryllug.drivers import http_data

CONTENT_LENGTH = 'content-length'
TRANSFER_ENCODING = 'transfer-encoding'

# Response headers that a proxy needs no further knowledge to forward, or that
# the HTTP client interprets itself.
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
    """Decode header fields; repeated ones are joined as RFC 9110 allows."""
    fields: http_data.Headers = {}
    for raw_name, raw_value in head.headers.raw_items():
        name = raw_name.decode('ascii').lower()
        text = raw_value.decode('latin-1')
        fields[name] = f'{fields[name]}, {text}' if name in fields else text
    return fields


def encode(fields: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Encode header fields.

    Raises:
        UnicodeEncodeError: A field holds characters that are not encodable.
    """
    return [
        (name.encode('ascii'), text.encode('latin-1')) for name, text in fields
    ]
