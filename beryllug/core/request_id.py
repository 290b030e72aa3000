"""Request ids, from which the journal's shard can be told.

An id is ``<family>-<try>``. The family of a request with an idempotency key
is a digest of account and key, so every resend is of one family and meets
its first try at one shard's owner; without a key it is random. The try is
random, so that the owner can tell a caller's resend from an entry's second
message about the same try.
"""

import hashlib

FAMILY_LENGTH = 24
TRY_LENGTH = 12
SEPARATOR = '-'
HEX_DIGITS = frozenset('0123456789abcdef')


def make(account_id: str, idempotency_key: str, random_hex: str) -> str:
    """Make the id of a new try.

    Args:
        account_id: The client account.
        idempotency_key: The caller's key, or empty.
        random_hex: At least 36 random hex digits.
    """
    family = random_hex[TRY_LENGTH : TRY_LENGTH + FAMILY_LENGTH]
    if idempotency_key:
        family = _digest(f'{account_id}\0{idempotency_key}')
    return f'{family}{SEPARATOR}{random_hex[:TRY_LENGTH]}'


def family_of(request_id: str) -> str:
    """Return the family of an id: the key of its shard."""
    return request_id.partition(SEPARATOR)[0]


def is_valid(request_id: str) -> bool:
    """Tell whether a text from outside has the form of an id."""
    family, _, attempt = request_id.partition(SEPARATOR)
    sized = len(family) == FAMILY_LENGTH and len(attempt) == TRY_LENGTH
    return sized and HEX_DIGITS.issuperset(family + attempt)


def session_family(account_id: str, session_id: str, asked: str) -> str:
    """Return the key of a session's shard, for one model or cascade."""
    return _digest(f'session\0{account_id}\0{session_id}\0{asked}')


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:FAMILY_LENGTH]
