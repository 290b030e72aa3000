"""A part encoded as its delta from another part.

If one record changes, the rest of its part stays the same. Compressed with the
old part as dictionary, the new part is only slightly larger than that record.
"""

import zlib

COMPRESSION_LEVEL = 6
RAW_DEFLATE_WBITS = -15
DICTIONARY_BYTES = 32768
MAX_BYTES = 1048576


def compress(content: bytes, base: bytes) -> bytes:
    """Return the delta from a base to a part."""
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        wbits=RAW_DEFLATE_WBITS,
        zdict=base[-DICTIONARY_BYTES:],
    )
    return compressor.compress(content) + compressor.flush()


def expand(delta: bytes, base: bytes) -> bytes:
    """Return the part that results from a base and a delta.

    With a different base it differs from the sender's part, so the caller must
    check its digest.

    Raises:
        ValueError: It is not a delta, or the part is too large.
    """
    decompressor = zlib.decompressobj(
        wbits=RAW_DEFLATE_WBITS, zdict=base[-DICTIONARY_BYTES:]
    )
    try:
        content = decompressor.decompress(delta, MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f'not a compressed form of a part: {exc}') from exc
    if decompressor.unconsumed_tail:
        raise ValueError('the part is too large')
    return content
