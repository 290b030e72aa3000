"""Tests of which processes watch the platform's store."""

import unittest

from beryllug.core.peering import members, watcher_election

NAMES = tuple(f'p{number}' for number in range(20))


def _fleet(names: tuple[str, ...]) -> dict[str, members.Members]:
    fleet = {name: members.Members(name) for name in names}
    for known in fleet.values():
        for name in names:
            members.record_peer(known, name, members.KnownPeer(name, name, 0))
    return fleet


def _watch_and_notify(
    fleet: dict[str, members.Members],
    states: dict[str, watcher_election.WatcherState],
    now: float,
) -> set[str]:
    """Return the processes that watch now, and notify all of them."""
    watching = {
        name
        for name, known in fleet.items()
        if watcher_election.must_watch(states[name], known, now)
    }
    for state in states.values():
        for name in watching:
            watcher_election.record_watcher(state, name, now)
    return watching


def _should_watch(
    fleet: dict[str, members.Members],
    states: dict[str, watcher_election.WatcherState],
    now: float,
) -> set[str]:
    """Return the processes that should watch now, notifying nobody."""
    return {
        name
        for name, known in fleet.items()
        if watcher_election.must_watch(states[name], known, now)
    }


class StandingTest(unittest.TestCase):
    """Processes that start, die and are partitioned."""

    def setUp(self) -> None:
        self.fleet = _fleet(NAMES)
        self.states = {name: watcher_election.WatcherState() for name in NAMES}

    def test_start(self) -> None:
        """All watch at first, and a few once they know of one another."""
        for name in NAMES:
            alone = members.Members(name)
            self.assertTrue(
                watcher_election.must_watch(self.states[name], alone, 0)
            )
        for state in self.states.values():
            for name in NAMES:
                watcher_election.record_watcher(state, name, 0)
        self.assertEqual(
            len(_watch_and_notify(self.fleet, self.states, 0.5)), 3
        )
        self.assertEqual(len(_watch_and_notify(self.fleet, self.states, 1)), 3)

    def test_seeds_read_first(self) -> None:
        """When all start at once, the seeds read the store, the others wait.

        If no seed answers, the others turn to the store one by one.
        """
        alone = members.Members('one')
        for wait_s, now, expected in (
            (0, 0, True),
            (0.6, 0, False),
            (0.6, 0.59, False),
            (0.6, 1.2, True),
        ):
            with self.subTest(wait_s=wait_s, now=now):
                state = watcher_election.WatcherState()
                watcher_election.delay_watch_at_start(state, 0, wait_s, 0.5)
                found = watcher_election.must_watch(state, alone, now)
                self.assertEqual(found, expected)

    def test_all_watchers_die(self) -> None:
        """All watchers die at once; others replace them before a change is due.

        The survivors still take them for live, as membership is slower. For a
        moment a few more than needed watch, but never all.
        """
        first = self._settle(0)
        for name in first:
            self.fleet.pop(name)
        resumed_at = 0.0
        for step in range(1, 40):
            now = step * 0.1
            watching = _watch_and_notify(self.fleet, self.states, now)
            self.assertLess(len(watching), 10)
            if watching and not resumed_at:
                resumed_at = now
        self.assertLess(resumed_at, 1.9)
        self.assertEqual(len(watching), 3)

    def test_rejected_by_store(self) -> None:
        """A watcher that the store rejects is replaced meanwhile."""
        cut_off = min(self._settle(0))
        watching: set[str] = set()
        for step in range(1, 40):
            now = step * 0.1
            watching = {
                name
                for name, known in self.fleet.items()
                if watcher_election.must_watch(self.states[name], known, now)
            }
            for state in self.states.values():
                for name in watching - {cut_off}:
                    watcher_election.record_watcher(state, name, now)
        self.assertEqual(len(watching - {cut_off}), 3)

    def test_alone(self) -> None:
        """A process that knows no other one watches."""
        alone = members.Members('one')
        self.assertTrue(
            watcher_election.must_watch(
                watcher_election.WatcherState(), alone, 0
            )
        )

    def test_silent(self) -> None:
        """Watchers that the store stopped answering are replaced gradually."""
        _watch_and_notify(self.fleet, self.states, 0)
        former_watchers = _watch_and_notify(self.fleet, self.states, 0.1)
        self.assertEqual(len(former_watchers), watcher_election.WATCHERS)
        reported = watcher_election.known_watchers(self.states['p0'], 0.2)
        for state in self.states.values():
            for name in former_watchers:
                watcher_election.record_store_silence(state, name, 0.2)
            # Earlier news arrives late, by a longer path.
            watcher_election.record_watchers(state, reported, 0.3)
        for now, least, most in ((0.3, 0, 0), (0.6, 1, 4)):
            others = (
                _should_watch(self.fleet, self.states, now) - former_watchers
            )
            self.assertGreaterEqual(len(others), least)
            self.assertLessEqual(len(others), most)
        for name in former_watchers:
            watcher_election.record_watcher(self.states['p0'], name, 1)
        self.assertEqual(
            watcher_election.watching(self.states['p0'], 1), former_watchers
        )

    def _settle(self, now: float) -> set[str]:
        """Make the preferred few the watchers, and return them."""
        for state in self.states.values():
            for name in NAMES:
                watcher_election.record_watcher(state, name, now - 1)
        _watch_and_notify(self.fleet, self.states, now)
        for state in self.states.values():
            state.watching.clear()
        chosen = members.ranked(
            self.fleet['p0'], watcher_election.RANKING_SUBJECT
        )[:3]
        for state in self.states.values():
            for name in chosen:
                watcher_election.record_watcher(state, name, now)
        return set(chosen)


if __name__ == '__main__':
    unittest.main()
