"""Lists all objects of a kind in the platform's store, page by page."""

import asyncio
import random

from beryllug.core import stamps
from beryllug.drivers import object_data, store_data
from beryllug.platform import store

# Seconds before a further page is asked for again, and the parts of them
# between which each pause is drawn.
PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 0.8)
JITTER = (0.5, 1.5)


# Most seconds that a process waits before each further page, while others may
# have the whole list already.
MOST_PAUSE_S = 1.0


def page_pause_s(drawn: float, *, is_seed: bool) -> float:
    """Return the seconds that a process waits before each further page.

    After all processes were killed each lists all servers, and three hundred of
    them press the store with twenty thousand calls: it refuses most, and none
    has its list for half a minute. The seeds, whom all others ask, go first;
    where none is left, the few that draw short pauses do. A list of one page,
    as a small fleet has, is not delayed.

    Args:
        drawn: A number from 0 to 1, drawn for this process.
        is_seed: Whether the others ask this process first.
    """
    return 0 if is_seed else drawn * MOST_PAUSE_S


async def list_all(
    api: store.Store, kind: str, pause_s: float = 0
) -> store_data.Listing:
    """List the objects of a kind.

    The revision is that of the first page: what changes between two pages may
    be on one that was read before, and a watch from the last one's revision
    would never tell of it.

    Args:
        api: The store.
        kind: The kind.
        pause_s: Seconds to wait before each further page.

    Raises:
        CompactedError: The store has returned from a copy between two pages.
        ObjectApiError: The store did not give all of them.
    """
    page = await api.list_page(kind)
    revision = page.listing.revision
    found = list(page.listing.found)
    errors = list(page.listing.errors)
    while page.after:
        await asyncio.sleep(pause_s)
        page = await _next_page(api, kind, page.after)
        if stamps.era(page.listing.revision) != stamps.era(revision):
            raise object_data.CompactedError('a list of two eras')
        found.extend(page.listing.found)
        errors.extend(page.listing.errors)
    return store_data.Listing(tuple(found), revision, tuple(errors))


async def _next_page(
    api: store.Store, kind: str, after: str
) -> store_data.Page:
    """Return a further page, asked for again where it is refused.

    Where many list at once, the store refuses some calls of each. Begun anew
    after each refusal, a list of sixty pages never ends, and the calls that it
    makes meanwhile have others refused.
    """
    for pause_s in PAUSES_S:
        try:
            return await api.list_page(kind, after)
        except object_data.UnavailableError:
            await asyncio.sleep(pause_s * random.uniform(*JITTER))
    return await api.list_page(kind, after)
