"""Token bucket for the rate-limited stand-ins."""


class Bucket:
    """Allows `rate` calls per second, with a burst of one second's calls."""

    def __init__(self, rate: float, now: float) -> None:
        """Start full at time `now`; a rate of 0 disables the limit."""
        self.refused = 0
        self._rate = rate
        self._tokens = rate
        self._updated_at = now

    def take(self, now: float) -> float:
        """Take one token.

        Returns:
            0.0 if the call is allowed, otherwise the seconds to wait.
        """
        if not self._rate:
            return 0.0
        refilled = self._tokens + (now - self._updated_at) * self._rate
        self._tokens = min(self._rate, refilled)
        self._updated_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        self.refused += 1
        return (1 - self._tokens) / self._rate
