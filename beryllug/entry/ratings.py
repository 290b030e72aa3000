"""Have answers rated in the background, a bounded number at a time."""

import asyncio
from collections.abc import Callable
from typing import Any

from beryllug.drivers import rating

RATING_S = 10.0
MAX_OPEN = 64

Take = Callable[[float | None], None]


class Ratings:
    """Service 'ratings' of an entry process."""

    def __init__(self, rater: rating.Rater | None) -> None:
        """Bind the rating service, if there is one."""
        self._rater = rater
        self._open: set[asyncio.Task[None]] = set()
        self._counts = {'rated': 0, 'failed': 0, 'skipped': 0}

    async def start(self) -> None:
        """Do nothing: it works when it is called."""

    async def stop(self, grace_s: float) -> None:
        """Give up the ratings that are open."""
        for task in self._open:
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the ratings that are open and what became of the others."""
        return {'open': len(self._open), **self._counts}

    def submit(self, ask: rating.RatingAsk, take: Take) -> bool:
        """Have an answer rated.

        Args:
            ask: The answer.
            take: Called with the rating, or with None where it failed.

        Returns:
            Whether it will be rated; False when there is no rating service
            or too many ratings are open.
        """
        if self._rater is None or len(self._open) >= MAX_OPEN:
            self._counts['skipped'] += 1
            return False
        task = asyncio.create_task(self._rate(self._rater, ask, take))
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        return True

    async def _rate(
        self, rater: rating.Rater, ask: rating.RatingAsk, take: Take
    ) -> None:
        try:
            rated = await rater.rate(ask, RATING_S)
        except rating.RatingError:
            self._counts['failed'] += 1
            take(None)
            return
        self._counts['rated'] += 1
        take(rated)
