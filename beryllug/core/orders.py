"""Computes the orders that bring the engines of a pool to the desired state.

Every version that is neither withdrawn nor stopped is to be loaded on all live
engines of its pool, so that a candidate is loaded before its first stage. A
withdrawn version is unloaded everywhere once no request for it can be left. A
stopped candidate stays where it is loaded, and so does an undeclared version:
it may belong to a later revision or be under manual test.

An order states the desired state and is idempotent. Orders are derived from
the reports of engines, so the effect of a delayed order is corrected by the
next one. An engine that ignores fencing tokens may still execute a delayed
order of an earlier lease holder. A load is harmless then, but an unload must
never remove the last copy, so it is only sent to such an engine while another
one keeps the version.
"""

from collections import Counter
from collections.abc import Iterable

from beryllug.core import config_data, orders_data, rendezvous, view_data

LOADS_AT_ONCE_DIVISOR = 10
MAX_REPEAT_S = 60.0
MAX_DOUBLINGS = 10
MAX_UNLOADS_AT_ONCE = 1
MAX_ASSERTS_AT_ONCE = 32

VersionRefs = frozenset[config_data.VersionRef]


def note(
    book: orders_data.SenderState,
    pool: str,
    world: orders_data.PoolSnapshot,
) -> None:
    """Remove orders that are done or obsolete, or whose engine is gone."""
    loaded = {sight.server_id: sight.loaded for sight in world.engine_reports}
    book.asserted &= loaded.keys()
    desired = _desired(pool, world)
    for step in tuple(book.tried):
        seen = loaded.get(step.server_id)
        if (
            seen is None
            or _is_done(step, seen)
            or not _is_desired(step, desired)
        ):
            book.tried.pop(step)


def note_withdrawn(
    book: orders_data.SenderState,
    pool: str,
    world: orders_data.PoolSnapshot,
    now: float,
) -> None:
    """Record when each withdrawn version was first seen as withdrawn."""
    withdrawn = _withdrawn(pool, world.document)
    for ref in tuple(book.withdrawn):
        if ref not in withdrawn:
            # No longer withdrawn: a later withdrawal restarts the time.
            book.withdrawn.pop(ref)
    for ref in withdrawn:
        book.withdrawn.setdefault(ref, now)


def steps(
    book: orders_data.SenderState,
    pool: config_data.Pool,
    world: orders_data.PoolSnapshot,
    terms: orders_data.OrderLimits,
    now: float,
) -> list[orders_data.EngineOrder]:
    """Return the orders to send now, the most urgent first.

    Args:
        book: The state of this sender, updated before this call.
        pool: The pool.
        world: Document, roll-outs and reports.
        terms: Durations and limits.
        now: The current time in seconds.

    Returns:
        At most one order per engine; none while the sender must wait.
    """
    if not _may_send(book, pool, terms, now):
        return []
    waiting = [
        step
        for step in book.tried
        if _is_backing_off(book.tried[step], now, terms)
    ]
    in_progress = Counter(type(step) for step in waiting)
    taken = {step.server_id for step in waiting}
    chosen: list[orders_data.EngineOrder] = []
    limited = (
        (
            _missing_loads(book, pool, world),
            _load_limit(in_progress, world, terms),
        ),
        (
            _allowed_unloads(book, pool, world, terms, now),
            max(0, MAX_UNLOADS_AT_ONCE - in_progress[orders_data.Unload]),
        ),
        (_pending_asserts(book, pool, world), MAX_ASSERTS_AT_ONCE),
    )
    for candidates, limit in limited:
        due = _due(book, candidates, world, terms, now)
        chosen.extend(_one_per_engine(due, limit, taken))
    return chosen


