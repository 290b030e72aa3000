"""Records of a chat call that has been given a version."""

from typing import NamedTuple

from beryllug.core import config_data, journal_data, versions
from beryllug.entry import call_data, probe


class Turn(NamedTuple):
    """A call, its session and the version that it runs on.

    Attributes:
        call: The call.
        session: Its session, with the version that was on before.
        version: The version it runs on.
        moved: Whether the session had to leave the version it was on.
        probe: Told what becomes of its attempts.
        earlier: What earlier stages of a cascade used.
        run_suffix: Added to the id under which the engine runs it, so that
            two stages of one call on one engine are two runs.
    """

    call: call_data.Call
    session: versions.Session
    version: config_data.Version
    moved: bool
    probe: probe.Probe
    earlier: tuple[journal_data.StageUse, ...] = ()
    run_suffix: str = ''

    @property
    def run_id(self) -> str:
        """Id under which the engine runs it."""
        return self.call.request_id + self.run_suffix


def name_of(ref: config_data.VersionRef) -> str:
    """Return how a version is shown: ``model@version``."""
    return f'{ref.model}@{ref.version}'


def parse_name(name: str) -> config_data.VersionRef:
    """Return the version of a name that `name_of` made."""
    model, _, version = name.rpartition('@')
    return config_data.VersionRef(model, version)
