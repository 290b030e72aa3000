"""Names that must be unique."""

from collections.abc import Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]


def check_unique(document: config_data.Document) -> Findings:
    """Report what is declared twice; readers would take either one."""
    for section, field in (
        ('accounts', 'account_id'),
        ('pools', 'name'),
        ('services', 'name'),
        ('targets', 'request_class'),
    ):
        yield from places.repeats(
            (
                (f'{section}[{place}].{field}', getattr(record, field))
                for place, record in enumerate(getattr(document, section))
            ),
            field,
        )


def check_asked(document: config_data.Document) -> Findings:
    """Report names that would mean two things when a caller asks for one."""
    models = [
        (f'models[{place}].name', model.name)
        for place, model in enumerate(document.models)
    ]
    cascades = [
        (f'cascades[{place}].name', cascade.name)
        for place, cascade in enumerate(document.cascades)
    ]
    yield from places.repeats([*models, *cascades], 'model or cascade')


def check_versions(document: config_data.Document) -> Findings:
    """Report a version that a model declares twice."""
    yield from places.repeats(
        (
            (f'{path}.version', f'{version.ref.model}/{version.ref.version}')
            for path, version in places.versions(document)
        ),
        'version',
    )


def check_operations(document: config_data.Document) -> Findings:
    """Report a call of a service that is declared twice."""
    for outer, service in enumerate(document.services):
        yield from places.repeats(
            (
                (
                    f'services[{outer}].operations[{inner}]',
                    f'{operation.method} {operation.path}',
                )
                for inner, operation in enumerate(service.operations)
            ),
            'operation',
        )


def check_keys(document: config_data.Document) -> Findings:
    """Report a key that would speak for two accounts, or twice for one.

    A caller is known by the key alone. With one key in two accounts its
    requests would be billed to either and run on what either may use.
    """
    yield from places.repeats(
        (
            (f'accounts[{outer}].key_hashes[{inner}]', key_hash)
            for outer, account in enumerate(document.accounts)
            for inner, key_hash in enumerate(account.key_hashes)
        ),
        'key hash',
    )


VALIDATIONS = (
    check_unique,
    check_asked,
    check_versions,
    check_operations,
    check_keys,
)
