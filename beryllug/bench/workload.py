"""A seeded load in the shape of the two deployments.

About ten client accounts of which a few are large, sessions whose prompts grow,
desk lookups and slot holds beside drafts and long reports. All randomness comes
from one generator, so a seed names a load.
"""

import itertools
import random
from collections.abc import Iterator
from typing import NamedTuple

ACCOUNTS = 10
ACCOUNT_SKEW = 1.1
SESSION_TURNS = 4
OPEN_SESSIONS = 8
SYSTEM_PROMPT = 600
PLAIN = 'plain'
TURN_TOKENS = 160
SPREAD = 0.5
LEAST_TOKENS = 8


class Kind(NamedTuple):
    """One kind of request of a deployment.

    Attributes:
        request_class: Class whose targets hold.
        pool: Pool that runs it.
        part: Part of all requests.
        tokens_out: Mean tokens of an answer; for a plain service the mean
            milliseconds of a call.
        repeatable: False for a kind that is not idempotent.
    """

    request_class: str
    pool: str
    part: float
    tokens_out: int
    repeatable: bool = True

    @property
    def plain(self) -> bool:
        """Tell whether a plain service runs it."""
        return self.pool == PLAIN


class Request(NamedTuple):
    """One request of the load.

    Attributes:
        number: Its number, from 0.
        at: When it arrives.
        account: Number of the client account.
        kind: What kind it is.
        session: Session it belongs to.
        history: Tokens of the session's earlier turns.
        tokens_new: Tokens of this turn.
        tokens_out: Tokens of the answer, or milliseconds of a plain call.
    """

    number: int
    at: float
    account: int
    kind: Kind
    session: str
    history: int
    tokens_new: int
    tokens_out: int


Kinds = tuple[Kind, ...]


class Rate(NamedTuple):
    """How much load there is.

    Attributes:
        per_s: Requests a second.
        until: Second at which it ends.
        flood: Factor on the first account's requests from `flood_at` on.
        flood_at: When that begins.
    """

    per_s: float
    until: float
    flood: float = 1.0
    flood_at: float = 0.0


def account_name(number: int) -> str:
    """Return the id of an account of the load."""
    return f'account-{number}'


def account_parts() -> tuple[float, ...]:
    """Return each account's part of the load; a few are large."""
    raw = [1 / (place + 1) ** ACCOUNT_SKEW for place in range(ACCOUNTS)]
    total = sum(raw)
    return tuple(part / total for part in raw)


def requests(kinds: Kinds, rate: Rate, seed: int) -> Iterator[Request]:
    """Yield the requests of a load in the order of their arrival."""
    source = _Source(kinds, rate, random.Random(seed))
    at = source.next_arrival(0)
    while at < rate.until:
        yield source.next_request(at)
        at = source.next_arrival(at)


class _Source:
    """Draws the requests of one load."""

    def __init__(self, kinds: Kinds, rate: Rate, rng: random.Random) -> None:
        self._kinds = kinds
        self._rate = rate
        self._rng = rng
        self._parts = account_parts()
        self._kind_parts = [kind.part for kind in kinds]
        self._numbers = itertools.count()
        self._sessions = itertools.count()
        self._open: dict[tuple[int, int], tuple[str, int]] = {}
        # While the first account floods, so much more arrives.
        self._flooded = 1 + (rate.flood - 1) * self._parts[0]

    def next_arrival(self, at: float) -> float:
        """Return the arrival that follows one at a second."""
        factor = self._flooded if at >= self._rate.flood_at else 1
        return at + self._rng.expovariate(self._rate.per_s * factor)

    def next_request(self, at: float) -> Request:
        """Draw a request that arrives at a second."""
        account = self._account(at)
        kind = self._rng.choices(self._kinds, self._kind_parts)[0]
        # Only a model's prompt grows with the session.
        session, turn = ('', 0) if kind.plain else self._session(account)
        spread = self._rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        return Request(
            number=next(self._numbers),
            at=at,
            account=account,
            kind=kind,
            session=session,
            history=turn * TURN_TOKENS,
            tokens_new=self._rng.randint(TURN_TOKENS // 2, TURN_TOKENS),
            tokens_out=max(int(kind.tokens_out * spread), LEAST_TOKENS),
        )

    def _account(self, at: float) -> int:
        extra = (self._flooded - 1) / self._flooded
        if at >= self._rate.flood_at and self._rng.random() < extra:
            return 0
        return self._rng.choices(range(ACCOUNTS), self._parts)[0]

    def _session(self, account: int) -> tuple[str, int]:
        """Return the session of a request and its turn, 0 for the first."""
        place = (account, self._rng.randrange(OPEN_SESSIONS))
        name, turn = self._open.get(place, ('', SESSION_TURNS))
        if turn >= SESSION_TURNS:
            name, turn = f'session-{next(self._sessions)}', 0
        self._open[place] = (name, turn + 1)
        return name, turn
