"""The records of an accepted configuration document.

These are the shapes every decision works on. `parsing.document` builds them
from JSON, `checks.validations` judges them, and nothing changes them later:
a new revision is a new `Document`.
"""

from enum import StrEnum
from typing import NamedTuple

ANY_VERSION = '*'


class VersionRef(NamedTuple):
    """Name of one version of one model; `version` may be ``*``."""

    model: str
    version: str


class PoolKind(StrEnum):
    """What kind of backend servers a pool holds."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Pool(NamedTuple):
    """A group of backend servers that are alike.

    Attributes:
        name: The name that the host list gives for its servers.
        kind: Model engines or plain services.
        concurrency: Requests that one server runs at once without queueing.
        checks_fencing: Whether its servers refuse an order that carries an
            old fencing token.
    """

    name: str
    kind: PoolKind
    concurrency: int
    checks_fencing: bool = False


class Version(NamedTuple):
    """One version of a model.

    Attributes:
        ref: The model and the version name.
        pool: The pool whose servers run it.
        cost_micro: Price of a thousand tokens, in millionths of the currency.
        withdrawn: A withdrawn version receives no new work.
    """

    ref: VersionRef
    pool: str
    cost_micro: int
    withdrawn: bool = False


class Model(NamedTuple):
    """A model: a name that callers ask for, and its versions."""

    name: str
    versions: tuple[Version, ...]


class Cascade(NamedTuple):
    """Cheaper to stronger models tried in order under one name.

    Attributes:
        name: The name that callers ask for as a model.
        stages: Model names, cheapest first.
        quality_target: Least acceptable mean rating, from 0 to 1.
        min_rating: A stage's answer is given out when rated at least so.
    """

    name: str
    stages: tuple[str, ...]
    quality_target: float
    min_rating: float


class Account(NamedTuple):
    """A client account.

    Attributes:
        account_id: Stable name of the account.
        key_hashes: Hex SHA-256 of each bearer key that is valid for it.
        allowed: The versions its requests may run on.
        cascades: Names of the cascades it may ask for.
        services: Names of the plain services it may call.
        weight: Its share of concurrency relative to the other accounts.
    """

    account_id: str
    key_hashes: tuple[str, ...]
    allowed: tuple[VersionRef, ...]
    cascades: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    weight: int = 1


class Rollout(NamedTuple):
    """A roll-out of a candidate version beside the incumbent.

    Attributes:
        model: The model that is rolled out.
        incumbent: Version that serves while the candidate is not proved.
        candidate: Version that is being rolled out.
        stages: Shares of new sessions in percent, rising, the last 100.
        exposure_budget: Answers that may be given out and not yet judged.
        max_error_rate: Error rate from which the candidate counts as bad.
        min_rating: Mean rating under which the candidate counts as bad.
    """

    model: str
    incumbent: str
    candidate: str
    stages: tuple[int, ...]
    exposure_budget: int
    max_error_rate: float
    min_rating: float


class Operation(NamedTuple):
    """One kind of call of a plain service.

    Attributes:
        method: HTTP method in upper case.
        path: Prefix of the path under the service's own path.
        repeatable: False for a call that is not idempotent.
    """

    method: str
    path: str
    repeatable: bool


class Service(NamedTuple):
    """A plain service beside the model engines."""

    name: str
    pool: str
    operations: tuple[Operation, ...]


class Targets(NamedTuple):
    """Service targets of one class of request, in milliseconds."""

    request_class: str
    first_token_ms: int
    total_ms: int


class Document(NamedTuple):
    """A whole configuration, as operators declare it."""

    accounts: tuple[Account, ...] = ()
    models: tuple[Model, ...] = ()
    cascades: tuple[Cascade, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Targets, ...] = ()
