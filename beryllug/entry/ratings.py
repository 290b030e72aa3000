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

    async def ask(
        self, wanted: rating.RatingAsk, timeout_s: float
    ) -> float | None:
        """Have an answer rated now; None where no rating came in time."""
        if self._rater is None:
            return None
        try:
            return await self._rater.rate(wanted, timeout_s)
        except rating.RatingError:
            self._counts['failed'] += 1
            return None

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
        task = asyncio.create_task(self._rate(ask, take))
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        return True

    async def _rate(self, ask: rating.RatingAsk, take: Take) -> None:
        rated = await self.ask(ask, RATING_S)
        self._counts['rated'] += rated is not None
        take(rated)
