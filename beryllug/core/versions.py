"""Selects the versions that a request may run on.

This is evaluated at every dispatch, retry and escalation and not only at
admission: otherwise a request that was queued while its version was withdrawn
would run on the withdrawn version. The result depends only on the view and
the arguments.
"""

import hashlib
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from beryllug.core import config_data, view_data

HASH_BYTES = 8
BUCKETS = 10000
BUCKETS_PER_PERCENT = 100


class Reason(StrEnum):
    """Why no version may run a request."""

    UNKNOWN = 'unknown_model'
    NOT_ALLOWED = 'not_allowed'
    WITHDRAWN = 'withdrawn'


class Refusal(NamedTuple):
    """A refusal of a request that no version may run.

    Attributes:
        reason: Why no version may run it.
        model: The requested model or cascade.
    """

    reason: Reason
    model: str


class Stage(NamedTuple):
    """The versions that may serve one stage, the preferred one first.

    Attributes:
        model: The model of this stage.
        versions: Allowed versions; later ones are used if the pool of an
            earlier one cannot serve the request.
        pin_broken: Whether the version that the session was pinned to is no
            longer available.
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
        """Whether a pinned version is unavailable at any stage."""
        return any(stage.pin_broken for stage in self.stages)


class Session(NamedTuple):
    """The session properties that determine the version of a request.

    Attributes:
        key: Session of the caller, or the request id without one.
        pins: Versions that the session is pinned to, at most one per model.
    """

    key: str
    pins: tuple[config_data.VersionRef, ...] = ()


Budgets = Mapping[config_data.VersionRef, int]


class _ActiveRollout(NamedTuple):
    """A declared roll-out with its state."""

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
        view: The current view.
        account: The client account.
        asked: The requested model or cascade.
        session: The caller's session and its pinned versions.
        budgets: How many answers of each candidate this process may still
            serve; new sessions do not get a candidate that is absent.

    Returns:
        The stages with their versions, or the reason why there are none.
    """
    cascade = _find_cascade(view.document, asked)
    if cascade is None:
        stage = _plan_stage(view, account, asked, session, budgets)
        return stage if isinstance(stage, Refusal) else Plan((stage,))
    if asked not in account.cascades:
        return Refusal(Reason.NOT_ALLOWED, asked)
    planned = [
        _plan_stage(view, account, model, session, budgets)
        for model in cascade.stages
    ]
    stages = tuple(stage for stage in planned if isinstance(stage, Stage))
    if stages:
        return Plan(stages, cascade)
    return _combined_refusal(asked, planned)


def is_current(
    view: view_data.View,
    account: config_data.Account,
    ref: config_data.VersionRef,
) -> bool:
    """Return whether a version may still receive requests of an account.

    This is the last check before a request is written to a server. The account
    must allow the version, and it must be neither withdrawn nor stopped.
    """
    version = find(view.document, ref)
    if version is None or version.withdrawn or not allows(account, ref):
        return False
    return ref not in _stopped_versions(view)


def allows(account: config_data.Account, ref: config_data.VersionRef) -> bool:
    """Return whether an account may use a version."""
    return _pattern_index(account, ref) is not None


def find(
    document: config_data.Document, ref: config_data.VersionRef
) -> config_data.Version | None:
    """Return a declared version, or None."""
    for version in _declared_versions(document, ref.model):
        if version.ref == ref:
            return version
    return None


def bucket(model: str, candidate: str, session_key: str) -> int:
    """Return the bucket of a session, which is the same on all hosts.

    A roll-out includes the buckets below a limit that grows with its share, so
    a session in a smaller share is also in every larger one.
    """
    text = f'{model}\0{candidate}\0{session_key}'.encode()
    digest = hashlib.blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, 'big') % BUCKETS


