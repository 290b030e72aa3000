"""Find out whether a backend server whose connection broke is gone."""

import asyncio
import enum
import time
from typing import NamedTuple

from beryllug.drivers import http_client, http_data

PROBE_TIMEOUT_S = 2.0
MAX_PROBES = 3
PROBE_INTERVAL_S = 0.02
# A model engine reports its load; a plain service answers 404 or whatever it
# likes. Each is an answer, and says that the server lives.
PROBE_REQUEST = http_data.Outgoing('GET', '/v1/load', {}, fresh=True)


class Found(enum.Enum):
    """What is known of a server whose connection broke."""

    LIVES = 'lives'
    GONE = 'gone'
    # It answers, but may have been lost and started again.
    UNKNOWN = 'unknown'


class Look(NamedTuple):
    """What a look at a server showed.

    Attributes:
        gone: It refuses connections.
        at: Monotonic second of the probe that showed it.
    """

    gone: bool
    at: float


async def look(client: http_client.HttpClient, address: str) -> Look:
    """Look whether a server refuses connections.

    One that accepts and says nothing is frozen and not lost. One that was
    restarted before it is asked cannot be told from one that lived.
    """
    for _ in range(MAX_PROBES):
        at = time.monotonic()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await client.call(address, PROBE_REQUEST)
        except http_data.NotSentError:
            return Look(gone=True, at=at)
        except http_data.BrokenError:
            # Cut as the server goes down, before its port is closed.
            await asyncio.sleep(PROBE_INTERVAL_S)
        except TimeoutError:
            break
        else:
            break
    return Look(gone=False, at=at)
