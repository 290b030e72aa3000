"""Helpers shared by several validations."""

from collections import Counter
from collections.abc import Iterable, Iterator

from beryllug.core import config_data, finding


def make_finding(path: str, reason: str) -> finding.Finding:
    """Return a finding in the document being validated."""
    return finding.Finding('document', path, reason)


def report_duplicates(
    names: Iterable[tuple[str, str]], kind: str
) -> Iterator[finding.Finding]:
    """Report names that are declared more than once.

    Args:
        names: Path and name of each declaration.
        kind: Kind of the named objects, for the reason.
    """
    declarations = tuple(names)
    counts = Counter(name for _, name in declarations)
    for path, name in declarations:
        if counts[name] > 1:
            yield make_finding(
                path, f'{kind} {name!r} is declared more than once'
            )


def report_undeclared(
    names: Iterable[tuple[str, str]], known: Iterable[str], kind: str
) -> Iterator[finding.Finding]:
    """Report names that are not declared.

    Args:
        names: Path and name of each reference.
        known: The declared names.
        kind: Kind of the named objects, for the reason.
    """
    declared = set(known)
    for path, name in names:
        if name not in declared:
            yield make_finding(path, f'{kind} {name!r} is not declared')


def versions(
    document: config_data.Document,
) -> Iterator[tuple[str, config_data.Version]]:
    """Yield each version with its path."""
    for model_index, model in enumerate(document.models):
        for version_index, version in enumerate(model.versions):
            yield f'models[{model_index}].versions[{version_index}]', version


def find_allowed_versions(
    document: config_data.Document, account: config_data.Account, model: str
) -> tuple[config_data.Version, ...]:
    """Return the versions of a model that an account is allowed to use."""
    patterns = {ref.version for ref in account.allowed if ref.model == model}
    allows_all = config_data.ANY_VERSION in patterns
    return tuple(
        version
        for declared in document.models
        if declared.name == model
        for version in declared.versions
        if allows_all or version.ref.version in patterns
    )
