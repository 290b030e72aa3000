"""Validates the permissions of client accounts."""

from collections.abc import Iterator

from beryllug.checks import finding_helpers
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]


def check_any_permission(document: config_data.Document) -> Findings:
    """Report an account without any permission, usually an omitted list."""
    for index, account in enumerate(document.accounts):
        if not (account.allowed or account.services):
            reason = 'may use no version and no service'
            yield finding_helpers.make_finding(f'accounts[{index}]', reason)


def check_allowed(document: config_data.Document) -> Findings:
    """Report a version that is listed twice in an account's `allowed`."""
    for account_index, account in enumerate(document.accounts):
        yield from finding_helpers.report_duplicates(
            (
                (
                    f'accounts[{account_index}].allowed[{ref_index}]',
                    f'{ref.model}/{ref.version}',
                )
                for ref_index, ref in enumerate(account.allowed)
            ),
            'allowed version',
        )


VALIDATIONS = (check_any_permission, check_allowed)
