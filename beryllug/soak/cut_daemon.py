"""A daemon whose links to backend servers can be cut from outside.

``python -m beryllug.soak.cut_daemon SETTINGS.ini`` runs the daemon. While the
file ``SETTINGS.ini.cut`` holds the name of a `link_cut.Mode`, its links to
backend servers are cut in that way.
"""

import asyncio
import pathlib
import sys

from beryllug.drivers import http_link
from beryllug.scripts import beryllugd
from beryllug.standins import link_cut

SUFFIX = '.cut'
POLL_S = 0.05


class _FileCut:
    """Cuts the links as a file says, from the first one on."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._cut = link_cut.LinkCut()
        self._task: asyncio.Task[None] | None = None

    async def dial(self, address: str) -> http_link.Link:
        if self._task is None:
            self._apply()
            self._task = asyncio.create_task(self._follow())
        return await self._cut.dial(address)

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            self._apply()

    def _apply(self) -> None:
        text = self._path.read_text() if self._path.exists() else ''
        mode = link_cut.Mode(text) if text else None
        if mode is self._cut.mode:
            return
        if self._cut.mode is not None:
            self._cut.restore()
        if mode is not None:
            self._cut.cut(mode)


def main() -> None:
    """Run the daemon."""
    path = pathlib.Path(f'{sys.argv[1]}{SUFFIX}')
    http_link.open_link = _FileCut(path).dial
    beryllugd.main()


if __name__ == '__main__':
    main()
