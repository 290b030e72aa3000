"""Tests of connection counters, change delays and free ports."""

import unittest
from types import MappingProxyType

from beryllug.bench.slopes import controls, fleet_run, sockets

OWN = '127.0.0.1:7000'
OTHER = '127.0.0.1:7001'
FAR = '127.0.0.1:40000'
COUNTERS = (
    'bbr rto:204 bytes_sent:{sent} bytes_acked:{sent} '
    'bytes_received:{received} segs_out:{out} segs_in:{out} data_segs_out:1'
)


def _row(own: str, far: str, sent: int, received: int, out: int) -> str:
    counters = COUNTERS.format(sent=sent, received=received, out=out)
    return f'0      0      {own} {far} {counters}'


FIRST = _row(OWN, FAR, 100, 40, 3)
SECOND = _row(OTHER, FAR, 9, 9, 9)
BEFORE = f'{FIRST}\n{SECOND}'
LATER = (
    _row(OWN, FAR, 150, 60, 5),
    _row(OTHER, FAR, 20, 20, 20),
    _row('[::ffff:127.0.0.1]:7000', '127.0.0.1:40001', 7, 0, 1),
)
AFTER = '\n'.join(LATER)

# Title, ports, bytes and packets between the two readings.
BETWEEN: tuple[tuple[str, set[int], tuple[int, int]], ...] = (
    ('one port, a connection that is new', {7000}, (77, 6)),
    ('the other port', {7001}, (22, 22)),
    ('both', {7000, 7001}, (99, 28)),
    ('the far end does not count', {40000}, (0, 0)),
)

Delays = tuple[str, fleet_run.Times, list[float]]

ACCEPTED = MappingProxyType({2: 10.0, 3: 11.0})
# Title, revisions applied by each process, delays in ms.
DELAYS: tuple[Delays, ...] = (
    (
        'the last process counts',
        {'a': {2: 10.1, 3: 11.1}, 'b': {2: 10.25, 3: 11.5}},
        [250, 500],
    ),
    (
        'one takes a later revision at once',
        {'a': {2: 10.1, 3: 11.1}, 'b': {3: 11.25}},
        [1250, 250],
    ),
)


class SocketsTest(unittest.TestCase):
    """Counters of connections."""

    def test_between(self) -> None:
        """Each connection is counted once, at the listening side."""
        for title, ports, expected in BETWEEN:
            with self.subTest(title):
                before = sockets.parse(BEFORE, ports)
                after = sockets.parse(AFTER, ports)
                self.assertEqual(
                    sockets.traffic_between(before, after), expected
                )

    def test_on(self) -> None:
        """Connections are selected by the port that accepted them."""
        found = sockets.parse(AFTER, {7000, 7001})
        self.assertEqual(len(found), 3)
        self.assertEqual(
            list(sockets.accepted_on(found, {7001})), [(OTHER, FAR)]
        )


class DelaysTest(unittest.TestCase):
    """Delays until a change was applied."""

    def test_delays(self) -> None:
        """A process at a later revision counts as having the earlier one."""
        for title, taken, expected in DELAYS:
            with self.subTest(title):
                found = fleet_run.delays_ms(ACCEPTED, taken)
                for got, wanted in zip(found, expected, strict=True):
                    self.assertAlmostEqual(got, wanted)


class PortsTest(unittest.TestCase):
    """Allocation of ports for a fleet."""

    def test_free_hosts(self) -> None:
        """No port is returned twice, and none is in the ephemeral range."""
        hosts = controls.free_hosts(50)
        ports = {controls.port_of(port) for host in hosts for port in host}
        self.assertEqual(len(ports), 200)
        self.assertLess(max(ports), controls.LAST_PORT)


if __name__ == '__main__':
    unittest.main()
