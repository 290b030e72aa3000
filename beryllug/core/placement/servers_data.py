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

    Attributes:
        instance: Id of this start of it; a later start has another.
        service: Its service.
        address: ``ip:port``; may belong to another instance later.
        zone: Its availability zone.
        version: Version of its software.
        slots: Requests it runs at once.
        state: Whether it takes new work.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: State


NO_SERVERS: Mapping[str, Server] = MappingProxyType({})


class Wish(NamedTuple):
    """What one attempt asks of the choice of a server.

    Attributes:
        service: Its service.
        prompt: What a model has to read; None for plain calls.
        versions: Versions that it may run on; None for any.
        excluded: Instances that have failed it.
    """

    service: str
    prompt: backlog.Prompt | None
    versions: frozenset[str] | None
    excluded: frozenset[str]
