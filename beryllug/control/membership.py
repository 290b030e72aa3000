"""Service 'membership': which control processes are live."""

import time
from typing import Any, Protocol

from beryllug.control import probing
from beryllug.core import member_data, membership
from beryllug.drivers import fleet_key, methods, rpc, rpc_peers

MILLISECONDS = 1000
ALONE = probing.Join('', (), 1.0, rpc_peers.Peers(fleet_key.KeyRing(())))


class Server(Protocol):
    """What this service needs of the process's server."""

    def unary(self, method: rpc.Method[Any, Any], handler: rpc.Unary) -> None:
        """Serve a method that takes one message and gives one."""


class Membership:
    """The live control processes, as far as this one knows."""

    def __init__(
        self, name: str, address: str, join: probing.Join | None = None
    ) -> None:
        """Make the service; it knows only itself before `start`.

        Args:
            name: Name of this process in the fleet.
            address: Where peers reach it.
            join: How it takes part; None for a process that is alone.
        """
        # The wall clock in milliseconds is higher at each start; where it
        # was set back, peers' reports of the last start raise it.
        incarnation = round(time.time() * MILLISECONDS)
        zone = join.zone if join else ''
        own = member_data.Member(
            name, address, zone, incarnation, started=incarnation
        )
        self._alone = join is None
        self._prober = probing.Prober(own, join or ALONE)

    def serve(self, server: Server) -> None:
        """Add the methods to the server of this process."""
        server.unary(methods.HEARTBEAT, self._prober.answer)
        server.unary(methods.PROBE, self._prober.probe_for)

    async def start(self) -> None:
        """Begin to probe."""
        if not self._alone:
            self._prober.start()

    async def stop(self, grace_s: float) -> None:
        """Tell others that this process leaves."""
        await self._prober.stop()

    def dump(self) -> dict[str, Any]:
        """Return what is believed of every member, and the notes."""
        table = self._prober.table
        return {
            'own': table.own,
            'rounds': self._prober.rounds,
            'members': [known.member for known in table.known.values()],
            'notes': list(table.notes.values()),
        }

    def live(self, now: float) -> tuple[str, ...]:
        """Return the names of live members, this process among them."""
        return membership.live(self._prober.table)

    def live_s(self, member: str, now: float) -> float:
        """Return for how many seconds another member has been live."""
        known = self._prober.table.known.get(member)
        if known is None or member not in self._prober.table.ring:
            return 0
        return now - known.since

    def address_of(self, member: str) -> str | None:
        """Return a member's address."""
        found = membership.find(self._prober.table, member)
        return found and found.address

    def zone_of(self, member: str) -> str | None:
        """Return a member's availability zone."""
        found = membership.find(self._prober.table, member)
        return found and found.zone

    def started(self, member: str) -> int:
        """Return the number of a member's start, 0 when not known."""
        found = membership.find(self._prober.table, member)
        return found.started if found else 0

    def publish(self, note: member_data.Note) -> None:
        """Pass a fact on to all members."""
        membership.merge_note(self._prober.table, note)

    def note(self, key: str) -> member_data.Note | None:
        """Return a fact that a member passed on."""
        return self._prober.table.notes.get(key)

    def announce(self, revision: int) -> None:
        """Tell peers from now on which configuration this process holds."""
        self._prober.revision = revision

    def listen(self, listener: probing.Listener) -> None:
        """Call a function with each member heard and its revision."""
        self._prober.listeners.append(listener)
