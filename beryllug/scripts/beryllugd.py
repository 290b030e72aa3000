"""The daemon: ``beryllugd SETTINGS.ini``.

It reads the settings and runs the configured role. The modules of a role are
imported only then, so that it has no memory or start-up cost of other roles.
All errors of the settings are reported at once.
"""

import importlib
import os
import sys
from typing import Any

from beryllug.core import finding
from beryllug.drivers import listeners
from beryllug.parsing import settings

EXIT_USAGE = 2
FROM_VARIABLE_FLAG = '--settings-from'
USAGE = f'usage: beryllugd SETTINGS.ini | {FROM_VARIABLE_FLAG} VARIABLE'


def main() -> None:
    """Run the daemon from the command line."""
    path = _settings_path(sys.argv[1:])
    cfg, findings = settings.load(path)
    if cfg is None:
        _exit_with_usage_error([finding.describe(item) for item in findings])
        return
    if cfg.router is None:
        _import_daemon('role_daemon').run(cfg, path)
        return
    # The socket is opened before the modules are imported, which takes two
    # thirds of the time from process start to first response. Otherwise, after
    # a loss of all processes, callers were refused connections for some tenths
    # of a second.
    listener = listeners.open_listener(cfg.router.listen)
    _import_daemon('router_daemon').run(cfg, cfg.router, path, listener)


def _import_daemon(daemon: str) -> Any:
    """Import the module that runs a role."""
    return importlib.import_module(f'beryllug.scripts.{daemon}')


def _settings_path(args: list[str]) -> str:
    match args:
        case [flag, name] if flag == FROM_VARIABLE_FLAG:
            return os.environ.get(name, '')
        case [path]:
            return path
    _exit_with_usage_error([USAGE])
    return ''


def _exit_with_usage_error(lines: list[str]) -> None:
    for line in lines:
        sys.stderr.write(f'{line}\n')
    sys.exit(EXIT_USAGE)


if __name__ == '__main__':
    main()
