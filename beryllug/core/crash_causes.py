"""Distinguish a poison request, a bad version and a dying host."""

from collections.abc import Iterable

from beryllug.core import suspects, suspects_data


def crashes_of(
    table: suspects_data.Table,
) -> tuple[suspects_data.Crash, ...]:
    """Return the lost servers with the requests that are not cleared."""
    found: list[suspects_data.Crash] = []
    pairs: list[tuple[suspects_data.Loss, str]] = []
    for note in table.notes.values():
        pairs.extend((loss, note.fingerprint) for loss in note.losses)
    pairs.sort(key=_lost_at)
    for loss, fingerprint in pairs:
        _add_crash(found, loss, fingerprint)
    return tuple(found)


def classify(
    crashes: Iterable[suspects_data.Crash],
) -> suspects_data.Cause:
    """Classify the cause of the losses of backend servers.

    A poison request is common to losses of different servers, whatever the
    version, so it is looked for first. A request that ran on a dying host is
    answered elsewhere and is then cleared from the crash. A dying host is
    one server that is lost again under other requests while other servers
    stay up, so its losses have no request in common. A bad version is lost
    on several servers, and its losses have only the version in common. One
    loss alone is not enough to classify.
    """
    all_crashes = tuple(crashes)
    servers = {crash.server_id for crash in all_crashes}
    versions = {crash.version for crash in all_crashes}
    if len(all_crashes) < 2:
        return suspects_data.Cause.UNCLEAR
    if _is_poison(all_crashes):
        return suspects_data.Cause.POISON
    if len(servers) == 1:
        common = frozenset.intersection(
            *(one.fingerprints for one in all_crashes)
        )
        # The same request and server each time: either can be the cause.
        if common:
            return suspects_data.Cause.UNCLEAR
        return suspects_data.Cause.DYING_HOST
    if len(versions) == 1 and versions != {''}:
        return suspects_data.Cause.BAD_VERSION
    return suspects_data.Cause.UNCLEAR


def _lost_at(pair: tuple[suspects_data.Loss, str]) -> float:
    return pair[0].at


def _is_poison(crashes: tuple[suspects_data.Crash, ...]) -> bool:
    servers: dict[str, set[str]] = {}
    for crash in crashes:
        for fingerprint in crash.fingerprints:
            servers.setdefault(fingerprint, set()).add(crash.server_id)
    return any(len(lost_servers) > 1 for lost_servers in servers.values())


def _add_crash(
    found: list[suspects_data.Crash],
    loss: suspects_data.Loss,
    fingerprint: str,
) -> None:
    suspected: frozenset[str] = frozenset()
    if not loss.cleared:
        suspected = frozenset((fingerprint,))
    for index, crash in enumerate(found):
        if _is_loss_of(crash, loss):
            both = crash.fingerprints | suspected
            found[index] = crash._replace(fingerprints=both)
            return
    found.append(
        suspects_data.Crash(loss.server_id, loss.version, loss.at, suspected)
    )


def _is_loss_of(crash: suspects_data.Crash, loss: suspects_data.Loss) -> bool:
    in_window = loss.at - crash.at < suspects.WINDOW_S
    return crash.server_id == loss.server_id and in_window
