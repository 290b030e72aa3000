"""Rates answers in the background, a bounded number at a time."""

import asyncio
from collections.abc import Callable
from typing import Any

from beryllug.drivers import rating

RATING_TIMEOUT_S = 10.0
MAX_PENDING = 64

RatingCallback = Callable[[float | None], None]


class Ratings:
    """Service 'ratings' of an entry process."""

    def __init__(self, rater: rating.RatingService | None) -> None:
        """Use the given rating service, if there is one."""
        self._rater = rater
        self._pending: set[asyncio.Task[None]] = set()
        self._counts = {'rated': 0, 'failed': 0, 'skipped': 0}

    async def start(self) -> None:
        """Do nothing: tasks are started on demand."""

    async def stop(self, grace_s: float) -> None:
        """Cancel the open ratings."""
        for task in self._pending:
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the number of open ratings and counts by result."""
        return {'open': len(self._pending), **self._counts}

    async def rate_now(
        self, request: rating.RatingRequest, timeout_s: float
    ) -> float | None:
        """Rate an answer now; return None without a rating in time."""
        if self._rater is None:
            return None
        try:
            return await self._rater.rate(request, timeout_s)
        except rating.RatingError:
            self._counts['failed'] += 1
            return None

    def submit(
        self, request: rating.RatingRequest, on_rated: RatingCallback
    ) -> bool:
        """Rate an answer in the background.

        Args:
            request: The answer to rate.
            on_rated: Called with the rating, or None if the rating failed.

        Returns:
            Whether it will be rated; False if there is no rating service or
            too many ratings are open.
        """
        if self._rater is None or len(self._pending) >= MAX_PENDING:
            self._counts['skipped'] += 1
            return False
        task = asyncio.create_task(self._rate(request, on_rated))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return True

    async def _rate(
        self, request: rating.RatingRequest, on_rated: RatingCallback
    ) -> None:
        rated = await self.rate_now(request, RATING_TIMEOUT_S)
        self._counts['rated'] += rated is not None
        on_rated(rated)
