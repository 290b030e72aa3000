"""Records of listed backend servers and of what one request asks of them."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from beryllug.core.placement import backlog


class State(StrEnum):
    """Whether a backend server takes new work."""

    READY = 'ready'
    LEAVING = 'leaving'


class Server(NamedTuple):
    """A listed backend server.

    What identifies an incarnation, here and in all messages and logs, is
    `instance`: the name together with the start. A server that crashes may
    start again under its name; it holds nothing of before then, so whatever
    is known, counted or suspected is kept under `instance`.

    Attributes:
        name: Its id in the platform's store, kept over a restart or not.
        service: Its service.
        address: ``ip:port``; may belong to another instance later.
        zone: Its availability zone.
        version: Version of its software.
        slots: Requests it runs at once.
        state: Whether it takes new work.
        born: Unix millisecond of its start; 0 where it does not say.
        cold_s: Seconds for which it was still cold when it said so.
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
        """Return what no other start of any server has."""
        return f'{self.name}@{self.born}' if self.born else self.name


NO_SERVERS: Mapping[str, Server] = MappingProxyType({})


class Wish(NamedTuple):
    """What one attempt asks of the choice of a server.

    Attributes:
        service: Its service.
        prompt: What a model has to read; None for plain calls.
        versions: Versions that it may run on; None for any.
        excluded: Instances that have failed it.
        body_bytes: Bytes of its body.
        tokens_out: Tokens that its answer is expected to have.
        regions: Regions that it may run in; None for any.
        without_limit: Whether servers that name a limit are left out.
    """

    service: str
    prompt: backlog.Prompt | None
    versions: frozenset[str] | None
    excluded: frozenset[str]
    body_bytes: int = 0
    tokens_out: int = 0
    regions: frozenset[str] | None = None
    without_limit: bool = False
