"""A part as its difference from another part.

One changed record leaves the rest of its part as it was. Compressed with the
old part as dictionary, the new one is little more than that record.
"""

import zlib

LEVEL = 6
RAW = -15
DICTIONARY_BYTES = 32768
MAX_BYTES = 1048576


def compress(content: bytes, base: bytes) -> bytes:
    """Return the difference that leads from a base to a part."""
    packer = zlib.compressobj(LEVEL, wbits=RAW, zdict=base[-DICTIONARY_BYTES:])
    return packer.compress(content) + packer.flush()


def expand(delta: bytes, base: bytes) -> bytes:
    """Return the part that a difference leads to.

    It may be another one than the sender's where the base differs; whoever
    takes it compares its digest.

    Raises:
        ValueError: It is no difference, or leads to an oversized part.
    """
    unpacker = zlib.decompressobj(wbits=RAW, zdict=base[-DICTIONARY_BYTES:])
    try:
        content = unpacker.decompress(delta, MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f'no difference of a part: {exc}') from exc
    if unpacker.unconsumed_tail:
        raise ValueError('the part is too large')
    return content
