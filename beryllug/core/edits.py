"""Common changes of a document that operators can request by name.

An edit only creates the next document, which is validated and applied like any
other, so an invalid edit is refused with the same findings.
"""

from dataclasses import dataclass

from beryllug.core import config_data

Ref = config_data.VersionRef
Document = config_data.Document


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraw a version and end any roll-out of which it is part."""

    ref: Ref


@dataclass(frozen=True, slots=True)
class Restore:
    """Restore a withdrawn version to service."""

    ref: Ref


@dataclass(frozen=True, slots=True)
class StartRollout:
    """Roll out a version; replaces an earlier roll-out of its model."""

    rollout: config_data.Rollout


@dataclass(frozen=True, slots=True)
class PromoteRollout:
    """End a model's roll-out in favour of the candidate, for all sessions."""

    model: str


@dataclass(frozen=True, slots=True)
class StopRollout:
    """End a model's roll-out and withdraw the candidate."""

    model: str


Edit = Withdraw | Restore | StartRollout | PromoteRollout | StopRollout


def apply(document: Document, edit: Edit) -> Document:
    """Return the document after an edit.

    Raises:
        LookupError: It names something that is not in the document.
    """
    match edit:
        case Withdraw(ref):
            edited = _without_rollouts(_set_withdrawn(document, ref, True), ref)
        case Restore(ref):
            edited = _set_withdrawn(document, ref, withdrawn=False)
        case StartRollout(rollout):
            others = _other_rollouts(document, rollout.model)
            edited = document._replace(rollouts=(*others, rollout))
        case PromoteRollout(model):
            edited = _promote(document, _rollout_of(document, model))
        case StopRollout(model):
            found = _rollout_of(document, model)
            ref = config_data.VersionRef(model, found.candidate)
            edited = _without_rollouts(_set_withdrawn(document, ref, True), ref)
    return edited


def _set_withdrawn(document: Document, ref: Ref, withdrawn: bool) -> Document:
    """Mark a version as withdrawn or not."""
    known = {
        version.ref for model in document.models for version in model.versions
    }
    if ref not in known:
        raise LookupError(f'no version {ref.version!r} of {ref.model!r}')
    models = [
        model._replace(
            versions=tuple(
                version._replace(withdrawn=withdrawn)
                if version.ref == ref
                else version
                for version in model.versions
            )
        )
        for model in document.models
    ]
    return document._replace(models=tuple(models))


def _without_rollouts(document: Document, ref: Ref) -> Document:
    """Remove the roll-out of which a version is part."""
    kept = tuple(
        rollout
        for rollout in document.rollouts
        if rollout.model != ref.model
        or ref.version not in {rollout.incumbent, rollout.candidate}
    )
    return document._replace(rollouts=kept)


def _other_rollouts(
    document: Document, model: str
) -> tuple[config_data.Rollout, ...]:
    return tuple(
        rollout for rollout in document.rollouts if rollout.model != model
    )


def _rollout_of(document: Document, model: str) -> config_data.Rollout:
    for rollout in document.rollouts:
        if rollout.model == model:
            return rollout
    raise LookupError(f'no roll-out of {model!r}')


def _promote(document: Document, rollout: config_data.Rollout) -> Document:
    """Move the candidate before the incumbent in every list with both.

    Without a roll-out the first version of a list serves new sessions; with
    the old order they would all go back to the incumbent.
    """
    new = config_data.VersionRef(rollout.model, rollout.candidate)
    old = config_data.VersionRef(rollout.model, rollout.incumbent)
    accounts = tuple(
        account._replace(allowed=_prefer(account.allowed, new, old))
        for account in document.accounts
    )
    return document._replace(
        models=tuple(_reorder(model, new, old) for model in document.models),
        accounts=accounts,
        rollouts=_other_rollouts(document, rollout.model),
    )


def _reorder(model: config_data.Model, new: Ref, old: Ref) -> config_data.Model:
    """Declare the new version before the old one."""
    by_ref = {version.ref: version for version in model.versions}
    order = _move_ahead(list(by_ref), new, old)
    return model._replace(versions=tuple(by_ref[ref] for ref in order))


def _prefer(allowed: tuple[Ref, ...], new: Ref, old: Ref) -> tuple[Ref, ...]:
    """Move the new version ahead of the old one in a list with both."""
    every = config_data.VersionRef(new.model, config_data.ANY_VERSION)
    if new in allowed or every not in allowed:
        return tuple(_move_ahead(list(allowed), new, old))
    return (
        tuple(_move_ahead([*allowed, new], new, old))
        if old in allowed
        else allowed
    )


def _move_ahead(refs: list[Ref], new: Ref, old: Ref) -> list[Ref]:
    """Move the new version directly before the old one if it is behind."""
    if new in refs and old in refs:
        position = refs.index(old)
        if position < refs.index(new):
            refs.remove(new)
            refs.insert(position, new)
    return refs
