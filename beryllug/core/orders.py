"""Which orders bring the engines of a pool to their desired state.

Every version that is neither withdrawn nor stopped shall be loaded on all
live engines of its pool, so a candidate is there before its first stage. A
withdrawn version shall be nowhere, once no work of it can be left. A stopped
candidate stays where it is, and so does a version that is not declared: it
may be one of a later revision, or be under test by hand.

An order states the desired end and may be repeated. It is derived from what
engines report, so whatever a late order changed is put right by the next one.
Where engines ignore fencing tokens a late order can still be obeyed. It may
load anything, but must never unload the last copy, so an unload is only sent
to such an engine while another one keeps the version.
"""

from collections import Counter
from collections.abc import Iterable

from beryllug.core import config_data, orders_data, rendezvous, view_data

SHARE_AT_ONCE = 10
LONGEST_REPEAT_S = 60.0
DOUBLINGS = 10
UNLOADS_AT_ONCE = 1
ASSERTS_AT_ONCE = 32

Refs = frozenset[config_data.VersionRef]


def note(
    book: orders_data.Book,
    pool: str,
    world: orders_data.World,
) -> None:
    """Forget orders whose effect is seen, or whose engine is gone."""
    loaded = {sight.server_id: sight.loaded for sight in world.sights}
    book.asserted &= loaded.keys()
    wanted = _wanted(pool, world)
    for step in tuple(book.tried):
        seen = loaded.get(step.server_id)
        if seen is None or _is_done(step, seen) or not _holds(step, wanted):
            book.tried.pop(step)


def note_withdrawn(
    book: orders_data.Book, pool: str, world: orders_data.World, now: float
) -> None:
    """Remember since when each withdrawn version is seen as such."""
    withdrawn = _withdrawn(pool, world.document)
    for ref in tuple(book.withdrawn):
        if ref not in withdrawn:
            # Declared as live again: a later withdrawal counts from anew.
            book.withdrawn.pop(ref)
    for ref in withdrawn:
        book.withdrawn.setdefault(ref, now)


def steps(
    book: orders_data.Book,
    pool: config_data.Pool,
    world: orders_data.World,
    terms: orders_data.Terms,
    now: float,
) -> list[orders_data.Step]:
    """Return the orders to send now, the most urgent first.

    Args:
        book: What this sender remembers; brought up to date before.
        pool: The pool.
        world: Document, roll-outs and reports.
        terms: Durations and bounds.
        now: The present second.

    Returns:
        At most one order an engine; none while the sender must wait.
    """
    if not _may_send(book, pool, terms, now):
        return []
    waiting = [
        step for step in book.tried if _waits(book.tried[step], now, terms)
    ]
    under_way = Counter(type(step) for step in waiting)
    taken = {step.server_id for step in waiting}
    chosen: list[orders_data.Step] = []
    bounded = (
        (_loads(book, pool, world), _load_bound(under_way, world, terms)),
        (
            _unloads(book, pool, world, terms, now),
            max(0, UNLOADS_AT_ONCE - under_way[orders_data.Unload]),
        ),
        (_asserts(book, pool, world), ASSERTS_AT_ONCE),
    )
    for offered, bound in bounded:
        due = _due(book, offered, world, terms, now)
        chosen.extend(_one_each(due, bound, taken))
    return chosen


def still_stands(
    book: orders_data.Book,
    pool: config_data.Pool,
    step: orders_data.Step,
    world: orders_data.World,
    terms: orders_data.Terms,
    now: float,
) -> bool:
    """Tell whether a chosen order is still right by a fresh report.

    Args:
        book: What this sender remembers.
        pool: The pool.
        step: The order.
        world: As for the choice, with the fresh report of its engine.
        terms: Durations and bounds.
        now: The present second.
    """
    if not _may_send(book, pool, terms, now):
        return False
    match step:
        case orders_data.Load():
            return step in _loads(book, pool, world)
        case orders_data.Unload():
            return step in _unloads(book, pool, world, terms, now)
        case orders_data.Assert():
            return step in _asserts(book, pool, world)


def sent(
    book: orders_data.Book,
    step: orders_data.Step,
    now: float,
    *,
    read_back: bool,
) -> None:
    """Take in that an order was sent, or that sending it failed."""
    before = book.tried.get(step)
    attempts = before.attempts + 1 if before else 1
    book.tried[step] = orders_data.Tried(now, attempts, read_back)


def accepted(book: orders_data.Book, step: orders_data.Step) -> None:
    """Take in that an engine accepted an order with this token."""
    book.asserted.add(step.server_id)
    if isinstance(step, orders_data.Assert):
        book.tried.pop(step, None)


def keeper(ref: config_data.VersionRef, world: orders_data.World) -> str | None:
    """Return the engine that keeps a version which all others unload."""
    having = [one.server_id for one in world.sights if ref in one.loaded]
    return next(iter(rendezvous.order(ref.version, having)), None)


def is_loaded(
    ref: config_data.VersionRef, loads: Iterable[view_data.ServerLoad]
) -> bool:
    """Tell whether some engine reported a version as loaded."""
    return any(ref in load.loaded for load in loads)


def _may_send(
    book: orders_data.Book,
    pool: config_data.Pool,
    terms: orders_data.Terms,
    now: float,
) -> bool:
    """Tell whether the sender may send at all.

    An order of the holder before may still be on its way after its lease has
    lapsed. Engines that ignore the token would take it after ours and end in
    its state, so we begin when its longest time is over.
    """
    if book.superseded:
        return False
    return pool.checks_fencing or now >= book.since + terms.settle_s