def is_still_valid(
    book: orders_data.SenderState,
    pool: config_data.Pool,
    step: orders_data.EngineOrder,
    world: orders_data.PoolSnapshot,
    terms: orders_data.OrderLimits,
    now: float,
) -> bool:
    """Return whether a chosen order is still valid after a new report.

    Args:
        book: The state of this sender.
        pool: The pool.
        step: The order.
        world: As in `steps`, with a new report of the order's engine.
        terms: Durations and limits.
        now: The current time in seconds.
    """
    if not _may_send(book, pool, terms, now):
        return False
    match step:
        case orders_data.Load():
            return step in _missing_loads(book, pool, world)
        case orders_data.Unload():
            return step in _allowed_unloads(book, pool, world, terms, now)
        case orders_data.Assert():
            return step in _pending_asserts(book, pool, world)


def sent(
    book: orders_data.SenderState,
    step: orders_data.EngineOrder,
    now: float,
    *,
    read_back: bool,
) -> None:
    """Record that an order was sent, or that sending it failed."""
    before = book.tried.get(step)
    attempts = before.attempts + 1 if before else 1
    book.tried[step] = orders_data.SentOrder(now, attempts, read_back)


def accepted(
    book: orders_data.SenderState, step: orders_data.EngineOrder
) -> None:
    """Record that an engine accepted an order with the current token."""
    book.asserted.add(step.server_id)
    if isinstance(step, orders_data.Assert):
        book.tried.pop(step, None)


def keeper(
    ref: config_data.VersionRef, world: orders_data.PoolSnapshot
) -> str | None:
    """Return the engine that keeps the last copy of a withdrawn version."""
    engines = [
        one.server_id for one in world.engine_reports if ref in one.loaded
    ]
    return next(iter(rendezvous.order(ref.version, engines)), None)


def is_loaded(
    ref: config_data.VersionRef, loads: Iterable[view_data.ServerLoad]
) -> bool:
    """Return whether any engine reported a version as loaded."""
    return any(ref in load.loaded for load in loads)


def _may_send(
    book: orders_data.SenderState,
    pool: config_data.Pool,
    terms: orders_data.OrderLimits,
    now: float,
) -> bool:
    """Return whether the sender may send orders.

    An order of the previous lease holder may still be in transit after its
    lease expired. An engine that ignores the token could execute it after one
    of this sender and end in the old state, so the sender first waits for the
    maximum duration of an order.
    """
    if book.superseded:
        return False
    return pool.checks_fencing or now >= book.since + terms.settle_s


def _desired(pool: str, world: orders_data.PoolSnapshot) -> VersionRefs:
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


def _withdrawn(pool: str, document: config_data.Document) -> VersionRefs:
    return frozenset(
        version.ref
        for model in document.models
        for version in model.versions
        if version.pool == pool and version.withdrawn
    )


