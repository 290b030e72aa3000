"""Service targets: complete for what accounts may ask, and sound."""

from collections.abc import Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
MODEL_CLASSES = ('draft', 'report')
REPEATABLE_CLASS = 'lookup'
UNREPEATABLE_CLASS = 'hold'


def check_complete(document: config_data.Document) -> Findings:
    """Report a class of request that the document leaves without targets."""
    declared = {targets.request_class for targets in document.targets}
    for name in sorted(_needed(document) - declared):
        reason = f'class {name!r} has no targets'
        yield places.report('targets', reason)


def check_order(document: config_data.Document) -> Findings:
    """Report a first token that may come after the whole answer."""
    for place, targets in enumerate(document.targets):
        if targets.first_token_ms > targets.total_ms:
            path = f'targets[{place}].first_token_ms'
            yield places.report(path, 'must not be over total_ms')


def _needed(document: config_data.Document) -> set[str]:
    needed = set(MODEL_CLASSES) if document.models else set()
    for service in document.services:
        needed |= {
            REPEATABLE_CLASS if operation.repeatable else UNREPEATABLE_CLASS
            for operation in service.operations
        }
    return needed


VALIDATIONS = (check_complete, check_order)
