"""Records of listed backend servers, and of an attempt's requirements."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from beryllug.core.placement import backlog


class State(StrEnum):
    """Whether a backend server takes new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


class Server(NamedTuple):
    """A listed backend server.

    `instance`, the name together with the start time, identifies an incarnation
    here and in all messages and logs. A server that crashes may restart under
    its name without any of its previous state, so everything that is known,
    counted or suspected of it is kept under `instance`.

    Attributes:
        name: Its id in the platform's store, which a restart may keep.
        service: Its service.
        address: ``ip:port``; may belong to another instance later.
        zone: Its availability zone.
        version: Version of its software.
        slots: Requests it runs at once.
        state: Whether it takes new requests.
        born: Unix millisecond of its start; 0 if it states none.
        cold_s: Seconds for which it was still cold when it reported this.
    """

    name: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: State
    born: int = 0
    cold_s: float = 0

    @property
    def instance(self) -> str:
        """Return an id that is unique to this start of the server."""
        return f'{self.name}@{self.born}' if self.born else self.name


NO_SERVERS: Mapping[str, Server] = MappingProxyType({})


class Requirements(NamedTuple):
    """Requirements of one attempt for the choice of a server.

    Attributes:
        service: Its service.
        prompt: The prompt for a model; None for plain calls.
        versions: Versions that it may run on; None for any.
        excluded: Instances at which the request has failed.
        body_bytes: Bytes of its body.
        tokens_out: Expected tokens of its answer.
        regions: Regions that it may run in; None for any.
        without_limit: Whether servers with a rate limit are left out.
        is_bound: Whether it must not run on other versions, not even if no
            server runs one of these.
        target_left_s: Seconds left until its answer is due to begin; None if it
            has no target.
    """

    service: str
    prompt: backlog.Prompt | None
    versions: frozenset[str] | None
    excluded: frozenset[str]
    body_bytes: int = 0
    tokens_out: int = 0
    regions: frozenset[str] | None = None
    without_limit: bool = False
    is_bound: bool = False
    target_left_s: float | None = None
