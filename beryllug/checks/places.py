"""Paths and sets that several validations share."""

from collections import Counter
from collections.abc import Iterable, Iterator

from beryllug.core import config_data, finding


def report(path: str, reason: str) -> finding.Finding:
    """Make a finding of the document under judgement."""
    return finding.Finding('document', path, reason)


def repeats(
    names: Iterable[tuple[str, str]], what: str
) -> Iterator[finding.Finding]:
    """Report names that stand more than once.

    Args:
        names: Path and name of each use.
        what: What the names name.
    """
    used = tuple(names)
    counts = Counter(name for _, name in used)
    for path, name in used:
        if counts[name] > 1:
            yield report(path, f'{what} {name!r} is declared more than once')


def unknown(
    names: Iterable[tuple[str, str]], known: Iterable[str], what: str
) -> Iterator[finding.Finding]:
    """Report names that are not declared.

    Args:
        names: Path and name of each use.
        known: The declared names.
        what: What the names name.
    """
    declared = set(known)
    for path, name in names:
        if name not in declared:
            yield report(path, f'{what} {name!r} is not declared')


def versions(
    document: config_data.Document,
) -> Iterator[tuple[str, config_data.Version]]:
    """Yield each version with its path."""
    for outer, model in enumerate(document.models):
        for inner, version in enumerate(model.versions):
            yield f'models[{outer}].versions[{inner}]', version


def covered(
    document: config_data.Document, account: config_data.Account, model: str
) -> tuple[config_data.Version, ...]:
    """Return the versions of a model that an account's list covers."""
    patterns = {ref.version for ref in account.allowed if ref.model == model}
    every = config_data.ANY_VERSION in patterns
    return tuple(
        version
        for declared in document.models
        if declared.name == model
        for version in declared.versions
        if every or version.ref.version in patterns
    )
