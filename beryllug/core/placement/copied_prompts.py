"""Backlog of model runners that copy a part of a prompt from another one."""

from beryllug.core.placement import backlog


def after_copy(
    estimate: backlog.Expected, prompt: backlog.Prompt, uncached: float
) -> backlog.Expected:
    """Return an estimate for a runner that copies cached tokens first.

    Args:
        estimate: The estimate without the copy.
        prompt: The prompt.
        uncached: Fraction of its shared tokens left to prefill.
    """
    ratio = backlog.prefill_tokens(prompt, uncached) / max(
        backlog.prefill_tokens(prompt, estimate.uncached_fraction), 1
    )
    return estimate._replace(
        read_s=estimate.read_s * ratio, uncached_fraction=uncached
    )


def record_copy(
    reading: backlog.Backlog,
    instance: str,
    number: int,
    uncached: float,
    copy_s: float,
) -> None:
    """Record that a runner copies cached tokens of a prompt that was sent."""
    item = reading.items[instance][number]
    tokens = backlog.prefill_tokens(item.prompt, uncached)
    work_s = item.work_s * tokens / max(item.tokens, 1) + copy_s
    reading.items[instance][number] = item._replace(
        tokens=tokens, work_s=work_s
    )
