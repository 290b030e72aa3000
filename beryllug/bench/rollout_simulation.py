"""A seeded simulation of sessions for roll-out policies, in ticks of a second.

Sessions arrive at random, keep their version and send several requests.
Ratings arrive long after their answers, and some never do. A policy chooses
the version of each new session and is notified of answers and ratings.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

ACCOUNT_SHARES = (30, 20, 15, 10, 8, 6, 4, 3, 2, 2)
RATING_GIVE_UP_S = 300
PERCENT = 100
FOREVER = 10**9
ACCOUNTS = tuple(f'account-{index}' for index in range(len(ACCOUNT_SHARES)))


class Quality(NamedTuple):
    """Quality of the answers of a version.

    Attributes:
        errors: Share of answers that fail.
        late: Share of answers that miss their target.
        rating: Parameters of the beta distribution of ratings.
        crashes: Share of answers that crash the backend server.
    """

    errors: float = 0.005
    late: float = 0.03
    rating: tuple[float, float] = (8.5, 1.5)
    crashes: float = 0.0


GOOD = Quality()


class Load(NamedTuple):
    """Arrival and rating parameters.

    Attributes:
        sessions_per_s: New sessions per second.
        answers: Mean number of answers per session.
        gap_s: Mean time between an answer and the next request.
        run_s: Mean duration of an answer.
        rated: Share of answers that are rated.
        lag_s: Median delay of a rating.
        lag_sigma: Standard deviation of the logarithm of that delay.
        entries: Number of entry processes.
        rating_outage: First tick, and tick after the last, without ratings.
    """

    sessions_per_s: float = 4.0
    answers: float = 3.0
    gap_s: float = 20.0
    run_s: float = 1.5
    rated: float = 0.6
    lag_s: float = 60.0
    lag_sigma: float = 0.7
    entries: int = 16
    rating_outage: tuple[int, int] = (0, 0)


class Fault(NamedTuple):
    """A fault of the candidate and its conditions.

    Attributes:
        quality: Quality of answers during the fault.
        account: The only affected account, or empty for all.
        after_answers: Fewest requests to the candidate before the fault.
        after_percent: Lowest share of a stage in which the fault begins.
        after_tick: Earliest start of the fault.
        everyone: Whether the incumbent is affected as well, as in a shared
            outage.
        until_tick: End of the fault.
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
    """A session of a caller.

    Attributes:
        account: Its client account.
        entry: Index of its entry process.
        percentile: Uniform in [0, 100); compared with the share of a stage.
        candidate: Whether it uses the candidate.
        reached: Whether a bad candidate answered it.
    """

    account: str
    entry: int
    percentile: float
    candidate: bool
    reached: bool = False


class Answer(NamedTuple):
    """A finished answer; `rating` is None if it will not be rated."""

    session: Session
    candidate: bool
    failed: bool
    late: bool
    crashed: bool
    rating: float | None


class Policy(Protocol):
    """A roll-out policy that chooses versions for sessions."""

    def accepts_session(self, session: Session, tick: int) -> bool:
        """Tell whether a new session goes to the candidate."""

    def is_stopped(self) -> bool:
        """Tell whether the candidate was stopped as bad."""

    def percent(self) -> int:
        """Return the declared share of the current stage."""

    def is_complete(self) -> bool:
        """Tell whether every new session may go to the candidate."""

    def candidate_asked(self, session: Session) -> None:
        """Record a request to the candidate."""

    def ended(self, answer: Answer, tick: int) -> None:
        """Record an answer."""

    def rated(self, answer: Answer, tick: int) -> None:
        """Record the rating of an answer; None if none will arrive."""

    def end_tick(self, tick: int) -> None:
        """Process the end of a tick."""


class Result(NamedTuple):
    """Result of one run.

    Attributes:
        callers: Sessions that sent a request to a bad candidate.
        answers: Requests sent to a bad candidate.
        stopped_at: Tick at which the candidate was stopped, or None.
        completed_at: Tick at which the roll-out was complete, or None.
        candidate_answers: All requests sent to the candidate.
    """

    callers: int
    answers: int
    stopped_at: int | None
    completed_at: int | None
    candidate_answers: int