def _missing_loads(
    book: orders_data.SenderState,
    pool: config_data.Pool,
    world: orders_data.PoolSnapshot,
) -> list[orders_data.EngineOrder]:
    """Return missing loads by ascending attempts, then ascending copies."""
    copies = Counter(
        ref for sight in world.engine_reports for ref in sight.loaded
    )
    missing: list[orders_data.EngineOrder] = [
        orders_data.Load(sight.server_id, ref)
        for sight in world.engine_reports
        for ref in _desired(pool.name, world) - sight.loaded
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


def _allowed_unloads(
    book: orders_data.SenderState,
    pool: config_data.Pool,
    world: orders_data.PoolSnapshot,
    terms: orders_data.OrderLimits,
    now: float,
) -> list[orders_data.EngineOrder]:
    found: list[orders_data.EngineOrder] = []
    for ref in sorted(_withdrawn(pool.name, world.document)):
        found.extend(
            orders_data.Unload(sight.server_id, ref)
            for sight in world.engine_reports
            if ref in sight.loaded
            and _is_drained(book, ref, sight, terms, now)
            and not _keeps_last_copy(pool, ref, sight, world)
        )
    return sorted(found, key=lambda step: _attempts(book, step))


def _is_drained(
    book: orders_data.SenderState,
    ref: config_data.VersionRef,
    sight: orders_data.EngineReport,
    terms: orders_data.OrderLimits,
    now: float,
) -> bool:
    """Return whether an engine has no request for a withdrawn version left.

    Unloading too early would truncate an answer. After the grace period no
    entry process sends requests for the version any more, so an engine that
    is idle later has none left. One that is never idle is assumed to be done
    after the longest duration of a request.
    """
    since = book.withdrawn.get(ref)
    if since is None:
        return False
    grace_ends_at = since + terms.grace_s
    if not sight.busy and sight.seen_at > grace_ends_at:
        return now > grace_ends_at
    return now > grace_ends_at + terms.longest_s


def _keeps_last_copy(
    pool: config_data.Pool,
    ref: config_data.VersionRef,
    sight: orders_data.EngineReport,
    world: orders_data.PoolSnapshot,
) -> bool:
    """Return whether an engine has the copy that must be kept.

    An engine that ignores fencing tokens may execute a delayed unload after
    the version was reinstated. If that removed the only copy, callers would
    get errors until it is loaded again. So one engine keeps the version as
    long as it is declared.
    """
    if pool.checks_fencing:
        return False
    return keeper(ref, world) == sight.server_id


def _pending_asserts(
    book: orders_data.SenderState,
    pool: config_data.Pool,
    world: orders_data.PoolSnapshot,
) -> list[orders_data.EngineOrder]:
    desired = _desired(pool.name, world)
    return [
        orders_data.Assert(sight.server_id, min(desired & sight.loaded))
        for sight in world.engine_reports
        if sight.server_id not in book.asserted and desired & sight.loaded
    ]


def _one_per_engine(
    due: list[orders_data.EngineOrder], limit: int, taken: set[str]
) -> Iterable[orders_data.EngineOrder]:
    """Yield orders up to a limit, at most one per engine."""
    for step in due:
        if limit and step.server_id not in taken:
            limit -= 1
            taken.add(step.server_id)
            yield step


def _due(
    book: orders_data.SenderState,
    candidates: list[orders_data.EngineOrder],
    world: orders_data.PoolSnapshot,
    terms: orders_data.OrderLimits,
    now: float,
) -> list[orders_data.EngineOrder]:
    """Return the orders without those that must not be repeated yet."""
    seen = {sight.server_id: sight.seen_at for sight in world.engine_reports}
    return [
        step
        for step in candidates
        if step not in book.tried
        or _may_repeat(book.tried[step], seen[step.server_id], terms, now)
    ]


def _may_repeat(
    tried: orders_data.SentOrder,
    seen_at: float,
    terms: orders_data.OrderLimits,
    now: float,
) -> bool:
    """Return whether an order may be sent again.

    Reports are delayed: one from before the order still shows the old state.
    Reports of an engine whose clock is far behind never appear to be later
    than the order, so it is repeated after the maximum time in any case.
    """
    if _is_backing_off(tried, now, terms):
        return False
    if not tried.read_back or seen_at > tried.sent_at:
        return True
    return now >= tried.sent_at + MAX_REPEAT_S


def _is_backing_off(
    tried: orders_data.SentOrder, now: float, terms: orders_data.OrderLimits
) -> bool:
    delay_s = terms.repeat_s * (1 << min(tried.attempts - 1, MAX_DOUBLINGS))
    return now < tried.sent_at + min(delay_s, MAX_REPEAT_S)


def _load_limit(
    in_progress: Counter[type],
    world: orders_data.PoolSnapshot,
    terms: orders_data.OrderLimits,
) -> int:
    """Return how many more loads may start; other engines keep serving."""
    most = max(
        terms.at_once, len(world.engine_reports) // LOADS_AT_ONCE_DIVISOR
    )
    return max(0, most - in_progress[orders_data.Load])


def _attempts(
    book: orders_data.SenderState, step: orders_data.EngineOrder
) -> int:
    tried = book.tried.get(step)
    return tried.attempts if tried else 0


def _is_done(step: orders_data.EngineOrder, loaded: VersionRefs) -> bool:
    match step:
        case orders_data.Load():
            return step.ref in loaded
        case orders_data.Unload():
            return step.ref not in loaded
        case orders_data.Assert():
            return False


def _is_desired(step: orders_data.EngineOrder, desired: VersionRefs) -> bool:
    """Return whether an order still leads to the desired state."""
    return isinstance(step, orders_data.Unload) == (step.ref not in desired)
