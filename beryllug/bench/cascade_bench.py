"""Cost of a cascade at the quality target, with the rating service well or not.

Every policy replays the same requests. The quality target is the share of good
answers that always asking the last stage reaches on them, so the costs stand at
an equal share. A fault of the rating service begins half way; the share after
it is compared with always asking the last stage over the same half.
"""

from typing import NamedTuple

from beryllug.bench import quality, quality_run, report
from beryllug.core import cascade_data

FULL_SECONDS = 6000.0
FAULT_SECONDS = 3000.0
THRESHOLDS = (0.6, 0.65, 0.7)

STRONG = cascade_data.AlwaysStrong()
CHEAP = cascade_data.AlwaysCheap()
LEARNT = cascade_data.Learnt(most_ratings=3)


class Scale(NamedTuple):
    """How much is run: all of it, or a short form for the unit tests."""

    seconds: float = FULL_SECONDS
    fault_seconds: float = FAULT_SECONDS
    faults: tuple[quality.Fault, ...] = tuple(quality.Fault)[1:]


FULL = Scale()


def run(figures: report.Report, scale: Scale = FULL) -> list[str]:
    """Run the benchmark and return its broken bounds."""
    figures.section('Cascade, rating service healthy')
    _healthy(figures, scale)
    figures.section('Cascade, rating service at fault')
    _faulty(figures, scale)
    return figures.broken()


def _healthy(figures: report.Report, scale: Scale) -> None:
    strong = _whole(quality_run.Plan(STRONG, scale.seconds))
    target = _share(strong)
    cheap = _whole(quality_run.Plan(CHEAP, scale.seconds))
    learnt = _whole(quality_run.Plan(LEARNT, scale.seconds, target=target))
    figures.figure('always strong: share of good answers', target)
    figures.figure('always cheap: share of good answers', _share(cheap))
    figures.figure('always cheap: cost over strong', cheap.cost / strong.cost)
    best = strong.cost
    for threshold in THRESHOLDS:
        policy = cascade_data.FixedThreshold(threshold)
        fixed = _whole(quality_run.Plan(policy, scale.seconds))
        name = f'fixed {threshold}'
        figures.figure(f'{name}: share of good answers', _share(fixed))
        figures.figure(f'{name}: cost over strong', fixed.cost / strong.cost)
        if _share(fixed) >= target:
            best = min(best, fixed.cost)
    figures.declared('learnt: share over strong', _share(learnt) / target)
    figures.declared('learnt: cost over strong', learnt.cost / strong.cost)
    figures.declared('learnt: cost over best fixed', learnt.cost / best)
    figures.declared('learnt: late answers', learnt.late / learnt.answers)


def _faulty(figures: report.Report, scale: Scale) -> None:
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
            f'{fault}: share over strong', _share(after) / _share(strong[-1])
        )
        figures.declared(
            f'{fault}: cost over strong', after.cost / strong[-1].cost
        )
        figures.declared(f'{fault}: late answers', after.late / after.answers)


def _whole(plan: quality_run.Plan) -> quality_run.Outcome:
    return quality_run.replay(plan)[0]


def _share(outcome: quality_run.Outcome) -> float:
    return outcome.good / outcome.answers
