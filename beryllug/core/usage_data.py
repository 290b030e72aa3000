"""Records of what client accounts used."""

from typing import NamedTuple


class AccountUse(NamedTuple):
    """What one account used: each request counts once."""

    account_id: str
    requests: int
    cost_micro: int


class VersionUse(NamedTuple):
    """What one account used of one version.

    A request of a cascade uses several versions, so `stages` may sum up to
    more than the account's requests.
    """

    account_id: str
    model: str
    version: str
    stages: int
    tokens_in: int
    tokens_out: int
    cost_micro: int


class Usage(NamedTuple):
    """Usage summed up over segments of one shard, or of all.

    Attributes:
        folded: Number of the last segment that is counted.
        accounts: By account.
        versions: By account and version.
    """

    folded: int = 0
    accounts: tuple[AccountUse, ...] = ()
    versions: tuple[VersionUse, ...] = ()
