"""Lists all objects of a kind in the platform's store, page by page."""

import asyncio
import random

from beryllug.core import stamps
from beryllug.drivers import object_data, store_data
from beryllug.platform import store

# Seconds before a further page is requested again, and the range of the jitter
# factor of each pause.
RETRY_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 0.8)
JITTER = (0.5, 1.5)


# Maximum pause in seconds before each further page, while other processes may
# already have the whole list.
MAX_PAGE_PAUSE_S = 1.0


def page_pause_s(drawn: float, *, is_seed: bool) -> float:
    """Return the pause in seconds of a process before each further page.

    When all processes have been killed, each of them lists all servers. Three
    hundred of them make twenty thousand calls; the store refuses most of these,
    and for half a minute no process has its list. So the seeds, which all
    others ask, go first; without a seed, the few processes with short random
    pauses do. A list of one page, as in a small fleet, is not delayed.

    Args:
        drawn: A random number from 0 to 1, drawn for this process.
        is_seed: Whether the others ask this process first.
    """
    return 0 if is_seed else drawn * MAX_PAGE_PAUSE_S


async def list_all(
    api: store.Store, kind: str, pause_s: float = 0
) -> store_data.Listing:
    """List the objects of a kind.

    The revision is that of the first page: an object may change between two
    pages after the page with it was read, and a watch from the last page's
    revision would never report that change.

    Args:
        api: The store.
        kind: The kind.
        pause_s: Seconds to wait before each further page.

    Raises:
        CompactedError: The store was restored from a copy between two pages.
        ObjectApiError: The store did not return all pages.
    """
    page = await api.list_page(kind)
    revision = page.listing.revision
    found = list(page.listing.found)
    errors = list(page.listing.errors)
    while page.after:
        await asyncio.sleep(pause_s)
        page = await _next_page(api, kind, page.after)
        if stamps.era(page.listing.revision) != stamps.era(revision):
            raise object_data.CompactedError(
                'pages of one list are from two eras'
            )
        found.extend(page.listing.found)
        errors.extend(page.listing.errors)
    return store_data.Listing(tuple(found), revision, tuple(errors))


async def _next_page(
    api: store.Store, kind: str, after: str
) -> store_data.Page:
    """Return a further page, requested again if the store refuses it.

    When many processes list at once, the store refuses some calls of each. If a
    list of sixty pages were restarted after each refusal, it would never end,
    and its calls would cause refusals for others.
    """
    for pause_s in RETRY_PAUSES_S:
        try:
            return await api.list_page(kind, after)
        except object_data.UnavailableError:
            await asyncio.sleep(pause_s * random.uniform(*JITTER))
    return await api.list_page(kind, after)