@dataclass(slots=True)
class Simulation:
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
    """Run a policy until it is stopped, out of time or, if good, complete."""
    simulation = Simulation(random.Random(seed), load, fault, policy)
    completed_at = None
    stopped_at = None
    while simulation.tick < ticks and stopped_at is None:
        _step(simulation)
        if completed_at is None and policy.is_complete():
            completed_at = simulation.tick
            if fault is None:
                break
        if policy.is_stopped():
            stopped_at = simulation.tick
        simulation.tick += 1
    return Result(
        simulation.callers,
        simulation.bad_answers,
        stopped_at,
        completed_at,
        simulation.given,
    )


def _step(simulation: Simulation) -> None:
    _update_fault(simulation)
    for answer in simulation.ends.pop(simulation.tick, ()):
        simulation.policy.ended(answer, simulation.tick)
        _schedule_rating(simulation, answer)
    for answer in simulation.ratings.pop(simulation.tick, ()):
        simulation.policy.rated(answer, simulation.tick)
    for session in simulation.asks.pop(simulation.tick, ()):
        _send(simulation, session)
    for _ in range(_poisson(simulation.rng, simulation.load.sessions_per_s)):
        _send(simulation, _new_session(simulation))
    simulation.policy.end_tick(simulation.tick)


def _update_fault(simulation: Simulation) -> None:
    fault = simulation.fault
    if fault is None:
        return
    begun = (
        simulation.tick >= fault.after_tick
        and simulation.given >= fault.after_answers
        and simulation.policy.percent() >= fault.after_percent
    )
    simulation.is_bad = (
        simulation.is_bad or begun
    ) and simulation.tick < fault.until_tick


def _new_session(simulation: Simulation) -> Session:
    rng = simulation.rng
    account = rng.choices(ACCOUNTS, ACCOUNT_SHARES)[0]
    entry = rng.randrange(simulation.load.entries)
    session = Session(account, entry, rng.random() * PERCENT, candidate=False)
    session.candidate = simulation.policy.accepts_session(
        session, simulation.tick
    )
    return session


def _send(simulation: Simulation, session: Session) -> None:
    rng, load = simulation.rng, simulation.load
    quality, is_bad = _quality(simulation, session)
    if session.candidate:
        simulation.given += 1
        simulation.policy.candidate_asked(session)
        if is_bad:
            simulation.bad_answers += 1
            simulation.callers += not session.reached
            session.reached = True
    answer = _draw(simulation, session, quality)
    end = simulation.tick + 1 + int(rng.expovariate(1 / load.run_s))
    simulation.ends.setdefault(end, []).append(answer)
    if rng.random() > 1 / load.answers:
        following = end + 1 + int(rng.expovariate(1 / load.gap_s))
        simulation.asks.setdefault(following, []).append(session)


def _quality(simulation: Simulation, session: Session) -> tuple[Quality, bool]:
    fault = simulation.fault
    if fault is None or not simulation.is_bad:
        return GOOD, False
    if fault.account and fault.account != session.account:
        return GOOD, False
    if session.candidate or fault.everyone:
        return fault.quality, session.candidate and not fault.everyone
    return GOOD, False


def _draw(simulation: Simulation, session: Session, quality: Quality) -> Answer:
    rng = simulation.rng
    crashed = rng.random() < quality.crashes
    failed = crashed or rng.random() < quality.errors
    late = rng.random() < quality.late
    rating = None
    if not failed and rng.random() < simulation.load.rated:
        rating = rng.betavariate(*quality.rating)
    return Answer(session, session.candidate, failed, late, crashed, rating)


def _schedule_rating(simulation: Simulation, answer: Answer) -> None:
    if answer.rating is None:
        return
    load = simulation.load
    delay_s = load.lag_s * simulation.rng.lognormvariate(0, load.lag_sigma)
    due = simulation.tick + 1 + int(delay_s)
    begin, end = load.rating_outage
    if begin <= due < end:
        answer = answer._replace(rating=None)
        due = simulation.tick + RATING_GIVE_UP_S
    simulation.ratings.setdefault(due, []).append(answer)


def _poisson(rng: random.Random, mean: float) -> int:
    """Draw the number of arrivals within a tick."""
    number = 0
    elapsed = rng.expovariate(mean)
    while elapsed < 1:
        number += 1
        elapsed += rng.expovariate(mean)
    return number
