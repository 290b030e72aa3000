"""Records of a chat call that has been given a version."""

from typing import NamedTuple

from beryllug.core import config_data, versions
from beryllug.entry import call_data, probe


class Turn(NamedTuple):
    """A call, its session and the version that it runs on.

    Attributes:
        call: The call.
        session: Its session, with the version that was on before.
        version: The version it runs on.
        moved: Whether the session had to leave the version it was on.
        probe: Told what becomes of its attempts.
    """

    call: call_data.Call
    session: versions.Session
    version: config_data.Version
    moved: bool
    probe: probe.Probe


def name_of(ref: config_data.VersionRef) -> str:
    """Return how a version is shown: ``model@version``."""
    return f'{ref.model}@{ref.version}'
