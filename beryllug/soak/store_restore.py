"""Restores the store of a deployment from a copy, as after its loss."""

import asyncio

from beryllug.soak import site
from beryllug.standins import platform_store

# Seconds between a copy of the store and its outage, and from its restore until
# operator and servers rewrite their data.
COPY_AGE_S = 1.5
REWRITE_DELAY_S = 1.0
# Seconds of the outage.
OUTAGE_S = 0.3


async def restore(deployment: site.SoakSite) -> None:
    """Restore the store from a copy, and rewrite newer data later."""
    party = deployment.site.store_behaviour
    copy = party.take_snapshot()
    await asyncio.sleep(COPY_AGE_S)
    deployment.put_store_faults(refuse=True)
    await asyncio.sleep(OUTAGE_S)
    written = party.take_snapshot()
    party.restore(copy)
    deployment.put_store_faults()
    await asyncio.sleep(REWRITE_DELAY_S)
    _rewrite(party, written, copy.revision)


def _rewrite(
    party: platform_store.PlatformStore,
    before: platform_store.Snapshot,
    restored_revision: int,
) -> None:
    """Rewrite what operator and servers had written before a restore.

    Objects that they have written or removed since then are left alone.

    Args:
        party: The store.
        before: Its content before the restore.
        restored_revision: Revision that was restored.
    """
    present = party.take_snapshot().stored
    since = {
        (each.kind, each.name)
        for each in party.history
        if each.revision > restored_revision
    }
    for key in sorted((before.stored.keys() | present.keys()) - since):
        shown = before.stored.get(key)
        known = present.get(key, {})
        if shown is None:
            party.remove(*key)
        elif known.get('spec') != shown['spec']:
            party.put(*key, shown['spec'], known.get('status'))
