"""Runs a process of role `entry` or `control`."""

import asyncio
import signal
import sys

from absl import logging

from beryllug.core import finding, settings_data
from beryllug.kernel import registry
from beryllug.parsing import settings
from beryllug.scripts import compose

EXIT_FAILED = 1
DEFAULT_GRACE_S = 130.0


def run(cfg: settings_data.Settings, path: str) -> None:
    """Run a process until it is stopped; SIGHUP reloads the keys."""
    logging.use_absl_handler()
    logging.set_verbosity(cfg.process.log_level)
    asyncio.run(_run(cfg, path))


async def _run(cfg: settings_data.Settings, path: str) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    composed = compose.compose(cfg)
    loop.add_signal_handler(signal.SIGHUP, _replace_keys, composed, path)
    try:
        await composed.services.start()
    except OSError as exc:
        logging.error('event=start_failed error=%s', exc)
        sys.exit(EXIT_FAILED)
    logging.info(
        'event=ready process=%s role=%s', cfg.process.name, cfg.process.role
    )
    await stopping.wait()
    logging.info('event=stopping process=%s', cfg.process.name)
    await _stop(composed.services, cfg)
    logging.info('event=stopped process=%s', cfg.process.name)


def _replace_keys(composed: compose.Composed, path: str) -> None:
    """Reload rotated keys; invalid settings change nothing."""
    cfg, findings = settings.load(path)
    for item in findings:
        logging.error('event=settings_refused %s', finding.describe(item))
    if cfg is not None:
        composed.replace_keys(cfg)
        logging.info('event=keys_replaced process=%s', cfg.process.name)


async def _stop(
    services: registry.Registry, cfg: settings_data.Settings
) -> None:
    role_section = cfg.entry or cfg.control
    await services.stop(
        role_section.drain_s if role_section else DEFAULT_GRACE_S
    )
