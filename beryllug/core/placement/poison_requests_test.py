"""Tests of requests that crash servers, and of those that don't."""

import unittest

from beryllug.core.placement import poison_requests

BAD = 'bad'
GOOD = 'good'
SERVERS = ('i-1', 'i-2', 'i-3', 'i-4')


class CrashersTest(unittest.TestCase):
    """Attribution of server losses to requests."""

    def setUp(self) -> None:
        """Start without any known losses."""
        self.state = poison_requests.Crashers()

    def crash(self, fingerprint: str, instance: str, now: float) -> None:
        """Break a request's connection, and remove its server soon after."""
        poison_requests.run_ended(
            self.state, poison_requests.Loss(fingerprint, instance), now
        )
        poison_requests.record_server_lost(self.state, instance, now + 4)

    def test_third_server(self) -> None:
        """A caller retries a request that has crashed three servers.

        Each server is dropped from the list four seconds after its connections
        broke. The request is refused after the third loss; before that it may
        be harmless.
        """
        for number, instance in enumerate(SERVERS[:3]):
            self.assertEqual(
                poison_requests.refused_s(self.state, BAD, number), 0
            )
            self.crash(BAD, instance, number)
        self.assertGreater(poison_requests.refused_s(self.state, BAD, 8), 50)
        self.assertEqual(poison_requests.refused_s(self.state, GOOD, 8), 0)
        after_s = 8 + poison_requests.REFUSED_S
        self.assertEqual(poison_requests.refused_s(self.state, BAD, after_s), 0)

    def test_resets(self) -> None:
        """Servers that reset some of their connections are not lost."""
        for number in range(20):
            loss = poison_requests.Loss(GOOD, SERVERS[number % 4])
            poison_requests.run_ended(self.state, loss, number)
        self.assertEqual(poison_requests.refused_s(self.state, GOOD, 20), 0)

    def test_gone_later(self) -> None:
        """A server that leaves long after a reset was not crashed by it."""
        for instance in SERVERS:
            poison_requests.run_ended(
                self.state, poison_requests.Loss(GOOD, instance), 0
            )
            poison_requests.record_server_lost(self.state, instance, 30)
        self.assertEqual(poison_requests.refused_s(self.state, GOOD, 30), 0)

    def test_innocent(self) -> None:
        """A request with a successful answer has not crashed its servers."""
        for instance in SERVERS[:2]:
            self.crash(GOOD, instance, 0)
        poison_requests.answered(self.state, GOOD)
        self.crash(GOOD, SERVERS[2], 5)
        self.assertEqual(poison_requests.refused_s(self.state, GOOD, 9), 0)

    def test_discarded(self) -> None:
        """An answer that is discarded does not clear the losses before it."""
        for instance in SERVERS[:2]:
            self.crash(BAD, instance, 0)
        discarded = poison_requests.Loss(BAD, SERVERS[2])
        poison_requests.run_ended(self.state, discarded, 5)
        poison_requests.record_server_lost(self.state, SERVERS[2], 5.1)
        self.assertGreater(poison_requests.refused_s(self.state, BAD, 6), 0)

    def test_ended_bounded(self) -> None:
        """Runs that ended long ago are forgotten, whatever their servers."""
        for number in range(2 * poison_requests.MAX_TRACKED):
            for instance in ('i-1', f'i-{number}'):
                run = poison_requests.Loss(f'request-{number}', instance)
                poison_requests.run_ended(self.state, run, number)
        kept = poison_requests.DETECTED_WITHIN_S + 1
        self.assertLessEqual(len(self.state.ended), kept + 1)
        self.assertLessEqual(len(self.state.ended['i-1']), kept)

    def test_told(self) -> None:
        """Losses at three processes add up, reported once or repeatedly."""
        others = [poison_requests.Crashers() for _ in range(3)]
        for other, instance in zip(others, SERVERS):
            poison_requests.run_ended(
                other, poison_requests.Loss(BAD, instance), 0
            )
            poison_requests.record_server_lost(other, instance, 1)
            told = poison_requests.pop_unreported(other)
            poison_requests.take(self.state, told, 1)
            poison_requests.take(self.state, told, 2)
            self.assertEqual(poison_requests.pop_unreported(other), ())
        self.assertGreater(poison_requests.refused_s(self.state, BAD, 2), 0)

    def test_bounded(self) -> None:
        """The tracked losses are bounded; the oldest are removed first."""
        for number in range(2 * poison_requests.MAX_TRACKED):
            self.crash(f'request-{number}', f'i-{number}', 0)
        self.assertLessEqual(
            len(self.state.losses), poison_requests.MAX_TRACKED
        )


if __name__ == '__main__':
    unittest.main()
