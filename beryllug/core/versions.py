"""Which versions a request may run on.

Asked anew at every dispatch, retry and escalation, never only at admission: a
request that waited while its version was withdrawn would otherwise run on the
withdrawn one. The answer depends on the view and the arguments alone.
"""

import hashlib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data, view_data

HASH_BYTES = 8
BUCKETS = 10000
BUCKETS_A_PERCENT = 100


class Reason(StrEnum):
    """Why no version may run a request."""

    UNKNOWN = 'unknown_model'
    NOT_ALLOWED = 'not_allowed'
    WITHDRAWN = 'withdrawn'


class Refusal(NamedTuple):
    """No version may run the request, which is therefore not run.

    Attributes:
        reason: Why.
        model: The model or cascade that was asked for.
    """

    reason: Reason
    model: str


class Stage(NamedTuple):
    """The versions that may serve one stage, the preferred one first.

    Attributes:
        model: The model of this stage.
        versions: Allowed versions; later ones serve when the pool of an
            earlier one cannot.
        pin_broken: Whether the session had to leave the version it was on.
    """

    model: str
    versions: tuple[config_data.Version, ...]
    pin_broken: bool = False


class Plan(NamedTuple):
    """The stages of a request, cheapest first; one for a plain model.

    Attributes:
        stages: Stages that have at least one version.
        cascade: The declared cascade, or None for a plain model.
    """

    stages: tuple[Stage, ...]
    cascade: config_data.Cascade | None = None

    @property
    def pin_broken(self) -> bool:
        """Tell whether a stage left the version its session was on."""
        return any(stage.pin_broken for stage in self.stages)


class Session(NamedTuple):
    """What decides the version of a request besides the account.

    Attributes:
        key: Session of the caller, or the request id without one.
        pins: The version this session is on, one a model at most.
    """

    key: str
    pins: tuple[config_data.VersionRef, ...] = ()


Budgets = Mapping[config_data.VersionRef, int]


class _Rollout(NamedTuple):
    """A declared roll-out beside its state."""

    declared: config_data.Rollout
    verdict: view_data.Verdict
    percent: int

    @property
    def candidate(self) -> config_data.VersionRef:
        return config_data.VersionRef(
            self.declared.model, self.declared.candidate
        )

    @property
    def incumbent(self) -> config_data.VersionRef:
        return config_data.VersionRef(
            self.declared.model, self.declared.incumbent
        )


def candidates(
    view: view_data.View,
    account: config_data.Account,
    asked: str,
    session: Session,
    budgets: Budgets,
) -> Plan | Refusal:
    """Return the versions that a request may run on now.

    Args:
        view: The present view.
        account: The client account.
        asked: Model or cascade that the caller named.
        session: The caller's session and the versions it is on.
        budgets: Answers of each candidate that this process may still give
            out; a candidate that is absent may give none to new sessions.

    Returns:
        The stages with their versions, or why there is none.
    """
    cascade = _cascade(view.document, asked)
    if cascade is None:
        stage = _stage(view, account, asked, session, budgets)
        return stage if isinstance(stage, Refusal) else Plan((stage,))
    if asked not in account.cascades:
        return Refusal(Reason.NOT_ALLOWED, asked)
    found = [
        _stage(view, account, model, session, budgets)
        for model in cascade.stages
    ]
    stages = tuple(stage for stage in found if isinstance(stage, Stage))
    if stages:
        return Plan(stages, cascade)
    return _worst(asked, found)


def is_current(
    view: view_data.View,
    account: config_data.Account,
    ref: config_data.VersionRef,
) -> bool:
    """Tell whether a version may still receive work of an account.

    The last look before a byte is written: true only when the account allows
    the version and it is neither withdrawn nor stopped in its roll-out.
    """
    version = find(view.document, ref)
    if version is None or version.withdrawn or not allows(account, ref):
        return False
    return ref not in _stopped(view)


def allows(account: config_data.Account, ref: config_data.VersionRef) -> bool:
    """Tell whether an account's declaration covers a version."""
    return _rank(account, ref) is not None


def find(
    document: config_data.Document, ref: config_data.VersionRef
) -> config_data.Version | None:
    """Return a declared version, or None."""
    for version in _versions(document, ref.model):
        if version.ref == ref:
            return version
    return None


def bucket(model: str, candidate: str, session_key: str) -> int:
    """Return the place of a session among `BUCKETS`, the same on any host.

    The share of a roll-out only moves a bound over these places, so a session
    that was inside a smaller share is inside every larger one too.
    """
    text = f'{model}\0{candidate}\0{session_key}'.encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') % BUCKETS


