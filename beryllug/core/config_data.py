"""Records of an accepted configuration document.

All decisions work on these records. `parsing.document` builds them from JSON
and `checks.validations` validates them. They are immutable: a new revision is
a new `Document`.
"""

from enum import StrEnum
from typing import NamedTuple

ANY_VERSION = '*'


class VersionRef(NamedTuple):
    """Reference to a version of a model; `version` may be ``*`` for all."""

    model: str
    version: str


class PoolKind(StrEnum):
    """What kind of backend servers a pool holds."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class Pool(NamedTuple):
    """A group of similar backend servers.

    Attributes:
        name: The pool name that the host list has for its servers.
        kind: Model engines or plain services.
        concurrency: Requests that one server runs at once without queueing.
        checks_fencing: Whether its servers refuse an order with an outdated
            fencing token.
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
        withdrawn: Whether it is withdrawn and gets no new requests.
    """

    ref: VersionRef
    pool: str
    cost_micro: int
    withdrawn: bool = False


class Model(NamedTuple):
    """A model: the name that callers use, and its versions."""

    name: str
    versions: tuple[Version, ...]


class Cascade(NamedTuple):
    """Models from cheap to strong, tried in order under one name.

    Attributes:
        name: The name that callers use as a model.
        stages: Model names, cheapest first.
        quality_target: Minimum acceptable mean rating, from 0 to 1.
        min_rating: Minimum rating at which a stage's answer is returned.
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
        allowed: The versions on which its requests may run.
        cascades: Names of the cascades that it may use.
        services: Names of the plain services that it may call.
        weight: Its share of concurrency relative to other accounts.
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
        incumbent: Version that serves until the candidate is accepted.
        candidate: Version that is being rolled out.
        stages: Percentages of new sessions, increasing, the last 100.
        exposure_budget: Maximum answers that are returned but not yet
            evaluated.
        max_error_rate: Error rate from which the candidate counts as bad.
        min_rating: Mean rating below which the candidate counts as bad.
    """

    model: str
    incumbent: str
    candidate: str
    stages: tuple[int, ...]
    exposure_budget: int
    max_error_rate: float
    min_rating: float


class Operation(NamedTuple):
    """A kind of call of a plain service.

    Attributes:
        method: HTTP method in upper case.
        path: Path prefix, relative to the path of the service.
        repeatable: False for a call that is not idempotent.
    """

    method: str
    path: str
    repeatable: bool


class Service(NamedTuple):
    """A service that is not a model engine."""

    name: str
    pool: str
    operations: tuple[Operation, ...]


class Targets(NamedTuple):
    """Service targets of a request class, in milliseconds."""

    request_class: str
    first_token_ms: int
    total_ms: int


class Document(NamedTuple):
    """A complete configuration, as declared by operators."""

    accounts: tuple[Account, ...] = ()
    models: tuple[Model, ...] = ()
    cascades: tuple[Cascade, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Targets, ...] = ()
