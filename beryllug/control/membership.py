"""Service 'membership': tracks which control processes are live."""

import time
from typing import Any, Protocol

from beryllug.control import probing
from beryllug.core import member_data, membership
from beryllug.drivers import fleet_key, methods, rpc, rpc_peers

MS_PER_S = 1000
NO_PEERS = probing.MembershipSettings(
    '', (), 1.0, rpc_peers.Peers(fleet_key.KeyRing(()))
)


class Server(Protocol):
    """The part of the RPC server of this process that is used here."""

    def unary(self, method: rpc.Method[Any, Any], handler: rpc.Unary) -> None:
        """Register the handler of a unary method."""


class Membership:
    """The live control processes as this process knows them."""

    def __init__(
        self,
        name: str,
        address: str,
        join: probing.MembershipSettings | None = None,
    ) -> None:
        """Initialize the service; it knows only itself before `start`.

        Args:
            name: Name of this process, unique in the fleet.
            address: Address at which peers reach it.
            join: Settings of the exchange with peers; None for a single
                process without peers.
        """
        # The wall clock in milliseconds increases with each start. If the
        # clock was set back, the incarnation is raised when peers report
        # that of the previous start.
        incarnation = round(time.time() * MS_PER_S)
        zone = join.zone if join else ''
        own = member_data.Member(
            name, address, zone, incarnation, started=incarnation
        )
        self._has_no_peers = join is None
        self._prober = probing.Prober(own, join or NO_PEERS)

    def serve(self, server: Server) -> None:
        """Register the RPC methods at the server of this process."""
        server.unary(methods.HEARTBEAT, self._prober.answer)
        server.unary(methods.PROBE, self._prober.probe_for_peer)

    async def start(self) -> None:
        """Start to probe other members."""
        if not self._has_no_peers:
            self._prober.start()

    async def stop(self, grace_s: float) -> None:
        """Notify other members that this process leaves."""
        await self._prober.stop()

    def dump(self) -> dict[str, Any]:
        """Return the status of every member, and the notes."""
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
        """Return the start number of a member, 0 when it is not known."""
        found = membership.find(self._prober.table, member)
        return found.started if found else 0

    def publish(self, note: member_data.GossipNote) -> None:
        """Spread a note to all members."""
        membership.merge_note(self._prober.table, note)

    def note(self, key: str) -> member_data.GossipNote | None:
        """Return a note that a member published, by its key."""
        return self._prober.table.notes.get(key)

    def announce_revision(self, revision: int) -> None:
        """Set the configuration revision that heartbeats carry."""
        self._prober.revision = revision

    def add_listener(self, listener: probing.Listener) -> None:
        """Call a listener with sender and revision of each heartbeat."""
        self._prober.listeners.append(listener)
