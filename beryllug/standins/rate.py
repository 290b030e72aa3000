"""Token bucket of the rate-limited stand-ins."""


class Bucket:
    """Lets through `rate` calls a second and a burst of one second."""

    def __init__(self, rate: float, now: float) -> None:
        """Start full at time `now`; a rate of 0 lets everything through."""
        self.refused = 0
        self._rate = rate
        self._tokens = rate
        self._at = now

    def take(self, now: float) -> float:
        """Take one token.

        Returns:
            0.0 when the call may go through, else the seconds to wait.
        """
        if not self._rate:
            return 0.0
        grown = self._tokens + (now - self._at) * self._rate
        self._tokens = min(self._rate, grown)
        self._at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        self.refused += 1
        return (1 - self._tokens) / self._rate
