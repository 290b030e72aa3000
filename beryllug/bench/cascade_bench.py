"""Cost of a cascade at equal quality, with and without rating service faults.

Every policy replays the same requests. The quality target is the share of good
answers when the last stage serves every request, so costs are compared at equal
quality. A fault of the rating service begins halfway through a run; the share
of good answers after it is compared with the last stage over the same half.
"""

from typing import NamedTuple

from beryllug.bench import quality, quality_run, report
from beryllug.core import cascade_data

FULL_SECONDS = 6000.0
FAULT_SECONDS = 3000.0
THRESHOLDS = (0.6, 0.65, 0.7)

STRONG = cascade_data.AlwaysStrong()
CHEAP = cascade_data.AlwaysCheap()
LEARNT = cascade_data.LearntPolicy(most_ratings=3)


class Scale(NamedTuple):
    """Size of the benchmark; unit tests use a smaller one."""

    seconds: float = FULL_SECONDS
    fault_seconds: float = FAULT_SECONDS
    faults: tuple[quality.Fault, ...] = tuple(quality.Fault)[1:]


FULL = Scale()


def run(figures: report.Report, scale: Scale = FULL) -> list[str]:
    """Run the benchmark and return its violated bounds."""
    figures.section('Cascade, rating service healthy')
    _rating_healthy(figures, scale)
    figures.section('Cascade, rating service at fault')
    _rating_faulty(figures, scale)
    return figures.broken()


def _rating_healthy(figures: report.Report, scale: Scale) -> None:
    strong = _replay(quality_run.Plan(STRONG, scale.seconds))
    target = _good_fraction(strong)
    cheap = _replay(quality_run.Plan(CHEAP, scale.seconds))
    learnt = _replay(quality_run.Plan(LEARNT, scale.seconds, target=target))
    figures.figure('always strong: share of good answers', target)
    figures.figure('always cheap: share of good answers', _good_fraction(cheap))
    figures.figure('always cheap: cost over strong', cheap.cost / strong.cost)
    best = strong.cost
    for threshold in THRESHOLDS:
        policy = cascade_data.FixedThreshold(threshold)
        fixed = _replay(quality_run.Plan(policy, scale.seconds))
        name = f'fixed {threshold}'
        figures.figure(f'{name}: share of good answers', _good_fraction(fixed))
        figures.figure(f'{name}: cost over strong', fixed.cost / strong.cost)
        if _good_fraction(fixed) >= target:
            best = min(best, fixed.cost)
    figures.declared(
        'learnt: share over strong', _good_fraction(learnt) / target
    )
    figures.declared('learnt: cost over strong', learnt.cost / strong.cost)
    figures.declared('learnt: cost over best fixed', learnt.cost / best)
    figures.declared('learnt: late answers', learnt.late / learnt.answers)


def _rating_faulty(figures: report.Report, scale: Scale) -> None:
    seconds = scale.fault_seconds
    strong = quality_run.replay(quality_run.Plan(STRONG, seconds), parts=2)
    target = sum(half.good for half in strong) / sum(
        half.answers for half in strong
    )
    for fault in scale.faults:
        plan = quality_run.Plan(
            LEARNT,
            seconds,
            target=target,
            fault=fault,
            fault_at=seconds / 2,
        )
        after = quality_run.replay(plan, parts=2)[-1]
        figures.declared(
            f'{fault}: share over strong',
            _good_fraction(after) / _good_fraction(strong[-1]),
        )
        figures.declared(
            f'{fault}: cost over strong', after.cost / strong[-1].cost
        )
        figures.declared(f'{fault}: late answers', after.late / after.answers)


def _replay(plan: quality_run.Plan) -> quality_run.Outcome:
    return quality_run.replay(plan)[0]


def _good_fraction(outcome: quality_run.Outcome) -> float:
    return outcome.good / outcome.answers
