"""Daemon processes that can be started, paused, killed and stopped."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

DAEMON = 'beryllug.scripts.beryllugd'
STOP_S = 60.0
LOG_CHARS = 4000
PEAK_MEMORY = 'VmHWM:'


class Processes:
    """Daemons by name, with settings and logs in a temporary directory."""

    def __init__(self, module: str = DAEMON) -> None:
        """Create the directory; no process is started.

        Args:
            module: The module that runs as a daemon.
        """
        self._module = module
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._dir = tempfile.TemporaryDirectory(prefix='beryllug-')

    async def spawn(self, name: str, settings: str) -> None:
        """Start a daemon with the given settings text."""
        path = self._settings_path(name)
        path.write_text(settings, encoding='utf-8')
        with self._log_path(name).open('ab') as log_file:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                self._module,
                str(path),
                stdout=log_file,
                stderr=log_file,
            )

    def names(self) -> tuple[str, ...]:
        """Return the names of daemons that were not killed or terminated."""
        return tuple(self._running)

    def pid(self, name: str) -> int:
        """Return the process id of a daemon."""
        return self._running[name].pid

    def peak_memory_kib(self, name: str) -> int:
        """Return the most memory that a daemon has had resident, in KiB."""
        text = Path(f'/proc/{self.pid(name)}/status').read_text()
        lines = (line.split() for line in text.splitlines())
        return next(int(line[1]) for line in lines if line[0] == PEAK_MEMORY)

    def log(self, name: str) -> str:
        """Return the end of a daemon's log."""
        return self._log_path(name).read_text(errors='replace')[-LOG_CHARS:]

    async def kill(self, name: str) -> None:
        """Kill a daemon and wait for its exit."""
        process = self._running.pop(name)
        process.kill()
        await process.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon."""
        self._running[name].send_signal(number)

    def pause(self, name: str) -> None:
        """Pause a daemon with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused daemon; does nothing if it was killed meanwhile.

        Two faults may affect the same daemon. On a busy machine, the fault
        that killed it had not yet restarted it when the pause ended.
        """
        if name in self._running:
            self.signal(name, signal.SIGCONT)

    def write_beside(self, name: str, suffix: str, text: str) -> None:
        """Write a file beside a daemon's settings, at once as a whole."""
        path = self._settings_path(name)
        written = path.with_name(f'{path.name}.new')
        written.write_text(text, encoding='utf-8')
        written.rename(path.with_name(f'{path.name}{suffix}'))

    def replace_setting(self, name: str, old: str, new: str) -> None:
        """Replace a text in a daemon's settings file."""
        path = self._settings_path(name)
        text = path.read_text(encoding='utf-8')
        path.write_text(text.replace(old, new), encoding='utf-8')

    async def terminate(self, name: str) -> int:
        """Stop a daemon and return its exit code; kill it after a timeout."""
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
        """Stop all daemons and delete their files."""
        await asyncio.gather(*map(self.terminate, self.names()))
        self._dir.cleanup()

    def _settings_path(self, name: str) -> Path:
        return Path(self._dir.name) / f'{name}.ini'

    def _log_path(self, name: str) -> Path:
        return Path(self._dir.name) / f'{name}.log'
