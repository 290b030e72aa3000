"""Counts that callers state, of any length."""

# Longer numbers count as `MAX_COUNT`: sums of counts must fit a message between
# processes, and numbers of thousands of digits cannot be converted at all.
MAX_DIGITS = 9
MAX_COUNT = 10**MAX_DIGITS


def parse(text: str) -> int:
    """Return a count; 0 if the text is none."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return 0
    return int(digits) if len(digits) <= MAX_DIGITS else MAX_COUNT
