"""Settings that a running process replaces as its settings file changes.

The platform may change the file with or without SIGHUP, so the file is looked
at from time to time as well.
"""

import asyncio
import os
from collections.abc import Callable
from typing import Any

from beryllug.core import finding, settings_data
from beryllug.kernel import background_tasks, log_lines
from beryllug.parsing import settings

CHECK_INTERVAL_S = 1.0
Apply = Callable[[settings_data.Settings], None]
# Identity, size and time of change of a file; None without one.
FileState = tuple[int, int, int] | None


class LiveSettings:
    """Service 'settings': applies changes of the settings file.

    Attributes:
        appliers: Functions that apply a setting, by its name: section and key.
    """

    def __init__(
        self,
        cfg: settings_data.Settings,
        path: str,
        lines: log_lines.LineWriter,
    ) -> None:
        """Bind to the file.

        Args:
            cfg: The settings that the process has started with.
            path: Path of the file.
            lines: Writes log lines.
        """
        self.appliers: dict[str, Apply] = {}
        self._cfg = cfg
        self._path = path
        self._lines = lines
        self._file_state: FileState = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start looking at the file."""
        self._task = background_tasks.start('settings', self._run)

    async def stop(self, grace_s: float) -> None:
        """Stop looking at it."""
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the path of the file."""
        return {'path': self._path}

    def reload(self, *, is_signalled: bool = True) -> None:
        """Read the file and apply what has changed, if it is valid.

        Args:
            is_signalled: Whether a signal has asked for it; then it is logged,
                whether anything has changed or not.
        """
        self._file_state = _file_state(self._path)
        cfg, findings = settings.load(self._path)
        for item in findings:
            self._lines.write(
                'settings_refused', finding=finding.describe(item)
            )
        if cfg is None:
            return
        changed = _changed(self._cfg, cfg)
        applied = [name for name in changed if name in self.appliers]
        for name in applied:
            self.appliers[name](cfg)
        self._cfg = cfg
        if changed or is_signalled:
            self._log(cfg, changed, applied)

    def _log(
        self,
        cfg: settings_data.Settings,
        changed: list[str],
        applied: list[str],
    ) -> None:
        self._lines.write(
            'reload',
            process=cfg.process.name,
            applied=applied,
            needs_restart=[each for each in changed if each not in applied],
        )

    async def _run(self) -> None:
        # The file may have changed since the process has read it.
        self.reload(is_signalled=False)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if _file_state(self._path) != self._file_state:
                self.reload(is_signalled=False)


def _changed(
    before: settings_data.Settings, after: settings_data.Settings
) -> list[str]:
    """Return the names of the settings that differ."""
    known = _flatten(before)
    return [
        name
        for name, setting in _flatten(after).items()
        if known.get(name) != setting
    ]


def _flatten(cfg: settings_data.Settings) -> dict[str, Any]:
    return {
        f'{section}.{key}': setting
        for section, record in cfg._asdict().items()
        if record is not None
        for key, setting in record._asdict().items()
    }


def _file_state(path: str) -> FileState:
    try:
        found = os.stat(path)
    except OSError:
        # It is being replaced; the next look finds it.
        return None
    return found.st_ino, found.st_size, found.st_mtime_ns
