"""Real processes of ours: started, frozen, killed and stopped by name."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

STOP_S = 60.0
LOG_CHARS = 4000


class Processes:
    """Daemons with their settings and logs in a directory of their own."""

    def __init__(self) -> None:
        """Begin with none."""
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._dir = tempfile.TemporaryDirectory(prefix='beryllug-')

    async def spawn(self, name: str, settings: str) -> None:
        """Start a daemon with the text of its settings."""
        path = self._settings_path(name)
        path.write_text(settings, encoding='utf-8')
        with self._log_path(name).open('ab') as log_file:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'beryllug.scripts.beryllugd',
                str(path),
                stdout=log_file,
                stderr=log_file,
            )

    def names(self) -> tuple[str, ...]:
        """Return the names of the daemons that were not ended by us."""
        return tuple(self._running)

    def pid(self, name: str) -> int:
        """Return the process id of a daemon."""
        return self._running[name].pid

    def log(self, name: str) -> str:
        """Return the last lines that a daemon logged."""
        return self._log_path(name).read_text(errors='replace')[-LOG_CHARS:]

    async def kill(self, name: str) -> None:
        """Kill a daemon at once."""
        process = self._running.pop(name)
        process.kill()
        await process.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon."""
        self._running[name].send_signal(number)

    def freeze(self, name: str) -> None:
        """Freeze a daemon."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen daemon go on; one that was killed meanwhile is gone.

        Two faults may hit one daemon: on a busy machine the one that kills
        it had not started it anew when the other one's time was over.
        """
        if name in self._running:
            self.signal(name, signal.SIGCONT)

    def rewrite(self, name: str, old: str, new: str) -> None:
        """Change a text in a daemon's settings file."""
        path = self._settings_path(name)
        text = path.read_text(encoding='utf-8')
        path.write_text(text.replace(old, new), encoding='utf-8')

    async def terminate(self, name: str) -> int:
        """Stop a daemon gracefully and return its exit code."""
        process = self._running.pop(name)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        try:
            return await asyncio.wait_for(process.wait(), STOP_S)
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def stop(self) -> None:
        """Stop all daemons and forget their files."""
        await asyncio.gather(*map(self.terminate, self.names()))
        self._dir.cleanup()

    def _settings_path(self, name: str) -> Path:
        return Path(self._dir.name) / f'{name}.ini'

    def _log_path(self, name: str) -> Path:
        return Path(self._dir.name) / f'{name}.log'
