"""Validates that names are unique."""

from collections.abc import Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]


def check_unique(document: config_data.Document) -> Findings:
    """Report duplicate declarations, of which a lookup could return either."""
    for section, field in (
        ('accounts', 'account_id'),
        ('pools', 'name'),
        ('services', 'name'),
        ('targets', 'request_class'),
    ):
        yield from finding_helpers.report_duplicates(
            (
                (f'{section}[{index}].{field}', getattr(record, field))
                for index, record in enumerate(getattr(document, section))
            ),
            field,
        )


def check_requestable_names(document: config_data.Document) -> Findings:
    """Report names that are ambiguous in a request: models and cascades."""
    models = [
        (f'models[{index}].name', model.name)
        for index, model in enumerate(document.models)
    ]
    cascades = [
        (f'cascades[{index}].name', cascade.name)
        for index, cascade in enumerate(document.cascades)
    ]
    yield from finding_helpers.report_duplicates(
        [*models, *cascades], 'model or cascade'
    )


def check_versions(document: config_data.Document) -> Findings:
    """Report a version that a model declares twice."""
    yield from finding_helpers.report_duplicates(
        (
            (f'{path}.version', f'{version.ref.model}/{version.ref.version}')
            for path, version in finding_helpers.versions(document)
        ),
        'version',
    )


def check_operations(document: config_data.Document) -> Findings:
    """Report an operation that a service declares twice."""
    for outer_index, service in enumerate(document.services):
        yield from finding_helpers.report_duplicates(
            (
                (
                    f'services[{outer_index}].operations[{inner_index}]',
                    f'{operation.method} {operation.path}',
                )
                for inner_index, operation in enumerate(service.operations)
            ),
            'operation',
        )


def check_keys(document: config_data.Document) -> Findings:
    """Report a key that is listed in two accounts, or twice in one.

    A caller is identified by its key alone. With the same key in two accounts,
    its requests could be billed to either and use the permissions of either.
    """
    yield from finding_helpers.report_duplicates(
        (
            (f'accounts[{outer_index}].key_hashes[{inner_index}]', key_hash)
            for outer_index, account in enumerate(document.accounts)
            for inner_index, key_hash in enumerate(account.key_hashes)
        ),
        'key hash',
    )


VALIDATIONS = (
    check_unique,
    check_requestable_names,
    check_versions,
    check_operations,
    check_keys,
)
