"""Tests of admission, shares and estimates."""

import unittest

from beryllug.core import config_data, estimates, limits, shares

LOOKUP = config_data.Targets('lookup', 1500, 4000)
DRAFT = config_data.Targets('draft', 4000, 30000)
REPORT = config_data.Targets('report', 20000, 180000)
ROOM = limits.PoolCapacity('engines', 80, 0, 8)


def _ask(
    targets: config_data.Targets, account_id: str = 'a'
) -> limits.AdmissionRequest:
    return limits.AdmissionRequest(account_id, targets, 0.2, 1)


class AdmitTest(unittest.TestCase):
    """A request is admitted or refused at once."""

    def test_room_by_priority(self) -> None:
        """A lookup finds a slot although reports are waiting for one.

        Reports run for minutes and would fill every slot. They are refused
        from about two thirds of the slots on, drafts slightly below all
        slots, and lookups only if they would queue for too long.
        """
        cases = (
            (LOOKUP, 79, True),
            (LOOKUP, 200, False),
            (DRAFT, 70, True),
            (DRAFT, 79, False),
            (REPORT, 50, True),
            (REPORT, 60, False),
        )
        for targets, load, admitted in cases:
            with self.subTest(targets=targets, load=load):
                decision = limits.admit(
                    limits.LimitState(),
                    {},
                    ROOM._replace(load=load),
                    _ask(targets),
                    0,
                )
                self.assertEqual(isinstance(decision, limits.Ticket), admitted)
                if isinstance(decision, limits.Refused):
                    self.assertGreater(decision.retry_after_s, 0)

    def test_late(self) -> None:
        """A request that cannot meet its target is refused at once."""
        cases = (
            (_ask(LOOKUP)._replace(elapsed_s=1.4), limits.RefusalReason.LATE),
            (_ask(LOOKUP)._replace(first_token_s=2), limits.RefusalReason.LATE),
            (_ask(LOOKUP)._replace(service_s=5), limits.RefusalReason.LATE),
        )
        for ask, why in cases:
            with self.subTest(ask=ask):
                decision = limits.admit(limits.LimitState(), {}, ROOM, ask, 0)
                assert isinstance(decision, limits.Refused)
                self.assertIs(decision.why, why)

    def test_down(self) -> None:
        """A pool without a healthy server refuses at once."""
        room = ROOM._replace(slots=0)
        decision = limits.admit(limits.LimitState(), {}, room, _ask(LOOKUP), 0)
        assert isinstance(decision, limits.Refused)
        self.assertIs(decision.why, limits.RefusalReason.DOWN)

    def test_release(self) -> None:
        """After all tickets are released, nothing is in use."""
        state = limits.LimitState()
        tickets = [
            limits.admit(state, {}, ROOM, _ask(REPORT), 0) for _ in range(5)
        ]
        for ticket in tickets:
            assert isinstance(ticket, limits.Ticket)
            limits.release(state, ticket, 1)
        use = state.pools['engines']
        self.assertEqual((use.total, use.bulk), (0, 0))
        self.assertEqual(use.accounts['a'].in_flight, 0)

    def test_flood(self) -> None:
        """An account that floods a full pool does not displace the others.

        One account sends about twenty times as many requests as another of
        equal weight. On a full pool the flooding account is limited to its
        share and nearly all requests of the small one are admitted.
        """
        state = limits.LimitState()
        room = ROOM._replace(load=78)
        admitted = {'flood': 0, 'small': 0}
        sent = {'flood': 0, 'small': 0}
        for step in range(2000):
            account = 'small' if step % 20 == 0 else 'flood'
            sent[account] += 1
            ask = limits.AdmissionRequest(account, LOOKUP, 0.2, 0.2)
            decision = limits.admit(state, {}, room, ask, step / 100)
            if isinstance(decision, limits.Ticket):
                limits.release(state, decision, step / 100)
                admitted[account] += 1
        self.assertGreater(admitted['small'], 0.98 * sent['small'])
        self.assertLess(admitted['flood'], 0.4 * sent['flood'])


class SharesTest(unittest.TestCase):
    """Max-min fair shares of the demand."""

    def test_fair_level(self) -> None:
        """The unused share of one account raises the level of the others."""
        cases: tuple[
            tuple[dict[str, float], dict[str, int], float, float], ...
        ] = (
            ({'a': 1, 'b': 1}, {}, 10, float('inf')),
            ({'a': 8, 'b': 8}, {}, 10, 5),
            ({'a': 2, 'b': 20}, {}, 10, 8),
            ({'a': 20, 'b': 20}, {'a': 3}, 10, 2.5),
        )
        for demands, weights, slots, level in cases:
            with self.subTest(asked=demands, weights=weights):
                use = shares.PoolUse()
                for name, demand in demands.items():
                    use.accounts[name] = shares.AccountLoad(demand=demand)
                found = shares.fair_level(use, weights, slots, 0)
                self.assertAlmostEqual(found, level)

    def test_one_long_request(self) -> None:
        """A request demands one slot, however long it runs."""
        use = shares.PoolUse()
        shares.record_demand(use, 'a', 600, 0)
        self.assertEqual(shares.current_demand(use.accounts['a'], 0), 1)

    def test_idle_accounts(self) -> None:
        """Accounts without requests are dropped."""
        use = shares.PoolUse()
        shares.record_demand(use, 'old', 1, 0)
        shares.record_demand(use, 'new', 1, 100)
        shares.excess(use, {}, 'new', 1, 100)
        self.assertEqual(set(use.accounts), {'new'})


class EstimatesTest(unittest.TestCase):
    """Learnt times reflect the service times, not the queueing."""

    def test_first_token(self) -> None:
        """Queueing for a slot does not count as time to the first token.

        Otherwise a loaded pool would look too slow for any target, all of its
        requests would be refused, and they would still be when it is idle.
        """
        state = estimates.EstimateState()
        key = estimates.Key('chat:v1', 'lookup')
        for _ in range(100):
            estimates.observe(state, key, 0.2, 1, load_share=0.5)
            estimates.observe(state, key, 5, 1, load_share=1.2)
        found = estimates.get(state, key)
        self.assertAlmostEqual(found.first_token_s, 0.2, places=3)
        self.assertAlmostEqual(found.service_s, 1, places=3)


if __name__ == '__main__':
    unittest.main()
