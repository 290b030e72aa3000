"""The daemon: ``beryllugd SETTINGS.ini``.

It reads the settings, starts the services of its role, and on SIGTERM stops
them without cutting off a request. Broken settings are all reported at once.
SIGHUP reads the keys of the settings file anew, so they are rotated without a
restart.
"""

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

from absl import logging

from beryllug.core import finding, settings_data
from beryllug.kernel import registry
from beryllug.parsing import settings

if TYPE_CHECKING:
    from beryllug.scripts import compose

EXIT_FAILED = 1
EXIT_USAGE = 2
FROM_VARIABLE = '--settings-from'
USAGE = f'usage: beryllugd SETTINGS.ini | {FROM_VARIABLE} VARIABLE'
GRACE_S = 130.0


def main() -> None:
    """Take the command line."""
    path = _settings_path(sys.argv[1:])
    cfg, findings = settings.load(path)
    if cfg is None:
        _fail([finding.describe(item) for item in findings])
        return
    if cfg.router is not None:
        # Imported here alone: a role must not pay for the modules of another.
        from beryllug.scripts import router_daemon  # noqa: WPS433

        asyncio.run(router_daemon.run(cfg, cfg.router, path))
        return
    _set_up_logs(cfg.process)
    asyncio.run(_run(cfg, path))


def _settings_path(args: list[str]) -> str:
    match args:
        case [flag, name] if flag == FROM_VARIABLE:
            return os.environ.get(name, '')
        case [path]:
            return path
    _fail([USAGE])
    return ''


def _fail(lines: list[str]) -> None:
    for line in lines:
        sys.stderr.write(f'{line}\n')
    sys.exit(EXIT_USAGE)


def _set_up_logs(process: settings_data.Process) -> None:
    logging.use_absl_handler()
    logging.set_verbosity(process.log_level)


async def _run(cfg: settings_data.Settings, path: str) -> None:
    from beryllug.scripts import compose  # noqa: WPS433

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


def _replace_keys(composed: 'compose.Composed', path: str) -> None:
    """Take rotated keys; broken settings change nothing."""
    cfg, findings = settings.load(path)
    for item in findings:
        logging.error('event=settings_refused %s', finding.describe(item))
    if cfg is not None:
        composed.replace_keys(cfg)
        logging.info('event=keys_replaced process=%s', cfg.process.name)


async def _stop(
    services: registry.Registry, cfg: settings_data.Settings
) -> None:
    own = cfg.entry or cfg.control
    await services.stop(own.drain_s if own else GRACE_S)


if __name__ == '__main__':
    main()
