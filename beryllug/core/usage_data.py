"""Records of the usage of client accounts."""

from typing import NamedTuple


class AccountUse(NamedTuple):
    """Usage of one account; each request counts once."""

    account_id: str
    requests: int
    cost_micro: int


class VersionUse(NamedTuple):
    """Usage of one model version by one account.

    A request to a cascade may use several versions, so the sum of `stages` may
    exceed the account's requests.
    """

    account_id: str
    model: str
    version: str
    stages: int
    tokens_in: int
    tokens_out: int
    cost_micro: int


class Usage(NamedTuple):
    """Usage totals over segments of one shard or of all shards.

    Attributes:
        folded: Number of the last segment that is included.
        accounts: Usage by account.
        versions: Usage by account and version.
    """

    folded: int = 0
    accounts: tuple[AccountUse, ...] = ()
    versions: tuple[VersionUse, ...] = ()
