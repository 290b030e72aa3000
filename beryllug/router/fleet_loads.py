"""Reports the load of this process and collects that of all others.

Each process reports its load on backend servers to the aggregators of its
availability zone. The primary aggregator also sends out the sums; see
`core.peering.aggregation`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from beryllug.core.peering import aggregation, members, peering_data
from beryllug.core.placement import load_sums, own_loads
from beryllug.router import pool

# Seconds between two rounds: a second of backlog at a runner must be known
# before the next prompt is sent there as well.
PERIOD_S = 0.25
# Rounds after which unchanged data is sent again, since a message may be lost
# and what it tells expires soon.
REPEAT_ROUNDS = 2
# Rounds between two zone sums to the other zones, unless load has risen much:
# traffic between zones is billed. A raised sum is sent at once, because long
# prompts do go to other zones, to where their shared prefix is cached.
ZONE_SUM_ROUNDS = 4
# Servers per message, and processes whose report numbers it lists: at most 20
# and 6 bytes each, so that a message fits a datagram.
MAX_SERVERS_PER_MESSAGE = 44
MAX_REPORTS_PER_MESSAGE = 40
# Messages per second above which a primary sends nothing between its rounds. In
# a small fleet it sends a new load at once; with 40 processes and five zones,
# the rounds alone are as much as it should send.
MAX_MESSAGES_PER_S = 200

LoadMessage = peering_data.Report | peering_data.ZoneSum | peering_data.Total


class OutgoingMessage(NamedTuple):
    """A message and the addresses that it is sent to."""

    payload: LoadMessage
    addresses: list[str]


class FleetLoads:
    """Decides which loads are sent to whom, and handles received ones.

    The service that sends the notes owns it and calls it each round.
    """

    def __init__(
        self, zone: str, known: members.Members, servers: pool.Pool
    ) -> None:
        """Bind to the known processes and to the loads of this one."""
        self.state = aggregation.Aggregation(
            known.name, zone, servers.peer_loads
        )
        self._members = known
        self._pool = servers
        self._round = 0
        # The first report after a start is sent even if it is empty: the zone
        # may still count the load from before a restart.
        self._last_reported: load_sums.Loads | None = None
        self._zone_had_load = False
        self._published_at = float('-inf')
        self._published_messages = 0
        self._published_total: load_sums.Loads = {}

    def due(self, now: float) -> list[OutgoingMessage]:
        """Return the messages of this round.

        The end of a load is reported once; no reports follow without load.
        """
        self._round += 1
        due = list(self._due_report(now))
        if aggregation.is_primary(self.state, self._members, now):
            due.extend(self._due_as_primary(now))
        return due

    def due_immediately(self, now: float) -> list[OutgoingMessage]:
        """Return a primary's messages between rounds, if load has risen.

        If each level waited for its next round, other zones would learn of a
        load half a second late and send their prompts to the busy server
        meanwhile.
        """
        min_interval_s = self._published_messages / MAX_MESSAGES_PER_S
        if now - self._published_at < min_interval_s:
            return []
        if not aggregation.is_primary(self.state, self._members, now):
            return []
        own_zone, _ = aggregation.zone_sum(self.state, now)
        total = aggregation.total(self.state, own_zone, now)
        if not aggregation.has_risen(total, self._published_total):
            return []
        return self._due_as_primary(now)

    def handle_message(
        self, name: str, payload: LoadMessage, now: float
    ) -> None:
        """Handle a load message from a process."""
        match payload:
            case peering_data.Report():
                aggregation.take_report(self.state, name, payload, now)
            case peering_data.ZoneSum():
                aggregation.take_sum(self.state, payload, now)
            case peering_data.Total():
                if not aggregation.record_total(self.state, name, payload, now):
                    aggregation.take_total(self.state, payload, now)

    def lacks_totals(self, now: float) -> bool:
        """Tell whether this process gets no totals.

        The primary may not know this process then, so its reports carry its
        address. It takes some seconds until a process that has just started is
        known from peer to peer; until then it would know neither any loads nor
        which processes follow the store.
        """
        return now - self.state.others.at > load_sums.REPORT_VALID_S

    def _due_report(self, now: float) -> Iterable[OutgoingMessage]:
        own = own_loads.server_loads(self._pool.known, now)
        is_repeat_round = self._round % REPEAT_ROUNDS == 0
        subjects = own_loads.subject_loads(self._pool.peer_counts(now))
        has_content = bool(own or subjects) or self.lacks_totals(now)
        is_due = own != self._last_reported or (has_content and is_repeat_round)
        if not is_due:
            return
        self._last_reported = own
        zone = self.state.zone
        receivers = aggregation.aggregators(self._members, zone, zone)
        addresses = members.note_addresses(self._members, receivers)
        all_loads = own | subjects
        for payload in aggregation.report(
            self.state, all_loads, MAX_SERVERS_PER_MESSAGE
        ):
            if self._members.name in receivers:
                self.handle_message(self._members.name, payload, now)
            yield OutgoingMessage(payload, addresses)

    def _due_as_primary(self, now: float) -> list[OutgoingMessage]:
        """Return what this process sends as the primary of its zone."""
        own_zone, reports = aggregation.zone_sum(self.state, now)
        due = [
            *self._due_sums(own_zone, reports),
            *self._due_totals(own_zone, reports, now),
        ]
        self._published_at = now
        self._published_messages = sum(len(each.addresses) for each in due)
        return due

    def _due_sums(
        self, own_zone: load_sums.Loads, reports: int
    ) -> Iterable[OutgoingMessage]:
        """Return the sum of this zone, for the aggregators of other zones."""
        has_content = bool(own_zone) or self._zone_had_load
        is_repeat_round = self._round % ZONE_SUM_ROUNDS == 0
        has_risen = aggregation.has_risen(own_zone, self.state.last_sent_sum)
        if not has_content or not (is_repeat_round or has_risen):
            return
        self._zone_had_load = bool(own_zone)
        self.state.last_sent_sum = own_zone
        receivers = aggregation.aggregators_of_other_zones(
            self._members, self.state.zone
        )
        addresses = members.note_addresses(self._members, receivers)
        for part in load_sums.sliced(own_zone, MAX_SERVERS_PER_MESSAGE):
            payload = peering_data.ZoneSum(self.state.zone, reports, part)
            yield OutgoingMessage(payload, addresses)

    def _due_totals(
        self, own_zone: load_sums.Loads, reports: int, now: float
    ) -> Iterable[OutgoingMessage]:
        """Return the total of all zones, for the processes of this zone.

        It is sent even if it is empty: it also carries which processes follow
        the store, and it shows the standby that the primary is alive.
        """
        total = aggregation.total(self.state, own_zone, now)
        is_repeat_round = self._round % REPEAT_ROUNDS == 0
        is_due = total != self._published_total or is_repeat_round
        if not is_due:
            return
        self._published_total = total
        report_numbers = aggregation.included_report_numbers(self.state)
        parts = load_sums.sliced(total, MAX_SERVERS_PER_MESSAGE)
        for part in parts:
            self.handle_message(
                self._members.name,
                peering_data.Total(report_numbers, part, reports),
                now,
            )
        for names in self._message_groups():
            group_reports = _select_reports(report_numbers, names)
            addresses = members.note_addresses(self._members, names)
            for part in parts:
                payload = peering_data.Total(group_reports, part, reports)
                yield OutgoingMessage(payload, addresses)

    def _message_groups(self) -> list[list[str]]:
        """Return the other processes of the zone, in groups of one message."""
        near, _ = members.by_zone(self._members, self.state.zone)
        starts = range(0, len(near), MAX_REPORTS_PER_MESSAGE)
        return [
            near[start : start + MAX_REPORTS_PER_MESSAGE] for start in starts
        ]


def _select_reports(
    report_numbers: dict[int, int], names: Iterable[str]
) -> dict[int, int]:
    """Return the report numbers of the named processes."""
    keys = [load_sums.server_key(name) for name in names]
    return {key: report_numbers[key] for key in keys if key in report_numbers}