def _plan_stage(
    view: view_data.View,
    account: config_data.Account,
    model: str,
    session: Session,
    budgets: Budgets,
) -> Stage | Refusal:
    declared = _declared_versions(view.document, model)
    if not declared:
        return Refusal(Reason.UNKNOWN, model)
    allowed = [version for version in declared if allows(account, version.ref)]
    if not allowed:
        return Refusal(Reason.NOT_ALLOWED, model)
    stopped = _stopped_versions(view)
    current = [
        version
        for version in allowed
        if not version.withdrawn and version.ref not in stopped
    ]
    if not current:
        return Refusal(Reason.WITHDRAWN, model)
    pin = _pinned_version(session, model)
    pinned = tuple(version for version in current if version.ref == pin)
    if pinned:
        return Stage(model, pinned)
    order = _preference_order(view, account, current, session, budgets)
    return Stage(model, order, pin_broken=pin is not None)


def _preference_order(
    view: view_data.View,
    account: config_data.Account,
    current: list[config_data.Version],
    session: Session,
    budgets: Budgets,
) -> tuple[config_data.Version, ...]:
    """Order the versions for a session without a usable pin."""
    ranked = sorted(
        current, key=lambda version: _pattern_index(account, version.ref) or 0
    )
    rollout = _find_rollout(view, ranked[0].ref.model)
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
    if new and _gets_candidate(rollout, session, budgets):
        return (*new, *old, *others)
    # An account that is allowed only the candidate was configured to use it.
    return (*old, *others) or tuple(new)


def _gets_candidate(
    rollout: _ActiveRollout, session: Session, budgets: Budgets
) -> bool:
    """Return whether a new session gets the candidate.

    It does not without budget, which limits the unjudged answers: these are
    the callers that a bad version affects before it is detected.
    """
    if budgets.get(rollout.candidate, 0) <= 0:
        return False
    place = bucket(
        rollout.declared.model, rollout.declared.candidate, session.key
    )
    return place < rollout.percent * BUCKETS_PER_PERCENT


def _find_rollout(view: view_data.View, model: str) -> _ActiveRollout | None:
    """Return a model's roll-out with its state, or None if not declared.

    A roll-out without a stored state has not started: its share is 0 percent.
    """
    for declared in view.document.rollouts:
        if declared.model == model:
            return _with_state(declared, view.rollouts)
    return None


def _with_state(
    declared: config_data.Rollout,
    states: Iterable[view_data.RolloutStatus],
) -> _ActiveRollout:
    for state in states:
        same = state.candidate == declared.candidate
        if same and state.model == declared.model:
            last = len(declared.stages) - 1
            percent = declared.stages[min(state.stage, last)]
            return _ActiveRollout(declared, state.verdict, percent)
    return _ActiveRollout(declared, view_data.Verdict.RUNNING, 0)


def _stopped_versions(
    view: view_data.View,
) -> frozenset[config_data.VersionRef]:
    return frozenset(
        config_data.VersionRef(state.model, state.candidate)
        for state in view.rollouts
        if state.verdict is view_data.Verdict.STOPPED
    )


def _pinned_version(
    session: Session, model: str
) -> config_data.VersionRef | None:
    for pin in session.pins:
        if pin.model == model:
            return pin
    return None


def _pattern_index(
    account: config_data.Account, ref: config_data.VersionRef
) -> int | None:
    """Return the index of the first pattern that matches a version."""
    for place, pattern in enumerate(account.allowed):
        if pattern.model == ref.model:
            if pattern.version in {ref.version, config_data.ANY_VERSION}:
                return place
    return None


def _declared_versions(
    document: config_data.Document, name: str
) -> tuple[config_data.Version, ...]:
    for model in document.models:
        if model.name == name:
            return model.versions
    return ()


def _find_cascade(
    document: config_data.Document, name: str
) -> config_data.Cascade | None:
    for cascade in document.cascades:
        if cascade.name == name:
            return cascade
    return None


def _combined_refusal(asked: str, planned: list[Stage | Refusal]) -> Refusal:
    reasons = {item.reason for item in planned if isinstance(item, Refusal)}
    if Reason.WITHDRAWN in reasons:
        return Refusal(Reason.WITHDRAWN, asked)
    if Reason.NOT_ALLOWED in reasons:
        return Refusal(Reason.NOT_ALLOWED, asked)
    return Refusal(Reason.UNKNOWN, asked)
