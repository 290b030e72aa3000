"""Repairs JSON of external services that is invalid in one part.

A single list entry with invalid UTF-8, or with brackets nested thousands deep,
makes a decoder reject the whole response: every process would be without the
list for as long as the entry exists.
"""

import re

# Nesting depth from which values are replaced; valid documents have less than
# ten levels.
MAX_DEPTH = 64
REPLACEMENT = b'null'
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{\]}]', re.DOTALL)


def repair(raw: bytes) -> bytes:
    """Replace invalid UTF-8 and values nested too deeply."""
    valid_text = raw.decode(errors='replace').encode()
    segments: list[bytes] = []
    depth = 0
    segment_start = 0
    for token_match in _TOKENS.finditer(valid_text):
        token = token_match[0]
        if token in {b'[', b'{'}:
            depth += 1
            if depth == MAX_DEPTH:
                segments.append(valid_text[segment_start : token_match.start()])
        elif token in {b']', b'}'}:
            if depth == MAX_DEPTH:
                segments.append(REPLACEMENT)
                segment_start = token_match.end()
            depth -= 1
    if depth < MAX_DEPTH:
        segments.append(valid_text[segment_start:])
    return b''.join(segments)
