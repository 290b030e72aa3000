"""Evidence-based roll-outs compared with fixed-step roll-outs.

Measures how many callers a bad version reaches, how fast a good version is
rolled out and how often a good one is stopped. The load is small and ratings
arrive a minute or more late.
"""

from beryllug.bench import report, rollout_cases, rollout_trials

GOOD_SEED = 100000
P95 = 0.95

Case = rollout_cases.Case


def run(figures: report.Report) -> list[str]:
    """Run the benchmark and return its violated bounds."""
    cases = rollout_cases.read()
    figures.section('Roll-outs: callers reached by a bad version')
    for case in cases.bad:
        _measure_bad(figures, case, cases.bad_seeds)
    figures.section('Roll-outs: a good version')
    _measure_good(figures, cases)
    for shared in cases.shared:
        _measure_shared(figures, shared, cases.shared_seeds)
    return figures.broken()


def _measure_bad(figures: report.Report, case: Case, seeds: int) -> None:
    fixed = _mean_callers_reached(rollout_trials.fixed_steps, case, seeds)
    checked = _mean_callers_reached(rollout_trials.checked_steps, case, seeds)
    evidence_based = _mean_callers_reached(
        rollout_trials.by_evidence, case, seeds
    )
    figures.bound(
        f'{case.name}: of fixed steps', evidence_based / fixed, case.upper
    )
    figures.figure('  callers reached, by evidence', evidence_based)
    figures.figure('  callers reached, fixed steps', fixed)
    figures.figure('  callers reached, looked at each minute', checked)


def _mean_callers_reached(
    policy: rollout_trials.Policy, case: Case, seeds: int
) -> float:
    jobs = (
        rollout_trials.Job(seed, policy, case.fault, ticks=case.ticks)
        for seed in range(seeds)
    )
    return rollout_trials.callers(rollout_trials.run_all(jobs))


def _measure_good(figures: report.Report, cases: rollout_cases.Cases) -> None:
    runs = rollout_trials.run_all(
        rollout_trials.Job(
            GOOD_SEED + seed,
            rollout_trials.by_evidence,
            ticks=rollout_trials.GOOD_TICKS,
        )
        for seed in range(cases.good_seeds)
    )
    bounds = cases.good
    stopped = rollout_trials.stopped(runs)
    figures.bound('wrongly stopped', stopped, bounds['wrongly_stopped'])
    times = [
        time / rollout_trials.FIXED_S
        for time in rollout_trials.completion_times(runs)
    ]
    figures.bound('rolled out', len(times) / len(runs), lower=1 - stopped)
    mean = sum(times) / len(times)
    figures.bound('mean time, of fixed steps', mean, bounds['mean_time'])
    p95_time = times[int(P95 * len(times))]
    figures.bound(
        'p95 of the time, of fixed steps', p95_time, bounds['p95_time']
    )
    figures.figure('longest time, of fixed steps', times[-1])


def _measure_shared(figures: report.Report, case: Case, seeds: int) -> None:
    runs = rollout_trials.run_all(
        rollout_trials.Job(
            GOOD_SEED + seed,
            rollout_trials.by_evidence,
            case.fault,
            ticks=case.ticks,
        )
        for seed in range(seeds)
    )
    stopped = rollout_trials.stopped(runs)
    figures.bound(f'{case.name}: wrongly stopped', stopped, case.upper)
