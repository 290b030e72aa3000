"""Registry through which services look each other up by name.

The composition root registers services in the order in which they start; they
stop in the reverse order. A service asks the registry for another one by name
and type when it needs it, so no service constructs another.
"""

from typing import Any, Protocol, TypeVar

from absl import logging

Found = TypeVar('Found')


class Service(Protocol):
    """The interface that the kernel requires of a service."""

    async def start(self) -> None:
        """Open sockets and start tasks; return when ready."""

    async def stop(self, grace_s: float) -> None:
        """Finish work in flight within the grace period, then close."""

    def dump(self) -> dict[str, Any]:
        """Return the whole state as plain data, without secrets."""


class Registry:
    """The services of one process by name.

    Attributes:
        started: Whether all services have started and none was stopped.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self._services: dict[str, Service] = {}
        self.started = False

    def register(self, name: str, service: Service) -> None:
        """Add a service; services start in the order of these calls.

        Raises:
            ValueError: The name is taken.
        """
        if name in self._services:
            raise ValueError(f'service {name} is registered twice')
        self._services[name] = service

    def find(self, name: str, kind: type[Found]) -> Found:
        """Return a service by name.

        Raises:
            LookupError: There is none, or it is of another type.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise LookupError(f'no service {name} of type {kind.__name__}')
        return service

    def services(self) -> list[Service]:
        """Return all services in the order in which they start."""
        return list(self._services.values())

    async def start(self) -> None:
        """Start all services; if one fails, stop those already started."""
        started: list[Service] = []
        for name, service in self._services.items():
            try:
                await service.start()
            except BaseException:
                await _stop_all(started, 0)
                raise
            started.append(service)
            logging.info('event=service_started service=%s', name)
        self.started = True

    async def stop(self, grace_s: float) -> None:
        """Stop all services in reverse order."""
        self.started = False
        await _stop_all(list(self._services.values()), grace_s)

    def dump(self) -> dict[str, Any]:
        """Return the state of every service by its name."""
        return {name: svc.dump() for name, svc in self._services.items()}


async def _stop_all(services: list[Service], grace_s: float) -> None:
    for service in reversed(services):
        try:
            await service.stop(grace_s)
        except Exception:
            logging.exception('event=service_stop_failed')
