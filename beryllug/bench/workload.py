"""A seeded request generator for the benchmark deployments.

It draws requests of ten client accounts, a few of them large: sessions with
growing prompts, lookups and slot holds, drafts and long reports. All random
numbers come from one generator, so a seed determines the load.
"""

import itertools
import random
from collections.abc import Iterator
from typing import NamedTuple

ACCOUNTS = 10
ZIPF_EXPONENT = 1.1
SESSION_TURNS = 4
OPEN_SESSIONS = 8
SYSTEM_PROMPT = 600
PLAIN = 'plain'
TURN_TOKENS = 160
LENGTH_SIGMA = 0.5
MIN_TOKENS = 8


class Kind(NamedTuple):
    """One kind of request of a deployment.

    Attributes:
        request_class: Class whose targets apply.
        pool: Pool that serves it.
        fraction: Fraction of all requests.
        tokens_out: Mean tokens of an answer, or mean duration of a plain
            call in milliseconds.
        repeatable: Whether the request is idempotent.
    """

    request_class: str
    pool: str
    fraction: float
    tokens_out: int
    repeatable: bool = True

    @property
    def plain(self) -> bool:
        """Tell whether a plain service serves it."""
        return self.pool == PLAIN


class Request(NamedTuple):
    """One request of the load.

    Attributes:
        number: Sequence number, from 0.
        at: Arrival time.
        account: Number of the client account.
        kind: Its kind.
        session: Session it belongs to.
        history: Tokens of the earlier turns of the session.
        turn_tokens: Prompt tokens of this turn.
        tokens_out: Tokens of the answer, or duration of a plain call in
            milliseconds.
    """

    number: int
    at: float
    account: int
    kind: Kind
    session: str
    history: int
    turn_tokens: int
    tokens_out: int


Kinds = tuple[Kind, ...]


class Rate(NamedTuple):
    """The arrival rate.

    Attributes:
        per_s: Requests per second.
        until: Time at which the load ends.
        flood: Factor on the first account's rate from `flood_at` on.
        flood_at: Time at which the flood begins.
    """

    per_s: float
    until: float
    flood: float = 1.0
    flood_at: float = 0.0


def account_name(number: int) -> str:
    """Return the id of an account of the load."""
    return f'account-{number}'


def account_shares() -> tuple[float, ...]:
    """Return the share of each account in the load, by Zipf's law."""
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(ACCOUNTS)]
    total = sum(weights)
    return tuple(fraction / total for fraction in weights)


def requests(kinds: Kinds, rate: Rate, seed: int) -> Iterator[Request]:
    """Yield the requests of a load in order of arrival."""
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
        self._account_shares = account_shares()
        self._kind_fractions = [kind.fraction for kind in kinds]
        self._numbers = itertools.count()
        self._sessions = itertools.count()
        self._open: dict[tuple[int, int], tuple[str, int]] = {}
        # Factor on the total rate while the first account floods.
        self._flood_factor = 1 + (rate.flood - 1) * self._account_shares[0]

    def next_arrival(self, at: float) -> float:
        """Return the time of the next arrival after a time."""
        factor = self._flood_factor if at >= self._rate.flood_at else 1
        return at + self._rng.expovariate(self._rate.per_s * factor)

    def next_request(self, at: float) -> Request:
        """Draw a request with the given arrival time."""
        account = self._account(at)
        kind = self._rng.choices(self._kinds, self._kind_fractions)[0]
        # Plain services have no sessions.
        session, turn = ('', 0) if kind.plain else self._session(account)
        spread = self._rng.lognormvariate(
            -LENGTH_SIGMA * LENGTH_SIGMA / 2, LENGTH_SIGMA
        )
        return Request(
            number=next(self._numbers),
            at=at,
            account=account,
            kind=kind,
            session=session,
            history=turn * TURN_TOKENS,
            turn_tokens=self._rng.randint(TURN_TOKENS // 2, TURN_TOKENS),
            tokens_out=max(int(kind.tokens_out * spread), MIN_TOKENS),
        )

    def _account(self, at: float) -> int:
        extra = (self._flood_factor - 1) / self._flood_factor
        if at >= self._rate.flood_at and self._rng.random() < extra:
            return 0
        return self._rng.choices(range(ACCOUNTS), self._account_shares)[0]

    def _session(self, account: int) -> tuple[str, int]:
        """Draw the session of a request; returns its name and turn, from 0."""
        session_key = (account, self._rng.randrange(OPEN_SESSIONS))
        name, turn = self._open.get(session_key, ('', SESSION_TURNS))
        if turn >= SESSION_TURNS:
            name, turn = f'session-{next(self._sessions)}', 0
        self._open[session_key] = (name, turn + 1)
        return name, turn