def _wanted(pool: str, world: orders_data.World) -> Refs:
    stopped = {
        config_data.VersionRef(status.model, status.candidate)
        for status in world.rollouts
        if status.verdict is view_data.Verdict.STOPPED
    }
    return frozenset(
        version.ref
        for model in world.document.models
        for version in model.versions
        if version.pool == pool
        and not version.withdrawn
        and version.ref not in stopped
    )


def _withdrawn(pool: str, document: config_data.Document) -> Refs:
    return frozenset(
        version.ref
        for model in document.models
        for version in model.versions
        if version.pool == pool and version.withdrawn
    )


def _loads(
    book: orders_data.Book, pool: config_data.Pool, world: orders_data.World
) -> list[orders_data.Step]:
    """Return missing loads: least tried, then fewest copies first."""
    copies = Counter(ref for sight in world.sights for ref in sight.loaded)
    missing: list[orders_data.Step] = [
        orders_data.Load(sight.server_id, ref)
        for sight in world.sights
        for ref in _wanted(pool.name, world) - sight.loaded
    ]
    return sorted(
        missing,
        key=lambda step: (
            _attempts(book, step),
            copies[step.ref],
            rendezvous.score(step.ref.version, step.server_id),
            step,
        ),
    )


def _unloads(
    book: orders_data.Book,
    pool: config_data.Pool,
    world: orders_data.World,
    terms: orders_data.Terms,
    now: float,
) -> list[orders_data.Step]:
    found: list[orders_data.Step] = []
    for ref in sorted(_withdrawn(pool.name, world.document)):
        found.extend(
            orders_data.Unload(sight.server_id, ref)
            for sight in world.sights
            if ref in sight.loaded
            and _work_ended(book, ref, sight, terms, now)
            and not _must_keep(pool, ref, sight, world)
        )
    return sorted(found, key=lambda step: _attempts(book, step))


def _work_ended(
    book: orders_data.Book,
    ref: config_data.VersionRef,
    sight: orders_data.Sight,
    terms: orders_data.Terms,
    now: float,
) -> bool:
    """Tell whether no work of a withdrawn version is left on an engine.

    Unloaded too early, an answer would break off half way. Once the grace
    time is over no entry process sends any more, so an engine seen idle
    after it has none left. One that is never idle is taken to be done after
    the longest time that a request takes.
    """
    since = book.withdrawn.get(ref)
    if since is None:
        return False
    sure_from = since + terms.grace_s
    if not sight.busy and sight.seen_at > sure_from:
        return now > sure_from
    return now > sure_from + terms.longest_s


def _must_keep(
    pool: config_data.Pool,
    ref: config_data.VersionRef,
    sight: orders_data.Sight,
    world: orders_data.World,
) -> bool:
    """Tell whether an engine has the copy that stays.

    An unload that comes late, when the version is declared as live again,
    would take its only copy where engines ignore the fencing token: callers
    would get errors until it is loaded. So one engine keeps it as long as
    the version is declared.
    """
    if pool.checks_fencing:
        return False
    return keeper(ref, world) == sight.server_id


def _asserts(
    book: orders_data.Book, pool: config_data.Pool, world: orders_data.World
) -> list[orders_data.Step]:
    wanted = _wanted(pool.name, world)
    return [
        orders_data.Assert(sight.server_id, min(wanted & sight.loaded))
        for sight in world.sights
        if sight.server_id not in book.asserted and wanted & sight.loaded
    ]


def _one_each(
    due: list[orders_data.Step], bound: int, taken: set[str]
) -> Iterable[orders_data.Step]:
    """Take orders up to a bound, at most one an engine."""
    for step in due:
        if bound and step.server_id not in taken:
            bound -= 1
            taken.add(step.server_id)
            yield step


def _due(
    book: orders_data.Book,
    offered: list[orders_data.Step],
    world: orders_data.World,
    terms: orders_data.Terms,
    now: float,
) -> list[orders_data.Step]:
    """Leave out what was sent and must not be repeated yet."""
    seen = {sight.server_id: sight.seen_at for sight in world.sights}
    return [
        step
        for step in offered
        if step not in book.tried
        or _may_repeat(book.tried[step], seen[step.server_id], terms, now)
    ]


def _may_repeat(
    tried: orders_data.Tried,
    seen_at: float,
    terms: orders_data.Terms,
    now: float,
) -> bool:
    """Tell whether an order may be sent again.

    Reports lag: one from before the order still shows the old state. An
    engine whose clock is behind by much would never show a later one, so
    after the longest time it is repeated all the same.
    """
    if _waits(tried, now, terms):
        return False
    if not tried.read_back or seen_at > tried.sent_at:
        return True
    return now >= tried.sent_at + LONGEST_REPEAT_S


def _waits(
    tried: orders_data.Tried, now: float, terms: orders_data.Terms
) -> bool:
    doubled = terms.repeat_s * (1 << min(tried.attempts - 1, DOUBLINGS))
    return now < tried.sent_at + min(doubled, LONGEST_REPEAT_S)


def _load_bound(
    under_way: Counter[type], world: orders_data.World, terms: orders_data.Terms
) -> int:
    """Return how many more loads may begin: the others go on serving."""
    most = max(terms.at_once, len(world.sights) // SHARE_AT_ONCE)
    return max(0, most - under_way[orders_data.Load])


def _attempts(book: orders_data.Book, step: orders_data.Step) -> int:
    tried = book.tried.get(step)
    return tried.attempts if tried else 0


def _is_done(step: orders_data.Step, loaded: Refs) -> bool:
    match step:
        case orders_data.Load():
            return step.ref in loaded
        case orders_data.Unload():
            return step.ref not in loaded
        case orders_data.Assert():
            return False


def _holds(step: orders_data.Step, wanted: Refs) -> bool:
    """Tell whether an order still states a desired end."""
    return isinstance(step, orders_data.Unload) == (step.ref not in wanted)
