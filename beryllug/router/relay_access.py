"""Which connections this process forwards to backend servers for peers."""

from collections.abc import Callable
from http import HTTPStatus

from beryllug.drivers import http_link
from beryllug.router import server_paths

# Timeout in seconds of a connect for a peer, which is waiting for it.
CONNECT_TIMEOUT_S = 0.15


class RelayAccess:
    """Connects to listed servers that this process reaches."""

    def __init__(
        self, paths: server_paths.ServerPaths, is_ready: Callable[[], bool]
    ) -> None:
        """Bind to the connections of this process.

        Args:
            paths: Opens connections to backend servers.
            is_ready: Returns whether this process accepts requests.
        """
        self._paths = paths
        self._is_ready = is_ready

    def refusal(self, address: str) -> HTTPStatus | None:
        """Return why a server is not connected to, or None if it is."""
        if self._paths.is_cut(address) or not self._is_ready():
            return HTTPStatus.SERVICE_UNAVAILABLE
        if address not in self._paths.listed():
            return HTTPStatus.FORBIDDEN
        return None

    async def connect(self, address: str) -> http_link.Link:
        """Connect to a server.

        Raises:
            OSError: It can't be reached.
        """
        return await self._paths.connect(address, CONNECT_TIMEOUT_S)
