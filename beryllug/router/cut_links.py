"""What follows when the link to a backend server is found cut.

The connections to it hang or will be reset, and what failed on them was not the
server's fault.
"""

import time

from beryllug.drivers import http_client
from beryllug.router import pool, server_list


class CutLinks:
    """Closes idle connections and forgets failures."""

    def __init__(
        self,
        known: server_list.ServerList,
        client: http_client.HttpClient,
        servers: pool.Pool,
    ) -> None:
        """Bind to the listed servers and to what is kept of each."""
        self._known = known
        self._client = client
        self._pool = servers

    def handle(self, address: str | None) -> None:
        """Handle a cut link, or the cut of all links if there is no address."""
        if address is None:
            self._client.close_all_idle()
        else:
            self._client.close_idle(address)
        listed, doubted = self._known.usable(time.monotonic())
        self._pool.forgive(
            server.instance
            for server in (*listed, *doubted)
            if address in {None, server.address}
        )
