"""Tests of a server's rate limit across a whole fleet, in virtual time.

Processes with separate views of the fleet overload one server that states a
limit. Messages take some milliseconds; in some scenarios they are lost, late or
duplicated, and processes are killed, restarted, frozen or partitioned.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple
from unittest import main

from beryllug.control import virtual_time_test
from beryllug.core import settings_data
from beryllug.core.peering import members, peering_data
from beryllug.core.placement import fleet_size, servers_data
from beryllug.core.placement import server_headers as statements_data
from beryllug.core.placement import server_limits as limits_data
from beryllug.drivers import answer_timeouts
from beryllug.kernel import log_lines
from beryllug.platform import requests
from beryllug.router import (
    claims,
    dispatch,
    eligible,
    server_limits,
    server_list,
    statements,
    zone_list,
)

SERVER = servers_data.Server(
    'i', 'pool', '10.0.0.1:80', 'a', 'v1', 8, servers_data.State.READY
)
# The required bound: requests within WINDOW_S relative to the limit.
WINDOW_S = 4.0
MAX_RATIO = 1.5
SLACK = 5
# Seconds after the first answer with a limit from which the bound is checked.
SETTLE_S = 1.0
# Seconds from a request to the head of its answer.
ANSWER_DELAY_S = 0.03
MESSAGE_DELAY_S = 0.002
ROUND_S = 0.25
STALL_S = 1.0
# Minimum part of the limit that the fleet uses under sufficient load.
MIN_UTILIZATION = 0.7


# Numbers of processes, each with the server's limit in requests a second.
FLEETS = ((8, 1.0), (8, 20.0), (84, 1.6), (300, 20.0))


class _Arrival(NamedTuple):
    """A request that reached the server: time, sender and stated limit."""

    at: float
    name: str
    per_s: float | None


class _Process:
    """One process of the fleet, with its own view of it."""

    def __init__(self, name: str, fleet: '_Fleet') -> None:
        self.name = name
        self.members = members.Members(name)
        self.timeouts = answer_timeouts.AnswerTimeouts()
        lines = _NullWriter()
        self.limits = server_limits.ServerLimits(name, lines)
        listed = server_list.ServerList(1, lines)
        servers = eligible.EligibleServers(
            listed,
            zone_list.ZoneList(lines),
            eligible.ProcessLocation(name, 'a', {}),
            self.limits,
        )
        self.statements = statements.Statements(name, listed, servers, lines)
        self.size = fleet_size.FleetSize()
        cfg: Any = settings_data.Router(
            listen='',
            ready='',
            store='',
            seeds=(),
            peer_listen=name,
            notes_listen=name,
        )
        peers: Any = self
        self.claims = claims.Claims(
            cfg,
            'a',
            peers,
            self.limits,
            self.size,
            lambda addresses, note: fleet.send(name, addresses, note),
        )
        self.limits.claim = self.claims.claim
        self.limits.on_changed = lambda: fleet.broadcast(self)

    def contact(self, name: str) -> None:
        """Ignore that a process does not answer."""


class _NullWriter(log_lines.LineWriter):
    """A log writer that discards all lines."""

    def __init__(self) -> None:
        """Open no output."""

    def write(self, event: str, **fields: Any) -> None:
        """Discard a line."""


class _Fleet:
    """Processes that send to one server, and the messages between them.

    Attributes:
        loss_rate: Share of messages that are lost.
        max_extra_delay_s: Maximum additional delay of a message.
        duplicated: Whether each message is delivered twice.
        unreachable: Processes that no message reaches.
        partition: The side of a network partition that each process is on.
    """

    def __init__(self, size: int, per_s: float | None) -> None:
        self.per_s = per_s
        self.loss_rate = 0.0
        self.max_extra_delay_s = 0.0
        self.duplicated = False
        self.unreachable: set[str] = set()
        self.partition: dict[str, int] = {}
        self.received: list[_Arrival] = []
        self.refused = 0
        self.names = [f'p{number}' for number in range(size)]
        self._rng = random.Random(size)
        self.processes: dict[str, _Process] = {}
        for name in self.names:
            self.start(name)
        for process in self.processes.values():
            self.introduce(process, self.names, -60)
            self.count(process, time.monotonic() - 60)

    def start(self, name: str) -> None:
        """Start or restart a process, which knows no other process."""
        self.processes[name] = _Process(name, self)

    def introduce(
        self, process: _Process, names: Iterable[str], since_s: float = 0
    ) -> None:
        """Make other processes known to a process, where it can reach them."""
        at = time.monotonic() + since_s
        for other in names:
            is_near = self.partition.get(other) == self.partition.get(
                process.name
            )
            if is_near and other in self.processes:
                seen = members.KnownPeer(other, other, at, 'a')
                members.record_peer(process.members, other, seen)

    def forget(self, gone: Iterable[str], name: str) -> None:
        """Notify a process that others are gone."""
        for each in gone:
            members.mark_gone(
                self.processes[name].members, each, time.monotonic()
            )

    def count(self, process: _Process, now: float) -> None:
        """Update the fleet size of a process, as it does in each round."""
        present = len(process.members.known) + 1
        ever = members.count_known_and_gone(process.members)
        fleet_size.count(process.size, present, ever, now)

    def send(
        self, sender: str, addresses: Iterable[str], note: peering_data.PeerNote
    ) -> None:
        loop = asyncio.get_running_loop()
        for address in addresses:
            is_partitioned = self.partition.get(sender) != self.partition.get(
                address
            )
            is_lost = (
                self._rng.random() < self.loss_rate
                or address in self.unreachable
            )
            if is_partitioned or is_lost:
                continue
            delay_s = (
                MESSAGE_DELAY_S + self._rng.random() * self.max_extra_delay_s
            )
            for _ in range(1 + self.duplicated):
                loop.call_later(delay_s, self._deliver, address, note)

    def broadcast(self, process: _Process) -> None:
        """Notify all processes of a limit that began or ended."""
        news = process.limits.pop_changed(time.monotonic())
        note = peering_data.PeerNote(process.name, process.name, limits=news)
        others = [name for name in self.names if name != process.name]
        self.send(process.name, others, note)

    async def generate_load(self, per_second: float, seconds: float) -> None:
        """Send requests to random processes at random intervals."""
        until = time.monotonic() + seconds
        requests_sent = []
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(per_second))
            process = self._rng.choice(list(self.processes.values()))
            requests_sent.append(
                asyncio.create_task(self._send_request(process))
            )
        await asyncio.gather(*requests_sent)

    async def count_rounds(self) -> None:
        """Update the fleet size of each process, round by round."""
        while True:
            await asyncio.sleep(ROUND_S)
            for process in self.processes.values():
                self.count(process, time.monotonic())

    async def _send_request(self, process: _Process) -> None:
        now = time.monotonic()
        instance = SERVER.instance
        if process.limits.per_s(instance) is not None:
            is_refused = process.limits.refused_s(instance, now) > 0
            if is_refused or not await process.limits.claim(instance):
                self.refused += 1
                return
        sent_at = time.monotonic()
        self.received.append(_Arrival(sent_at, process.name, self.per_s))
        limit = '' if self.per_s is None else str(self.per_s)
        await asyncio.sleep(ANSWER_DELAY_S)
        texts = statements_data.HeaderValues(limit)
        head = requests.Head(200, True, False, False, '', None, texts)
        process.statements.apply_answer(
            dispatch.AnswerHead(SERVER, head, sent_at, time.monotonic())
        )

    def _deliver(self, name: str, note: peering_data.PeerNote) -> None:
        process = self.processes.get(name)
        if process is not None:
            process.claims.handle_note(note, time.monotonic())


def _max_in_window(fleet: _Fleet, excluded: Iterable[str] = ()) -> int:
    """Return the maximum number of requests in a window with a known limit."""
    named = [each for each in fleet.received if each.per_s is not None]
    since = named[0].at + SETTLE_S
    times = [
        each.at
        for each in named
        if each.at >= since and each.name not in frozenset(excluded)
    ]
    return max(
        (sum(at <= each < at + WINDOW_S for each in times) for at in times),
        default=0,
    )


Scenario = Callable[[_Fleet], Any]


async def _no_faults(fleet: _Fleet) -> None:
    """Inject no fault."""


async def _kill_first(fleet: _Fleet) -> None:
    """Kill the coordinator twice; the others notice after two seconds."""
    await asyncio.sleep(4)
    for _ in range(2):
        known = next(iter(fleet.processes.values())).members
        first = members.ranked(known, SERVER.instance)[0]
        fleet.processes.pop(first)
        await asyncio.sleep(2)
        for name in fleet.processes:
            fleet.forget((first,), name)


async def _restart_each(fleet: _Fleet) -> None:
    """Restart one process after the other; each starts with no known peer."""
    for name in fleet.names:
        await asyncio.sleep(10 / len(fleet.names))
        fleet.start(name)
        await asyncio.sleep(0.15)
        fleet.introduce(fleet.processes[name], fleet.names)


async def _restart_all(fleet: _Fleet) -> None:
    """Restart all at once; they discover one another within some seconds."""
    await asyncio.sleep(4)
    for name in fleet.names:
        fleet.start(name)
    for part in range(1, 9):
        await asyncio.sleep(0.5)
        known = fleet.names[: len(fleet.names) * part // 8]
        for process in fleet.processes.values():
            fleet.introduce(process, known)


async def _partition(fleet: _Fleet) -> None:
    """Split the fleet into halves; each notices after two seconds."""
    await asyncio.sleep(3)
    half = len(fleet.names) // 2
    fleet.partition = dict.fromkeys(fleet.names[:half], 0)
    halves = list(fleet.partition), fleet.names[half:]
    await asyncio.sleep(2)
    for near, far in (halves, tuple(reversed(halves))):
        for name in near:
            fleet.forget(far, name)
    await asyncio.sleep(8)
    fleet.partition = {}
    for process in fleet.processes.values():
        fleet.introduce(process, fleet.names)


async def _freeze_first(fleet: _Fleet) -> None:
    """Freeze the coordinator: it receives and answers nothing for a while."""
    await asyncio.sleep(4)
    known = next(iter(fleet.processes.values())).members
    first = members.ranked(known, SERVER.instance)[0]
    fleet.unreachable = {first}
    await asyncio.sleep(5)
    fleet.unreachable = set()


async def _lose_messages(fleet: _Fleet) -> None:
    """Lose 30% of all messages; delay and duplicate the others."""
    fleet.loss_rate = 0.3
    fleet.max_extra_delay_s = 0.5
    fleet.duplicated = True


async def _lower_limit(fleet: _Fleet) -> None:
    """Lower the limit in steps; the bound is that of the last one."""
    for part in (0.9, 0.8, 0.7):
        await asyncio.sleep(0.2)
        assert fleet.per_s is not None
        fleet.per_s = round(fleet.per_s * part, 3)


class ClaimsTest(virtual_time_test.VirtualTimeCase):
    """A fleet that receives several times the requests a server accepts."""

    async def test_bound(self) -> None:
        """The fleet exceeds a limit if each process applies it separately."""
        scenarios: tuple[Scenario, ...] = (
            _no_faults,
            _kill_first,
            _restart_each,
            _restart_all,
            _partition,
            _freeze_first,
            _lose_messages,
            _lower_limit,
        )
        for scenario in scenarios:
            for size, per_s in FLEETS:
                with self.subTest(scenario=scenario.__name__, size=size):
                    fleet = await self._run_scenario(size, per_s, scenario)
                    limit = fleet.per_s or 0
                    allowed = MAX_RATIO * limit * WINDOW_S + SLACK
                    self.assertLessEqual(_max_in_window(fleet), allowed)

    async def test_used(self) -> None:
        """The server is idle if one process can't use what another leaves."""
        for size in (1, 8, 84, 195, 300):
            for per_s in (0.5, 2.0, 20.0):
                with self.subTest(size=size, per_s=per_s):
                    fleet = await self._run_scenario(size, per_s, _no_faults)
                    seconds = fleet.received[-1].at - fleet.received[0].at
                    used = len(fleet.received) / seconds / per_s
                    self.assertGreater(used, MIN_UTILIZATION)

    async def test_end(self) -> None:
        """A limit must end when the server no longer states it."""
        for size in (1, 8, 84, 300):
            with self.subTest(size=size):
                fleet = await self._run_scenario(size, 1.0, _no_faults)
                fleet.per_s = None
                await fleet.generate_load(30, 4)
                fleet.refused = 0
                await fleet.generate_load(30, 2)
                self.assertEqual(fleet.refused, 0)

    async def test_after_stall(self) -> None:
        """A limit that ended during a stall must not come back by old notes."""
        instance = SERVER.instance
        fleet = _Fleet(2, 1.0)
        process = fleet.processes['p0']
        now = time.monotonic()
        process.limits.observe(
            instance, limits_data.Observation(1.0, now - STALL_S)
        )
        process.limits.observe(
            instance, limits_data.Observation(None, now - STALL_S / 2)
        )
        process.timeouts = answer_timeouts.AnswerTimeouts(_stalled)
        report = peering_data.RateLimitReport(instance, 1.0, 0)
        claim = peering_data.PermitRequest(1, report)
        permit = peering_data.Permit(1, 0, report)
        note = peering_data.PeerNote('p1', 'p1', notes='p1')
        for waiting in (
            note._replace(limits=(report,)),
            note._replace(claim=claim),
            note._replace(permit=permit),
        ):
            process.claims.handle_note(waiting, now)
            self.assertIsNone(process.limits.per_s(instance))

    async def _run_scenario(
        self, size: int, per_s: float, scenario: Scenario
    ) -> _Fleet:
        fleet = _Fleet(size, per_s)
        count_rounds = asyncio.create_task(fleet.count_rounds())
        scenario_task = asyncio.create_task(scenario(fleet))
        await fleet.generate_load(4 * per_s + 4, 20)
        await scenario_task
        count_rounds.cancel()
        return fleet


def _stalled(since: float, now: float) -> float:
    return STALL_S


if __name__ == '__main__':
    main()
