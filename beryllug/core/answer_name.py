"""Names of kept answers: the day, then the request.

Answers expire by days. With the day first, those of one day stand under one
prefix, and expiry lists only what it will delete.
"""

DAY_S = 86400
SEPARATOR = '/'


def make(request_id: str, now: float) -> str:
    """Return the name of an answer that is kept now, in wall seconds."""
    return f'{day_of(now)}{SEPARATOR}{request_id}'


def day_of(now: float) -> int:
    """Return the number of a wall-clock second's day."""
    return int(now // DAY_S)


def expired_days(now: float, retention_s: float, looked_back: int) -> range:
    """Return the days whose every answer is older than the retention.

    Args:
        now: Wall-clock second.
        retention_s: How long answers are kept.
        looked_back: How many expired days may still hold some.
    """
    last = day_of(now - retention_s)
    return range(last - looked_back, last)
