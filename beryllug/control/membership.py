"""Service 'membership': which control processes are live.

For now a process knows itself only; heartbeats follow.
"""

from typing import Any

from beryllug.core import rendezvous


class Membership:
    """The live control processes, as far as this one knows."""

    def __init__(self, name: str, address: str) -> None:
        """Make the service; `address` is where peers reach this process."""
        self._name = name
        self._addresses = {name: address}

    async def start(self) -> None:
        """Do nothing yet."""

    async def stop(self, grace_s: float) -> None:
        """Do nothing yet."""

    def dump(self) -> dict[str, Any]:
        """Return the members."""
        return {'live': list(self._addresses)}

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members, this process among them."""
        return tuple(self._addresses)

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        return self._addresses.get(member)

    def rank(self, name: str, now: float) -> int:
        """Return this process's place among live members for a name."""
        return rendezvous.order(name, self.live(now)).index(self._name)
