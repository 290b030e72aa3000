"""Speed of model runners by the pauses between the events of their answers.

Load handled: model servers of uneven speed whose prompts share prefixes. Most
prompts find a queue, or it is uncertain which of their tokens are cached, so
their prefill tells little about a single runner. A pause in which a runner
prefills nothing depends on its speed, and little on what runs there as long as
most of its slots are free.
"""

from dataclasses import dataclass, field

from beryllug.core.placement import server_speeds

# Fraction of a runner's slots up to which its pauses count: each running
# request lengthens them, on some runners to twice as much with all slots used.
MAX_BUSY_FRACTION = 0.25
# Weight of one answer in the usual pause of a model.
WEIGHT = 0.1


@dataclass(slots=True)
class Pauses:
    """Usual seconds between two events at a runner of mean speed, by model."""

    usual: dict[str, float] = field(default_factory=dict)


def is_calm(running: int, slots: int) -> bool:
    """Return whether a runner's pauses tell its speed."""
    return running <= slots * MAX_BUSY_FRACTION


def record(
    pauses: Pauses,
    speeds: server_speeds.Speeds,
    instance: str,
    model: str,
    pause_s: float,
    now: float,
) -> None:
    """Learn the speed of a runner from a short pause of one answer.

    Args:
        pauses: The usual pauses.
        speeds: The known speeds.
        instance: The runner.
        model: The model.
        pause_s: A low quantile of the answer's pauses, since the longer ones
            include the prefill of other prompts.
        now: The present second.
    """
    if pause_s <= 0:
        return
    usual_s = pauses.usual.get(model)
    if usual_s is not None:
        server_speeds.record(speeds, instance, usual_s, pause_s, now)
    relative_s = pause_s / server_speeds.factor(speeds, instance, now)
    known_s = relative_s if usual_s is None else usual_s
    pauses.usual[model] = known_s + WEIGHT * (relative_s - known_s)
