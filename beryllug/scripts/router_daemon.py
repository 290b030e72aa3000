"""Runs a process of role `router`."""

import asyncio
import logging
import signal
import socket
import sys

from beryllug.core import finding, settings_data
from beryllug.kernel import log_lines
from beryllug.parsing import settings
from beryllug.scripts import compose_router

EXIT_FAILED = 1


def run(
    cfg: settings_data.Settings,
    router: settings_data.Router,
    path: str,
    listener: socket.socket | None = None,
) -> None:
    """Run a process until it is stopped.

    Args:
        cfg: Its settings.
        router: The `router` section of the settings.
        path: Path of the settings file, which is validated again on SIGHUP.
        listener: Socket that already listens for callers, or None.
    """
    asyncio.run(_run(cfg, router, path, listener))


async def _run(
    cfg: settings_data.Settings,
    router: settings_data.Router,
    path: str,
    listener: socket.socket | None,
) -> None:
    """Start the services, wait for a stop signal, and stop them."""
    lines = log_lines.LineWriter()
    _redirect_logging(lines)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, lines)
    services = compose_router.compose(cfg, router, lines, listener)
    lines.write('start', process=cfg.process.name, zone=cfg.process.zone)
    try:
        await services.start()
    except OSError as exc:
        lines.write('start_failed', error=str(exc))
        sys.exit(EXIT_FAILED)
    await stopping.wait()
    lines.write('stopping', process=cfg.process.name)
    await services.stop(router.grace_s)
    lines.write('stopped', process=cfg.process.name)


def _redirect_logging(lines: log_lines.LineWriter) -> None:
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(log_lines.LogHandler(lines))
    root.setLevel(logging.WARNING)


def _reload(path: str, lines: log_lines.LineWriter) -> None:
    """Validate the settings file again; no setting is replaced."""
    cfg, findings = settings.load(path)
    for item in findings:
        lines.write('settings_refused', finding=finding.describe(item))
    if cfg is not None:
        lines.write('reload', process=cfg.process.name)
