"""Runs a process of role `router`."""

import asyncio
import logging
import signal
import socket
import sys

from beryllug.core import settings_data
from beryllug.kernel import log_lines
from beryllug.scripts import compose_router, live_settings

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
        path: Path of the settings file, whose changes are applied.
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
    live = live_settings.LiveSettings(cfg, path, lines)
    loop.add_signal_handler(signal.SIGHUP, live.reload)
    services = compose_router.compose(cfg, router, lines, listener, live)
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
