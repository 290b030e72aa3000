"""Validates that latency targets are complete and consistent."""

from collections.abc import Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]
MODEL_CLASSES = ('draft', 'report')
REPEATABLE_CLASS = 'lookup'
NON_REPEATABLE_CLASS = 'hold'


def check_complete(document: config_data.Document) -> Findings:
    """Report a request class that has no targets in the document."""
    declared = {targets.request_class for targets in document.targets}
    for name in sorted(_required_classes(document) - declared):
        reason = f'class {name!r} has no targets'
        yield finding_helpers.make_finding('targets', reason)


def check_order(document: config_data.Document) -> Findings:
    """Report a target for the first token later than that for the response."""
    for index, targets in enumerate(document.targets):
        if targets.first_token_ms > targets.total_ms:
            path = f'targets[{index}].first_token_ms'
            yield finding_helpers.make_finding(
                path, 'must not be over total_ms'
            )


def _required_classes(document: config_data.Document) -> set[str]:
    required = set(MODEL_CLASSES) if document.models else set()
    for service in document.services:
        required |= {
            REPEATABLE_CLASS if operation.repeatable else NON_REPEATABLE_CLASS
            for operation in service.operations
        }
    return required


VALIDATIONS = (check_complete, check_order)
