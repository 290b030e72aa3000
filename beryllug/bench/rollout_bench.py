"""Roll-outs by evidence against roll-outs by fixed steps.

How many callers does a bad version reach, how fast is a good one rolled out,
and how often is a good one stopped? All of it at today's small load, with
ratings that come a minute or more late.
"""

from beryllug.bench import report, rollout_cases, rollout_trials

GOOD_SEED = 100000
P95 = 0.95

Case = rollout_cases.Case


def run(figures: report.Report) -> list[str]:
    """Measure, and return the broken bounds."""
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
    fixed = _reached(rollout_trials.fixed_steps, case, seeds)
    watched = _reached(rollout_trials.watched_steps, case, seeds)
    ours = _reached(rollout_trials.by_evidence, case, seeds)
    figures.bound(f'{case.name}: of fixed steps', ours / fixed, case.most)
    figures.figure('  callers reached, by evidence', ours)
    figures.figure('  callers reached, fixed steps', fixed)
    figures.figure('  callers reached, looked at each minute', watched)


def _reached(policy: rollout_trials.Policy, case: Case, seeds: int) -> float:
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
        time / rollout_trials.FIXED_S for time in rollout_trials.out_times(runs)
    ]
    figures.bound('rolled out', len(times) / len(runs), least=1 - stopped)
    mean = sum(times) / len(times)
    figures.bound('mean time, of fixed steps', mean, bounds['mean_time'])
    late = times[int(P95 * len(times))]
    figures.bound('p95 of the time, of fixed steps', late, bounds['p95_time'])
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
    figures.bound(f'{case.name}: wrongly stopped', stopped, case.most)