def _stage(
    view: view_data.View,
    account: config_data.Account,
    model: str,
    session: Session,
    budgets: Budgets,
) -> Stage | Refusal:
    declared = _versions(view.document, model)
    if not declared:
        return Refusal(Reason.UNKNOWN, model)
    allowed = [version for version in declared if allows(account, version.ref)]
    if not allowed:
        return Refusal(Reason.NOT_ALLOWED, model)
    stopped = _stopped(view)
    current = [
        version
        for version in allowed
        if not version.withdrawn and version.ref not in stopped
    ]
    if not current:
        return Refusal(Reason.WITHDRAWN, model)
    pin = _pin(session, model)
    pinned = tuple(version for version in current if version.ref == pin)
    if pinned:
        return Stage(model, pinned)
    order = _order(view, account, current, session, budgets)
    return Stage(model, order, pin_broken=pin is not None)


def _order(
    view: view_data.View,
    account: config_data.Account,
    current: list[config_data.Version],
    session: Session,
    budgets: Budgets,
) -> tuple[config_data.Version, ...]:
    """Order the versions for a session that is on none yet."""
    ranked = sorted(
        current, key=lambda version: _rank(account, version.ref) or 0
    )
    rollout = _rollout(view, ranked[0].ref.model)
    if rollout is None:
        return tuple(ranked)
    others = [
        version
        for version in ranked
        if version.ref not in {rollout.candidate, rollout.incumbent}
    ]
    new = [version for version in ranked if version.ref == rollout.candidate]
    old = [version for version in ranked if version.ref == rollout.incumbent]
    if rollout.verdict is view_data.Verdict.PROMOTED:
        return (*new, *old, *others)
    if new and _takes_candidate(rollout, session, budgets):
        return (*new, *old, *others)
    # An account that is allowed nothing but the candidate asked for it.
    return (*old, *others) or tuple(new)


def _takes_candidate(
    rollout: _Rollout, session: Session, budgets: Budgets
) -> bool:
    """Tell whether a new session goes to the candidate.

    Without budget it does not: the answers already out and not yet judged are
    the callers that a bad version reaches before anyone can know.
    """
    if budgets.get(rollout.candidate, 0) <= 0:
        return False
    place = bucket(
        rollout.declared.model, rollout.declared.candidate, session.key
    )
    return place < rollout.percent * BUCKETS_A_PERCENT


def _rollout(view: view_data.View, model: str) -> _Rollout | None:
    """Join a model's roll-out with its state; without state none begins."""
    for declared in view.document.rollouts:
        if declared.model == model:
            return _joined(declared, view.rollouts)
    return None


def _joined(
    declared: config_data.Rollout,
    states: Iterable[view_data.RolloutStatus],
) -> _Rollout:
    for state in states:
        same = state.candidate == declared.candidate
        if same and state.model == declared.model:
            last = len(declared.stages) - 1
            percent = declared.stages[min(state.stage, last)]
            return _Rollout(declared, state.verdict, percent)
    return _Rollout(declared, view_data.Verdict.RUNNING, 0)


def _stopped(view: view_data.View) -> frozenset[config_data.VersionRef]:
    return frozenset(
        config_data.VersionRef(state.model, state.candidate)
        for state in view.rollouts
        if state.verdict is view_data.Verdict.STOPPED
    )


def _pin(session: Session, model: str) -> config_data.VersionRef | None:
    for pin in session.pins:
        if pin.model == model:
            return pin
    return None


def _rank(
    account: config_data.Account, ref: config_data.VersionRef
) -> int | None:
    """Return the place of the first pattern that covers a version."""
    for place, pattern in enumerate(account.allowed):
        if pattern.model == ref.model:
            if pattern.version in {ref.version, config_data.ANY_VERSION}:
                return place
    return None


def _versions(
    document: config_data.Document, name: str
) -> tuple[config_data.Version, ...]:
    for model in document.models:
        if model.name == name:
            return model.versions
    return ()


def _cascade(
    document: config_data.Document, name: str
) -> config_data.Cascade | None:
    for cascade in document.cascades:
        if cascade.name == name:
            return cascade
    return None


def _worst(asked: str, found: list[Stage | Refusal]) -> Refusal:
    reasons = {item.reason for item in found if isinstance(item, Refusal)}
    if Reason.WITHDRAWN in reasons:
        return Refusal(Reason.WITHDRAWN, asked)
    if Reason.NOT_ALLOWED in reasons:
        return Refusal(Reason.NOT_ALLOWED, asked)
    return Refusal(Reason.UNKNOWN, asked)
