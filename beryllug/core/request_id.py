"""Request ids, which determine the shard of the journal.

An id is ``<family>-<attempt>``. The family of a request with an idempotency
key is a digest of account and key, so all resends have the same family and
reach the owner of the same shard as the first attempt; without a key it is
random. The attempt is random, so that the owner can distinguish a resend by
the caller from a second message of an entry about the same attempt.
"""

import hashlib

FAMILY_LENGTH = 24
ATTEMPT_LENGTH = 12
SEPARATOR = '-'
HEX_DIGITS = frozenset('0123456789abcdef')


def make(account_id: str, idempotency_key: str, random_hex: str) -> str:
    """Return the id of a new attempt.

    Args:
        account_id: The client account.
        idempotency_key: The caller's key, or empty.
        random_hex: At least 36 random hex digits.
    """
    family = random_hex[ATTEMPT_LENGTH : ATTEMPT_LENGTH + FAMILY_LENGTH]
    if idempotency_key:
        family = _digest(f'{account_id}\0{idempotency_key}')
    return f'{family}{SEPARATOR}{random_hex[:ATTEMPT_LENGTH]}'


def family_of(request_id: str) -> str:
    """Return the family of an id, which is the key of its shard."""
    return request_id.partition(SEPARATOR)[0]


def is_valid(request_id: str) -> bool:
    """Return whether an external string has the form of a request id."""
    family, _, attempt = request_id.partition(SEPARATOR)
    has_lengths = (
        len(family) == FAMILY_LENGTH and len(attempt) == ATTEMPT_LENGTH
    )
    return has_lengths and HEX_DIGITS.issuperset(family + attempt)


def session_family(account_id: str, session_id: str, asked: str) -> str:
    """Return the shard key of a session with one model or cascade."""
    return _digest(f'session\0{account_id}\0{session_id}\0{asked}')


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:FAMILY_LENGTH]
