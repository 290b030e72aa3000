"""Record of a chat call and the version selected for it."""

from typing import NamedTuple

from beryllug.core import config_data, journal_data, versions
from beryllug.entry import call_data, attempt_observer


class Turn(NamedTuple):
    """A call, its session and the version that it runs on.

    Attributes:
        call: The call.
        session: Its session, with the version that it was pinned to before.
        version: Version that the call runs on.
        moved: Whether the session had to leave its pinned version.
        observer: Notified of the result of each attempt.
        earlier: Usage of earlier stages of a cascade.
        run_suffix: Suffix of the run id, so that two stages of a call on
            the same engine are distinct runs.
    """

    call: call_data.Call
    session: versions.Session
    version: config_data.Version
    moved: bool
    observer: attempt_observer.AttemptObserver
    earlier: tuple[journal_data.StageUse, ...] = ()
    run_suffix: str = ''

    @property
    def run_id(self) -> str:
        """Id of the run on the engine."""
        return self.call.request_id + self.run_suffix


def name_of(ref: config_data.VersionRef) -> str:
    """Return the display name of a version, ``model@version``."""
    return f'{ref.model}@{ref.version}'


def parse_name(name: str) -> config_data.VersionRef:
    """Parse a name returned by `name_of`."""
    model, _, version = name.rpartition('@')
    return config_data.VersionRef(model, version)
