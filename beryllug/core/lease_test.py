"""Two processes and one lease under virtual clocks.

A model of the platform's object allows any combination of clock rates, pauses
and lost replies. Invariants at each step: no two processes hold the lease at
once, and a fencing token belongs to one holder.
"""

import random
import unittest
from dataclasses import dataclass, field

from beryllug.core import lease, lease_data

TIMINGS = lease_data.lease_timings(6.0)
STEP_S = 0.05
NAME = 'journal/0'
SEEDS = 30
TICKS = 3000


@dataclass
class Platform:
    """The lease's object: its version and content."""

    version: int = 0
    content: lease_data.Lease | None = None
    tokens: dict[int, str] = field(default_factory=dict)
    late: list[lease.Write] = field(default_factory=list)

    def write(self, write: lease.Write) -> bool:
        """Write if the version matches; record the owner of each token."""
        if write.expected_version != self.version:
            return False
        self.version += 1
        self.content = write.lease
        if write.lease.holder:
            self.tokens.setdefault(write.lease.fencing, write.lease.boot)
        return True


@dataclass
class Process:
    """One process: its state, clock rate and pause."""

    name: str
    rank: int
    listed: tuple[str, ...] = ()
    rate: float = 1.0
    paused_until: float = 0.0
    state: lease.LeaseState = field(
        default_factory=lambda: lease.LeaseState(NAME)
    )
    wait_until: float = 0.0

    @property
    def owner(self) -> lease_data.Owner:
        """This process as a lease owner."""
        return lease_data.Owner(self.name, f'boot-{self.name}', self.name)

    def holds(self, second: float) -> bool:
        """Tell whether it holds the lease at a second of real time."""
        now = second * self.rate
        return lease.token(self.state, self.owner, now) is not None


def step(
    process: Process, platform: Platform, second: float, call_result: str
) -> None:
    """Run the next action of a process at a second of real time.

    Args:
        process: The process.
        platform: The platform.
        second: Real time; the process sees its own clock.
        call_result: Result of a call: done, lost, late, unanswered or down.
    """
    now = second * process.rate
    if now < process.wait_until:
        return
    action = lease.decide(
        process.state,
        process.owner,
        TIMINGS,
        lease_data.LeaseClaim(
            process.rank,
            tuple(lease_data.Candidate(name, 1) for name in process.listed),
        ),
        now,
    )
    match action:
        case lease.Wait(until):
            process.wait_until = until
        case lease.Read() if call_result != 'down':
            lease.record_read(
                process.state,
                process.owner,
                TIMINGS,
                platform.version,
                platform.content,
                now,
            )
        case lease.Write() if call_result != 'down':
            lease.sending(process.state, action)
            _write(process, platform, action, now, call_result)


def _write(
    process: Process,
    platform: Platform,
    write: lease.Write,
    now: float,
    call_result: str,
) -> None:
    if call_result == 'late':
        platform.late.append(write)
    if call_result in {'lost', 'late'}:
        lease.record_unknown_result(process.state, now)
        return
    applied = platform.write(write)
    if call_result == 'unanswered':
        lease.record_unknown_result(process.state, now)
    elif applied:
        version = platform.version
        lease.record_write(process.state, TIMINGS, write, version, now, now)
    else:
        lease.record_conflict(process.state)


