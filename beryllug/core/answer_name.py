"""Names of stored answers: the day, then the request.

Answers expire by day. With the day first, those of one day share a prefix, and
expiry lists only the names that it will delete.
"""

DAY_S = 86400
SEPARATOR = '/'


def make(request_id: str, now: float) -> str:
    """Return the name of an answer that is stored at this wall-clock time."""
    return f'{day_of(now)}{SEPARATOR}{request_id}'


def day_of(now: float) -> int:
    """Return the day number of a wall-clock time in seconds."""
    return int(now // DAY_S)


def expired_days(now: float, retention_s: float, looked_back: int) -> range:
    """Return the latest days whose answers are all older than the retention.

    Args:
        now: Wall-clock time in seconds.
        retention_s: How long answers are kept.
        looked_back: Number of expired days that may still have answers.
    """
    last = day_of(now - retention_s)
    return range(last - looked_back, last)
