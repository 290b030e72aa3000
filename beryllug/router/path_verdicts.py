"""What connects to backend servers tell of them, logged and counted."""

import time
from collections.abc import Callable, Iterable
from typing import Any

from beryllug.core.placement import reachability
from beryllug.kernel import log_lines, metrics_data


def _ignore_cut(address: str | None) -> None:
    """Default of `on_cut`."""


class PathVerdicts:
    """Records connects and logs what follows from them.

    Attributes:
        state: What is known of the links to servers.
        on_cut: Called with the address of a server whose link is found cut, or
            with None if this process is found isolated.
    """

    def __init__(self, lines: log_lines.LineWriter) -> None:
        """Bind to the log."""
        self.state = reachability.Reachability(time.monotonic())
        self.on_cut: Callable[[str | None], None] = _ignore_cut
        self._lines = lines
        self._connects = dict.fromkeys(
            ('direct', 'relayed', 'failed', 'not_relayed'), 0
        )
        self._unrelayed: set[str] = set()

    def dump(self) -> dict[str, Any]:
        """Return which servers can't be connected to directly."""
        now = time.monotonic()
        return {
            'failing_s': {
                address: round(now - since, 2)
                for address, since in self.state.failing.items()
            },
            'cut': sorted(self.state.cut),
            'is_isolated': self.state.is_isolated,
            'connected_ago_s': round(now - self.state.connected_at, 2),
        }

    def measure(self) -> Iterable[metrics_data.Sample]:
        """Return the numbers of connects and of servers out of reach."""
        for way, count in self._connects.items():
            yield metrics_data.Sample(
                'server_connects',
                count,
                'Connects to backend servers: direct, through a peer, failed.',
                metrics_data.Kind.COUNTER,
                {'way': way},
            )
        yield metrics_data.Sample(
            'servers_unreached',
            len(self.state.failing),
            'Backend servers to which the last direct connect failed.',
        )
        yield metrics_data.Sample(
            'servers_cut',
            len(self.state.cut),
            'Backend servers that only other processes can connect to.',
        )
        yield metrics_data.Sample(
            'process_isolated',
            int(self.state.is_isolated),
            'Whether this process is assumed to reach no backend server.',
        )

    def relayed(self, address: str, now: float) -> None:
        """Record that a peer has connected to a server."""
        self._connects['relayed'] += 1
        self._unrelayed.discard(address)
        self._apply(reachability.relayed(self.state, address, now))

    def not_relayed(self, address: str, exc: OSError) -> None:
        """Record that no peer has connected to a server."""
        self._connects['not_relayed'] += 1
        self._unrelayed.intersection_update(self.state.failing)
        if address not in self._unrelayed:
            self._unrelayed.add(address)
            self._lines.write('not_relayed', address=address, asked=str(exc))

    def connected(self, address: str, now: float) -> None:
        """Record a connect of this process."""
        self._connects['direct'] += 1
        was_failing = address in self.state.failing
        changes = reachability.connected(self.state, address, now)
        if was_failing:
            self._lines.write(
                'server_reached',
                address=address,
                unreached=len(self.state.failing),
            )
        self._apply(changes)

    def failed(self, address: str, exc: OSError, now: float) -> None:
        """Record a failed connect of this process."""
        self._connects['failed'] += 1
        if address not in self.state.failing:
            self._lines.write(
                'server_unreached',
                address=address,
                error=str(exc) or type(exc).__name__,
                unreached=len(self.state.failing) + 1,
                connected_ago_s=round(now - self.state.connected_at, 2),
            )
        self._apply(reachability.failed(self.state, address, now))

    def _apply(self, changes: Iterable[reachability.Change]) -> None:
        for change in changes:
            match change:
                case reachability.PathCut(address):
                    self._lines.write('server_path_cut', address=address)
                    self.on_cut(address)
                case reachability.PathRestored(address):
                    self._lines.write('server_path_restored', address=address)
                case reachability.Isolated():
                    self._lines.write('isolated', cut=len(self.state.cut))
                    self.on_cut(None)
                case reachability.Rejoined():
                    self._lines.write('rejoined')
