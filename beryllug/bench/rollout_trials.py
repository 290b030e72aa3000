"""Runs of roll-out policies over many seeds."""

import statistics
from collections.abc import Callable, Iterable
from concurrent import futures
from typing import NamedTuple

from beryllug.bench import rollout_policies, rollout_simulation
from beryllug.core import config_data

WORKERS = 3
DWELL_S = 600
CHECK_S = 60
CHECK_MIN_ANSWERS = 30
ACCOUNT_MIN_ANSWERS = 10
STAGES = (5, 25, 50, 100)
BUDGET = 150
MAX_ERROR_RATE = 0.05
MIN_RATING = 0.7
FIXED_S = DWELL_S * (len(STAGES) - 1)
TICKS = 3000
GOOD_TICKS = 9000

DECLARED = config_data.Rollout(
    rollout_policies.MODEL,
    rollout_policies.OLD,
    rollout_policies.NEW,
    STAGES,
    BUDGET,
    MAX_ERROR_RATE,
    MIN_RATING,
)
LOAD = rollout_simulation.Load()

Fault = rollout_simulation.Fault
Result = rollout_simulation.Result
Policy = Callable[
    [config_data.Rollout, rollout_simulation.Load], rollout_simulation.Policy
]


class Job(NamedTuple):
    """One run of a policy with a seed."""

    seed: int
    policy: Policy
    fault: Fault | None = None
    load: rollout_simulation.Load = LOAD
    declared: config_data.Rollout = DECLARED
    ticks: int = TICKS


def by_evidence(
    declared: config_data.Rollout, load: rollout_simulation.Load
) -> rollout_simulation.Policy:
    """Make the evidence-based policy."""
    return rollout_policies.EvidenceBased(
        declared, load.entries, len(rollout_simulation.ACCOUNTS)
    )


def fixed_steps(
    declared: config_data.Rollout, load: rollout_simulation.Load
) -> rollout_simulation.Policy:
    """Make a baseline with ten-minute stages, checked at their ends."""
    return rollout_policies.FixedSteps(declared, DWELL_S, DWELL_S)


def checked_steps(
    declared: config_data.Rollout, load: rollout_simulation.Load
) -> rollout_simulation.Policy:
    """Make a baseline that is checked every minute as well."""
    return rollout_policies.FixedSteps(
        declared, DWELL_S, CHECK_S, CHECK_MIN_ANSWERS
    )


def steps_by_account(
    declared: config_data.Rollout, load: rollout_simulation.Load
) -> rollout_simulation.Policy:
    """Make a baseline that checks each account as well."""
    return rollout_policies.FixedSteps(
        declared, DWELL_S, DWELL_S, ACCOUNT_MIN_ANSWERS, by_account=True
    )


def run(job: Job) -> Result:
    """Run one job."""
    policy = job.policy(job.declared, job.load)
    return rollout_simulation.run(
        job.seed, job.load, job.fault, policy, job.ticks
    )


def run_all(jobs: Iterable[Job]) -> list[Result]:
    """Run jobs in parallel and return their results in order."""
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run, jobs))


def callers(runs: Iterable[Result]) -> float:
    """Return the mean number of callers reached by a bad candidate."""
    return statistics.fmean(result.callers for result in runs)


def stopped(runs: Iterable[Result]) -> float:
    """Return the share of runs in which the candidate was stopped."""
    return statistics.fmean(result.stopped_at is not None for result in runs)


def completion_times(runs: Iterable[Result]) -> list[int]:
    """Return the sorted times of complete roll-outs."""
    return sorted(
        result.completed_at
        for result in runs
        if result.completed_at is not None
    )
