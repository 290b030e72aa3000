"""Servers that were lost under the segments of prompts.

A prompt may have thousands of segments, of which one crashes its servers. Only
the lost servers are kept for each; segments with the same losses share a tuple,
so a lost server costs little more than its keys.
"""

from typing import NamedTuple

from beryllug.core import suspects, suspects_data

# Segments that are kept; those under which no server was lost for longest are
# forgotten first.
MAX_SEGMENTS = 32768
MAX_LOSSES = suspects.MAX_LOSSES
# Segments of one lost server that are recorded, and told to peers.
MAX_OF_SERVER = 4096
Losses = suspects_data.SegmentLosses


class LostServer(NamedTuple):
    """A server that was lost, and what its requests had in their prompts.

    Attributes:
        instance: The server.
        at: Second at which the last of the requests ended there.
        keys: Keys of the segments that no answer has cleared.
    """

    instance: str
    at: float
    keys: tuple[str, ...]


def record(known: Losses, lost: LostServer) -> None:
    """Record a lost server; repetition changes nothing."""
    loss = suspects_data.SegmentLoss(lost.instance, lost.at)
    # The tuple before is kept with the one after: it identifies it.
    merged: dict[
        int,
        tuple[suspects_data.SegmentLossTuple, suspects_data.SegmentLossTuple],
    ] = {}
    for key in lost.keys:
        before = known.pop(key, ())
        _, after = merged.setdefault(id(before), (before, _add(before, loss)))
        known[key] = after
    while len(known) > MAX_SEGMENTS:
        known.pop(next(iter(known)))


def clear(known: Losses, key: str) -> int:
    """Forget the losses of a segment that was answered; returns their count."""
    return len(known.pop(key, ()))


def clear_before(known: Losses, key: str, until: float) -> None:
    """Forget the losses of a segment up to a second."""
    left = tuple(loss for loss in known.get(key, ()) if loss.at > until)
    if left:
        known[key] = left
    else:
        known.pop(key, None)


def instances(known: Losses, key: str, now: float) -> frozenset[str]:
    """Return the servers lost under a segment a short time ago."""
    return frozenset(
        loss.server_id
        for loss in known.get(key, ())
        if now < loss.at + suspects.SUSPICION_S
    )


def expire(known: Losses, now: float) -> None:
    """Forget the segments under which no server was lost for long."""
    while known:
        key = next(iter(known))
        if instances(known, key, now):
            return
        known.pop(key)


def _add(
    before: suspects_data.SegmentLossTuple, loss: suspects_data.SegmentLoss
) -> suspects_data.SegmentLossTuple:
    if any(loss.server_id == each.server_id for each in before):
        return before
    return (*before, loss)[-MAX_LOSSES:]