class LeaseTest(unittest.TestCase):
    """At most one process holds a lease, whatever fails."""

    def test_never_two_holders(self) -> None:
        """Random faults: lost replies, lost writes, outages and pauses.

        With two holders, two processes would grant one key. Clock rates are
        off by up to 2 in 100, the worst that hosts reach, and every process
        is sometimes paused for longer than a lease is valid.
        """
        changes = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                changes += self._run_with_faults(random.Random(seed))
        self.assertGreater(changes, 2 * SEEDS)

    def test_released_lease_is_taken_at_once(self) -> None:
        """A released lease can be acquired without waiting."""
        platform = Platform()
        first, second = Process('one', 0), Process('two', 1)
        self._run_without_faults(platform, (first, second), 0, 10)
        self.assertTrue(first.holds(10))
        first.state.releasing = True
        first.wait_until = 0
        second.wait_until = 0
        self._run_without_faults(
            platform, (first, second), 10, 10 + TIMINGS.lease_s / 2
        )
        self.assertTrue(second.holds(10 + TIMINGS.lease_s / 2))

    def test_others_than_candidates_wait(self) -> None:
        """A process that is not a listed candidate waits much longer.

        During a platform outage the holder continues on the candidates'
        promises alone; a process that it did not list must not acquire the
        lease in that time.
        """
        platform = Platform()
        holder, non_candidate = Process('one', 0), Process('two', 0)
        holder.listed = ('three',)
        self._run_without_faults(platform, (holder,), 0, 10)
        expires_at = holder.state.renewed_at + TIMINGS.lease_s
        limit = lease.outage_limit(holder.state, TIMINGS)
        self._run_without_faults(platform, (non_candidate,), 10, limit + 1)
        self.assertGreater(limit, 10 * expires_at)
        self.assertEqual(platform.tokens, {1: 'boot-one'})
        self._run_without_faults(
            platform, (non_candidate,), limit + 1, limit + 30
        )
        self.assertEqual(platform.tokens, {1: 'boot-one', 2: 'boot-two'})

    def test_old_replica(self) -> None:
        """A read from a lagging replica does not change the state."""
        platform = Platform()
        holder = Process('one', 0)
        self._run_without_faults(platform, (holder,), 0, 10)
        before = platform.content
        lease.record_conflict(holder.state)
        lease.record_read(holder.state, holder.owner, TIMINGS, 1, None, 10)
        self.assertFalse(holder.state.known)
        self.assertTrue(holder.holds(10))
        self.assertEqual(holder.state.lease, before)

    def test_late_renewal(self) -> None:
        """Two renewals get no reply, and the first one is applied late.

        Other processes count from the change of the object, which the first
        renewal made. If validity were counted from the sending of the second
        one, the holder would still act after another acquired the lease.
        """
        platform = Platform()
        holder = Process('one', 0)
        self._run_without_faults(platform, (holder,), 0, 10)
        first_sent = holder.state.renewed_at + TIMINGS.renew_s
        step(holder, platform, first_sent, 'late')
        step(holder, platform, first_sent, 'done')
        platform.write(platform.late.pop())
        step(holder, platform, first_sent + 2, 'lost')
        step(holder, platform, first_sent + 2, 'done')
        held_s = TIMINGS.lease_s - TIMINGS.margin_s
        self.assertAlmostEqual(holder.state.valid_until, first_sent + held_s)

    def test_outage_restarts_the_wait(self) -> None:
        """After an outage the holder gets time to renew.

        It could not renew while the platform was down. A waiting process
        must not acquire the lease at the first reply, or every outage would
        move every shard.
        """
        platform = Platform()
        first, second = Process('one', 0), Process('two', 1)
        self._run_without_faults(platform, (first, second), 0, 10)
        for tick in range(round(60 / STEP_S)):
            for process in (first, second):
                step(process, platform, 10 + tick * STEP_S, 'down')
        self._run_without_faults(platform, (second,), 70, 72)
        self._run_without_faults(platform, (second, first), 72, 80)
        self.assertTrue(first.holds(80))
        self.assertEqual(platform.tokens, {1: 'boot-one'})

    def _run_with_faults(self, rng: random.Random) -> int:
        platform = Platform()
        processes = [
            Process(name, rank, rate=1 + rng.uniform(-0.02, 0.02))
            for rank, name in enumerate(('one', 'two', 'three'))
        ]
        weights = {'done': 76, 'lost': 6, 'late': 6, 'unanswered': 6, 'down': 6}
        for tick in range(TICKS):
            second = tick * STEP_S
            rng.shuffle(processes)
            if platform.late and rng.randrange(40) == 0:
                platform.write(platform.late.pop())
            for process in processes:
                if rng.randrange(500) == 0:
                    process.paused_until = second + rng.uniform(0, 20)
                if second < process.paused_until:
                    continue
                call_result = rng.choices(
                    list(weights), list(weights.values())
                )[0]
                step(process, platform, second, call_result)
            holders = [proc for proc in processes if proc.holds(second)]
            self.assertLessEqual(len(holders), 1)
            for holder in holders:
                token = holder.state.fencing
                self.assertEqual(platform.tokens[token], holder.owner.boot)
        return len(platform.tokens)

    def _run_without_faults(
        self,
        platform: Platform,
        processes: tuple[Process, ...],
        start: float,
        end: float,
    ) -> None:
        for tick in range(round((end - start) / STEP_S) + 1):
            for process in processes:
                step(process, platform, start + tick * STEP_S, 'done')


if __name__ == '__main__':
    unittest.main()
