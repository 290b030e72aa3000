"""Client accounts: what they may use at all."""

from collections.abc import Iterator

from beryllug.checks import places
from beryllug.core import config_data, finding

Findings = Iterator[finding.Finding]


def check_useful(document: config_data.Document) -> Findings:
    """Report an account that may use nothing: most often a lost list."""
    for place, account in enumerate(document.accounts):
        if not (account.allowed or account.services):
            reason = 'may use no version and no service'
            yield places.report(f'accounts[{place}]', reason)


def check_allowed(document: config_data.Document) -> Findings:
    """Report a version that stands twice in an account's list."""
    for outer, account in enumerate(document.accounts):
        yield from places.repeats(
            (
                (
                    f'accounts[{outer}].allowed[{inner}]',
                    f'{ref.model}/{ref.version}',
                )
                for inner, ref in enumerate(account.allowed)
            ),
            'allowed version',
        )


VALIDATIONS = (check_useful, check_allowed)
