"""Two processes and one lease under virtual clocks.

A small model of the platform's object lets the processes' clocks, pauses and
lost answers be chosen freely. What must hold at each step: no two processes
hold proofs at once, and a fencing token names one holder.
"""

import random
import unittest
from dataclasses import dataclass, field

from beryllug.core import lease, lease_data

TERMS = lease_data.terms(6.0)
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
        """Write on condition; remember who got which token."""
        if write.expected_version != self.version:
            return False
        self.version += 1
        self.content = write.lease
        if write.lease.holder:
            self.tokens.setdefault(write.lease.fencing, write.lease.boot)
        return True


@dataclass
class Process:
    """One process: its state, its clock's rate, its pause."""

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
        """This process as an owner."""
        return lease_data.Owner(self.name, f'boot-{self.name}', self.name)

    def holds(self, second: float) -> bool:
        """Tell whether it could prove the lease at a real second."""
        now = second * self.rate
        return lease.token(self.state, self.owner, now) is not None


def step(
    process: Process, platform: Platform, second: float, fate: str
) -> None:
    """Let a process do its next action at a real second.

    Args:
        process: The process.
        platform: The platform.
        second: Real time; the process sees its own clock.
        fate: What becomes of a call: done, lost, late, unanswered or down.
    """
    now = second * process.rate
    if now < process.wait_until:
        return
    action = lease.decide(
        process.state,
        process.owner,
        TERMS,
        lease_data.Standing(
            process.rank,
            tuple(lease_data.Candidate(name, 1) for name in process.listed),
        ),
        now,
    )
    match action:
        case lease.Wait(until):
            process.wait_until = until
        case lease.Read() if fate != 'down':
            lease.observed(
                process.state,
                process.owner,
                TERMS,
                platform.version,
                platform.content,
                now,
            )
        case lease.Write() if fate != 'down':
            lease.sending(process.state, action)
            _write(process, platform, action, now, fate)


def _write(
    process: Process,
    platform: Platform,
    write: lease.Write,
    now: float,
    fate: str,
) -> None:
    if fate == 'late':
        platform.late.append(write)
    if fate in {'lost', 'late'}:
        lease.unsure(process.state, now)
        return
    applied = platform.write(write)
    if fate == 'unanswered':
        lease.unsure(process.state, now)
    elif applied:
        version = platform.version
        lease.written(process.state, TERMS, write, version, now, now)
    else:
        lease.conflicted(process.state)


class LeaseTest(unittest.TestCase):
    """At most one holder, whatever happens."""

    def test_never_two_holders(self) -> None:
        """Random faults: answers lost, writes lost, outages, pauses.

        The callers would see two processes grant one key. Clocks run unlike
        by two in a hundred, as bad as hosts ever are, and every process is
        paused now and then for longer than a lease holds.
        """
        changes = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                changes += self._run(random.Random(seed))
        self.assertGreater(changes, 2 * SEEDS)

    def test_released_lease_is_taken_at_once(self) -> None:
        """A lease that is given back needs no waiting time."""
        platform = Platform()
        first, second = Process('one', 0), Process('two', 1)
        self._run_quietly(platform, (first, second), 0, 10)
        self.assertTrue(first.holds(10))
        first.state.releasing = True
        first.wait_until = 0
        second.wait_until = 0
        self._run_quietly(platform, (first, second), 10, 10 + TERMS.lease_s / 2)
        self.assertTrue(second.holds(10 + TERMS.lease_s / 2))

    def test_others_than_candidates_wait(self) -> None:
        """A lease that lists its candidates is left to them for long.

        In an outage its holder goes on under their promises alone; a process
        that it did not list must not take the lease in that time.
        """
        platform = Platform()
        holder, stranger = Process('one', 0), Process('two', 0)
        holder.listed = ('three',)
        self._run_quietly(platform, (holder,), 0, 10)
        late = holder.state.renewed_at + TERMS.lease_s
        limit = lease.outage_limit(holder.state, TERMS)
        self._run_quietly(platform, (stranger,), 10, limit + 1)
        self.assertGreater(limit, 10 * late)
        self.assertEqual(platform.tokens, {1: 'boot-one'})
        self._run_quietly(platform, (stranger,), limit + 1, limit + 30)
        self.assertEqual(platform.tokens, {1: 'boot-one', 2: 'boot-two'})

    def test_old_replica(self) -> None:
        """A read that lags behind neither ends nor begins anything."""
        platform = Platform()
        holder = Process('one', 0)
        self._run_quietly(platform, (holder,), 0, 10)
        before = platform.content
        lease.conflicted(holder.state)
        lease.observed(holder.state, holder.owner, TERMS, 1, None, 10)
        self.assertFalse(holder.state.known)
        self.assertTrue(holder.holds(10))
        self.assertEqual(holder.state.lease, before)

    def test_late_renewal(self) -> None:
        """Two renewals go unanswered, and the first one lands late.

        Others count from when they saw the object change, which the first
        did. Were the proof counted from the sending of the second, the
        holder would act on after another took the lease.
        """
        platform = Platform()
        holder = Process('one', 0)
        self._run_quietly(platform, (holder,), 0, 10)
        first_sent = holder.state.renewed_at + TERMS.renew_s
        step(holder, platform, first_sent, 'late')
        step(holder, platform, first_sent, 'done')
        platform.write(platform.late.pop())
        step(holder, platform, first_sent + 2, 'lost')
        step(holder, platform, first_sent + 2, 'done')
        held_s = TERMS.lease_s - TERMS.margin_s
        self.assertAlmostEqual(holder.state.valid_until, first_sent + held_s)

    def test_outage_restarts_the_wait(self) -> None:
        """After an outage the holder gets time to renew.

        It could not renew while the platform was down; whoever waits must
        not take the lease at the first answer, or every outage would move
        every shard.
        """
        platform = Platform()
        first, second = Process('one', 0), Process('two', 1)
        self._run_quietly(platform, (first, second), 0, 10)
        for tick in range(round(60 / STEP_S)):
            for process in (first, second):
                step(process, platform, 10 + tick * STEP_S, 'down')
        self._run_quietly(platform, (second,), 70, 72)
        self._run_quietly(platform, (second, first), 72, 80)
        self.assertTrue(first.holds(80))
        self.assertEqual(platform.tokens, {1: 'boot-one'})

    def _run(self, rand: random.Random) -> int:
        platform = Platform()
        processes = [
            Process(name, rank, rate=1 + rand.uniform(-0.02, 0.02))
            for rank, name in enumerate(('one', 'two', 'three'))
        ]
        weights = {'done': 76, 'lost': 6, 'late': 6, 'unanswered': 6, 'down': 6}
        for tick in range(TICKS):
            second = tick * STEP_S
            rand.shuffle(processes)
            if platform.late and rand.randrange(40) == 0:
                platform.write(platform.late.pop())
            for process in processes:
                if rand.randrange(500) == 0:
                    process.paused_until = second + rand.uniform(0, 20)
                if second < process.paused_until:
                    continue
                fate = rand.choices(list(weights), list(weights.values()))[0]
                step(process, platform, second, fate)
            holders = [proc for proc in processes if proc.holds(second)]
            self.assertLessEqual(len(holders), 1)
            for holder in holders:
                token = holder.state.fencing
                self.assertEqual(platform.tokens[token], holder.owner.boot)
        return len(platform.tokens)

    def _run_quietly(
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
