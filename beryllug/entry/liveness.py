"""Find out whether a backend server whose connection broke is gone."""

import asyncio

from beryllug.drivers import http_client, http_data

PROBE_S = 2.0
PROBES = 3
PROBE_GAP_S = 0.02
# A model engine reports its load; a plain service answers 404 or whatever it
# likes. Each is an answer, and says that the server lives.
PROBE = http_data.Outgoing('GET', '/v1/load', {}, fresh=True)


async def is_gone(client: http_client.HttpClient, address: str) -> bool:
    """Tell whether a server refuses connections.

    One that accepts and says nothing is frozen and not lost. One that was
    restarted before it is asked is taken to have lived.
    """
    for _ in range(PROBES):
        try:
            async with asyncio.timeout(PROBE_S):
                await client.call(address, PROBE)
        except http_data.NotSentError:
            return True
        except http_data.BrokenError:
            # Cut as the server goes down, before its port is closed.
            await asyncio.sleep(PROBE_GAP_S)
        except TimeoutError:
            return False
        else:
            return False
    return False
