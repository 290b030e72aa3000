"""The records of the other side: what the parties of a deployment hold."""

from collections.abc import Container, Iterator

from beryllug.control import segments
from beryllug.core import journal_data
from beryllug.standins import (
    engine,
    engine_runs,
    harness,
    object_api,
    party,
    plain_service,
)

SEGMENTS = f'{segments.PREFIX}/'


def rows(fleet: harness.Fleet) -> Iterator[journal_data.Row]:
    """Return every row of the journal that the platform holds."""
    behaviour = fleet.platform.party
    assert isinstance(behaviour, object_api.ObjectApiParty)
    for stored in behaviour.store.stored():
        if stored.key.startswith(SEGMENTS):
            yield from segments.decode(stored.value).rows


def bills(fleet: harness.Fleet) -> dict[str, list[journal_data.Row]]:
    """Return the outcome rows by request id; a fault shows as two in one."""
    found: dict[str, list[journal_data.Row]] = {}
    for row in rows(fleet):
        if row.kind is journal_data.RowKind.OUTCOME:
            found.setdefault(row.request_id, []).append(row)
    return found


def engine_runs_of(
    fleet: harness.Fleet, servers: Container[str] | None = None
) -> list[engine_runs.RunRecord]:
    """Return what all model engines ran, or those that are named."""
    found: list[engine_runs.RunRecord] = []
    for made in _named(fleet, servers):
        if isinstance(made.party, engine.EngineParty):
            found.extend(made.party.worker.records)
    return found


def plain_runs_of(
    fleet: harness.Fleet, servers: Container[str] | None = None
) -> list[plain_service.PlainRun]:
    """Return what all plain services ran, or those that are named."""
    found: list[plain_service.PlainRun] = []
    for made in _named(fleet, servers):
        if isinstance(made.party, plain_service.PlainServiceParty):
            found.extend(made.party.runs)
    return found


def _named(
    fleet: harness.Fleet, servers: Container[str] | None
) -> list[party.StandIn]:
    return [
        made
        for server_id, made in fleet.servers.items()
        if servers is None or server_id in servers
    ]
