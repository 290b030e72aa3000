"""Parses the structured log lines of processes into records."""

from collections.abc import Iterable, Iterator

import msgspec

from beryllug.core import losses
from beryllug.core.placement import escalation

# Why a low-confidence response of a smaller model was not escalated.
LOW_CONFIDENCE_REASONS = frozenset(
    (
        escalation.SizeReason.LATE.value,
        escalation.SizeReason.DELAY.value,
        escalation.SizeReason.NO_ATTEMPT.value,
        escalation.SizeReason.TRIAL.value,
        escalation.SizeReason.NO_REPEAT.value,
    )
)


class _LogLine(msgspec.Struct, rename={'written_at': 't'}):
    written_at: float
    event: str
    process: str = ''
    id: str = ''
    route: str = ''
    status: int = 0
    reason: str = ''
    server: str = ''
    zone: str = ''
    why: str | None = None
    late: bool = False


_decode = msgspec.json.Decoder(_LogLine).decode


def read(text: Iterable[str], process: str = '') -> Iterator[losses.Line]:
    """Yield the lines that can be decoded; others are skipped.

    A prefix before the JSON of a line, as added by log collectors, is ignored,
    except that its last word names the process if the JSON does not.

    Args:
        text: Lines of text.
        process: Default process name, for lines that have none.
    """
    for line in text:
        prefix, brace, rest = line.partition('{')
        try:
            decoded = _decode(brace + rest)
        except msgspec.MsgspecError:
            continue
        prefix_words = prefix.split() or [process]
        yield _to_record(decoded, decoded.process or prefix_words[-1])


def _to_record(decoded: _LogLine, process: str) -> losses.Line:
    reason = decoded.reason
    if decoded.why in LOW_CONFIDENCE_REASONS:
        reason = decoded.why or ''
    return losses.Line(
        at=decoded.written_at,
        event=decoded.event,
        process=process,
        request=decoded.id,
        route=decoded.route,
        status=decoded.status,
        reason=reason,
        server=decoded.server,
        zone=decoded.zone,
        is_late=decoded.late,
    )
