"""A seeded world of sessions for roll-out policies, in ticks of a second.

Sessions come at random, stay with their version and ask several times.
Answers take a while; their ratings come much later, and some never. A policy
chooses the version of each new session and is told what became of answers.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

ACCOUNT_SHARES = (30, 20, 15, 10, 8, 6, 4, 3, 2, 2)
GIVEN_UP_S = 300
PERCENT = 100
FOREVER = 10**9
ACCOUNTS = tuple(f'account-{place}' for place in range(len(ACCOUNT_SHARES)))


class Quality(NamedTuple):
    """How a version answers.

    Attributes:
        errors: Share of answers that fail.
        late: Share of answers that miss their target.
        rating: Parameters of the beta distribution of its ratings.
        crashes: Share of answers under which the backend server is lost.
    """

    errors: float = 0.005
    late: float = 0.03
    rating: tuple[float, float] = (8.5, 1.5)
    crashes: float = 0.0


GOOD = Quality()


class Load(NamedTuple):
    """The load and its ratings.

    Attributes:
        sessions_per_s: New sessions a second.
        answers: Mean answers of a session.
        gap_s: Mean time between two asks of a session.
        run_s: Mean time an answer takes.
        rated: Share of answers that are rated.
        lag_s: Median time until a rating arrives.
        lag_sigma: Spread of that time, of its logarithm.
        entries: Entry processes.
        silent: Ticks between which no rating arrives, as of an outage.
    """

    sessions_per_s: float = 4.0
    answers: float = 3.0
    gap_s: float = 20.0
    run_s: float = 1.5
    rated: float = 0.6
    lag_s: float = 60.0
    lag_sigma: float = 0.7
    entries: int = 16
    silent: tuple[int, int] = (0, 0)


class Fault(NamedTuple):
    """How the candidate is bad, and from when on.

    Attributes:
        quality: Its quality while it is bad.
        account: Only for this account, or empty for all.
        after_answers: It turns bad when it has given so many answers.
        after_percent: It turns bad at the stage with this share.
        after_tick: It turns bad at this time.
        everyone: The incumbent suffers as well, as in a common outage.
        until_tick: The fault ends at this time.
    """

    quality: Quality
    account: str = ''
    after_answers: int = 0
    after_percent: int = 0
    after_tick: int = 0
    everyone: bool = False
    until_tick: int = FOREVER


@dataclass(slots=True)
class Session:
    """A caller's session.

    Attributes:
        account: Its client account.
        entry: Number of the entry process that the balancer chose.
        place: Its place among a hundred, that decides about its version.
        candidate: Whether it is on the candidate.
        reached: Whether a bad candidate answered it.
    """

    account: str
    entry: int
    place: float
    candidate: bool
    reached: bool = False


class Answer(NamedTuple):
    """An answer at its end; `rating` is None when it will not be rated."""

    session: Session
    candidate: bool
    failed: bool
    late: bool
    crashed: bool
    rating: float | None


class Policy(Protocol):
    """What chooses versions."""

    def takes(self, session: Session, tick: int) -> bool:
        """Tell whether a new session goes to the candidate."""

    def is_stopped(self) -> bool:
        """Tell whether the candidate was stopped as bad."""

    def percent(self) -> int:
        """Return the declared share of the present stage."""

    def is_out(self) -> bool:
        """Tell whether every new session may go to the candidate."""

    def gave(self, session: Session) -> None:
        """Take in that the candidate is asked."""

    def ended(self, answer: Answer, tick: int) -> None:
        """Take in an answer."""

    def rated(self, answer: Answer, tick: int) -> None:
        """Take in the rating of an answer, None when it was given up."""

    def end_tick(self, tick: int) -> None:
        """Take in that a second has passed."""


class Result(NamedTuple):
    """What a policy did in one world.

    Attributes:
        callers: Sessions that a bad candidate answered.
        answers: Answers of a bad candidate.
        stopped_at: Tick of the stop, or None.
        out_at: Tick from which on all new sessions went to the candidate.
        candidate_answers: All answers of the candidate.
    """

    callers: int
    answers: int
    stopped_at: int | None
    out_at: int | None
    candidate_answers: int


@dataclass(slots=True)
class World:
    """State of one run."""

    rng: random.Random
    load: Load
    fault: Fault | None
    policy: Policy
    tick: int = 0
    asks: dict[int, list[Session]] = field(default_factory=dict)
    ends: dict[int, list[Answer]] = field(default_factory=dict)
    ratings: dict[int, list[Answer]] = field(default_factory=dict)
    given: int = 0
    callers: int = 0
    bad_answers: int = 0
    is_bad: bool = False


def run(
    seed: int,
    load: Load,
    fault: Fault | None,
    policy: Policy,
    ticks: int,
) -> Result:
    """Run a policy through a world, until it is clear what becomes of it."""
    world = World(random.Random(seed), load, fault, policy)
    out_at = None
    stopped_at = None
    while world.tick < ticks and stopped_at is None:
        _step(world)
        if out_at is None and policy.is_out():
            out_at = world.tick
            if fault is None:
                break
        if policy.is_stopped():
            stopped_at = world.tick
        world.tick += 1
    return Result(
        world.callers, world.bad_answers, stopped_at, out_at, world.given
    )


def _step(world: World) -> None:
    _update_fault(world)
    for answer in world.ends.pop(world.tick, ()):
        world.policy.ended(answer, world.tick)
        _schedule_rating(world, answer)
    for answer in world.ratings.pop(world.tick, ()):
        world.policy.rated(answer, world.tick)
    for session in world.asks.pop(world.tick, ()):
        _ask(world, session)
    for _ in range(_poisson(world.rng, world.load.sessions_per_s)):
        _ask(world, _new_session(world))
    world.policy.end_tick(world.tick)


def _update_fault(world: World) -> None:
    fault = world.fault
    if fault is None:
        return
    begun = (
        world.tick >= fault.after_tick
        and world.given >= fault.after_answers
        and world.policy.percent() >= fault.after_percent
    )
    world.is_bad = (world.is_bad or begun) and world.tick < fault.until_tick


def _new_session(world: World) -> Session:
    rng = world.rng
    account = rng.choices(ACCOUNTS, ACCOUNT_SHARES)[0]
    entry = rng.randrange(world.load.entries)
    session = Session(account, entry, rng.random() * PERCENT, candidate=False)
    session.candidate = world.policy.takes(session, world.tick)
    return session


def _ask(world: World, session: Session) -> None:
    rng, load = world.rng, world.load
    quality, is_bad = _quality(world, session)
    if session.candidate:
        world.given += 1
        world.policy.gave(session)
        if is_bad:
            world.bad_answers += 1
            world.callers += not session.reached
            session.reached = True
    answer = _draw(world, session, quality)
    end = world.tick + 1 + int(rng.expovariate(1 / load.run_s))
    world.ends.setdefault(end, []).append(answer)
    if rng.random() > 1 / load.answers:
        following = end + 1 + int(rng.expovariate(1 / load.gap_s))
        world.asks.setdefault(following, []).append(session)


def _quality(world: World, session: Session) -> tuple[Quality, bool]:
    fault = world.fault
    if fault is None or not world.is_bad:
        return GOOD, False
    if fault.account and fault.account != session.account:
        return GOOD, False
    if session.candidate or fault.everyone:
        return fault.quality, session.candidate and not fault.everyone
    return GOOD, False


def _draw(world: World, session: Session, quality: Quality) -> Answer:
    rng = world.rng
    crashed = rng.random() < quality.crashes
    failed = crashed or rng.random() < quality.errors
    late = rng.random() < quality.late
    rating = None
    if not failed and rng.random() < world.load.rated:
        rating = rng.betavariate(*quality.rating)
    return Answer(session, session.candidate, failed, late, crashed, rating)


def _schedule_rating(world: World, answer: Answer) -> None:
    if answer.rating is None:
        return
    load = world.load
    lag = load.lag_s * world.rng.lognormvariate(0, load.lag_sigma)
    due = world.tick + 1 + int(lag)
    begin, end = load.silent
    if begin <= due < end:
        answer = answer._replace(rating=None)
        due = world.tick + GIVEN_UP_S
    world.ratings.setdefault(due, []).append(answer)


def _poisson(rng: random.Random, mean: float) -> int:
    """Draw the number of arrivals within a tick."""
    number = 0
    passed = rng.expovariate(mean)
    while passed < 1:
        number += 1
        passed += rng.expovariate(mean)
    return number
