"""Checks whether a backend server is gone after its connection broke."""

import asyncio
import enum
import time
from typing import NamedTuple

from beryllug.drivers import http_client, http_data

PROBE_TIMEOUT_S = 2.0
MAX_PROBES = 3
PROBE_INTERVAL_S = 0.02
# A model engine reports its load; a plain service answers 404 or anything else.
# Any response shows that the server is alive.
PROBE_REQUEST = http_data.Outgoing('GET', '/v1/load', {}, new_connection=True)


class ServerLiveness(enum.Enum):
    """State of a server whose connection broke."""

    ALIVE = 'lives'
    GONE = 'gone'
    # It answers, but may have crashed and restarted.
    UNKNOWN = 'unknown'


class CheckResult(NamedTuple):
    """Result of a check of a server.

    Attributes:
        gone: Whether it refuses connections.
        at: Monotonic second at which the deciding probe was sent.
    """

    gone: bool
    at: float


async def check_server(
    client: http_client.HttpClient, address: str
) -> CheckResult:
    """Check whether a server refuses connections.

    A server that accepts a connection but sends nothing is frozen, not gone. A
    server that restarted before the check looks like one that kept running.
    """
    for _ in range(MAX_PROBES):
        at = time.monotonic()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await client.call(address, PROBE_REQUEST)
        except http_data.NotSentError:
            return CheckResult(gone=True, at=at)
        except http_data.BrokenError:
            # The server may be shutting down, with its port still open.
            await asyncio.sleep(PROBE_INTERVAL_S)
        except TimeoutError:
            break
        else:
            break
    return CheckResult(gone=False, at=at)
