"""Records kept by the external services of a deployment."""

from collections.abc import Container, Iterator

from beryllug.control import segments
from beryllug.core import journal_data
from beryllug.standins import (
    engine,
    engine_runs,
    harness,
    object_api,
    http_stand_in,
    plain_service,
)

SEGMENTS = f'{segments.PREFIX}/'


def rows(fleet: harness.Fleet) -> Iterator[journal_data.Row]:
    """Yield every journal row that the platform stores."""
    behaviour = fleet.platform.service_behaviour
    assert isinstance(behaviour, object_api.ObjectApiBehaviour)
    for stored in behaviour.store.stored():
        if stored.key.startswith(SEGMENTS):
            yield from segments.decode_segment(stored.value).rows


def outcome_rows(fleet: harness.Fleet) -> dict[str, list[journal_data.Row]]:
    """Return outcome rows by request id; more than one is a fault."""
    found: dict[str, list[journal_data.Row]] = {}
    for row in rows(fleet):
        if row.kind is journal_data.RowKind.OUTCOME:
            found.setdefault(row.request_id, []).append(row)
    return found


def engine_runs_of(
    fleet: harness.Fleet, servers: Container[str] | None = None
) -> list[engine_runs.RunRecord]:
    """Return the runs of all model engines, or of the given ones."""
    found: list[engine_runs.RunRecord] = []
    for stand_in in _select(fleet, servers):
        if isinstance(stand_in.service_behaviour, engine.EngineBehaviour):
            found.extend(stand_in.service_behaviour.worker.records)
    return found


def plain_runs_of(
    fleet: harness.Fleet, servers: Container[str] | None = None
) -> list[plain_service.PlainRun]:
    """Return the runs of all plain services, or of the given ones."""
    found: list[plain_service.PlainRun] = []
    for stand_in in _select(fleet, servers):
        if isinstance(
            stand_in.service_behaviour, plain_service.PlainServiceBehaviour
        ):
            found.extend(stand_in.service_behaviour.runs)
    return found


def _select(
    fleet: harness.Fleet, servers: Container[str] | None
) -> list[http_stand_in.StandIn]:
    return [
        stand_in
        for server_id, stand_in in fleet.servers.items()
        if servers is None or server_id in servers
    ]
