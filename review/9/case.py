"""A store whose revisions are above 2**40 is taken for lost.

The store's revision counter starts at a large number, as of a store that counts
from the time of day in milliseconds. Three routers start and serve. Then the
operator writes a manifest that drops a key and adds a route. The rule: from
`config_apply_ms` after its acknowledgement, no request runs with the dropped
key, and none on the new route gets 404.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-2'))
import harness  # noqa: E402

SERVICE = 'wuno96b'
DROPPED = 'anfqasnmgkcuyj8pjbvk'
FIRST_REVISION = 1_733_530_000_000
APPLY_S = harness.BOUNDS['config_apply_ms'] / 1000
SECONDS = 15
PER_S = 10


def manifest(version, keys, *prefixes):
    routes = [
        harness.plain_route(f'r-{prefix}', f'/{prefix}/', SERVICE, 'safe', 2)
        for prefix in prefixes
    ]
    services = [{'name': SERVICE, 'health_path': '/health',
                 'max_connections': 110}]
    written = harness.manifest(version, routes, services)
    written['tenants'][0]['api_keys'] = keys
    return written


async def case(run):
    if run.trouble:
        run.store.revision = FIRST_REVISION
    run.record(f'the revisions of the store start at {run.store.revision}')
    await run.start_store()
    run.store.put(
        'config', 'main', manifest(7, [harness.KEY, DROPPED], 'cufi504')
    )
    for each in range(3):
        await run.add_runner(
            harness.Runner(f'i-{each}', SERVICE, run.record, slots=6)
        )
    await run.start_routers(3)
    for router in run.routers:
        if not await router.until_ready():
            return None
    await asyncio.sleep(4)
    first = await run.send(run.routers[0], 'GET', '/cufi504/2f')
    if first.status != 200:
        return None
    acked = run.store.put(
        'config', 'main', manifest(9, [harness.KEY], 'cufi504', 'nygo632')
    )
    run.record('manifest 9 is acknowledged')
    old = new = 0
    index = 0
    while time.monotonic() < acked + SECONDS:
        router = run.routers[index % len(run.routers)]
        is_late = time.monotonic() > acked + APPLY_S
        dropped = await run.send(
            router, 'GET', '/cufi504/2f', {'authorization': f'Bearer {DROPPED}'}
        )
        added = await run.send(router, 'GET', '/nygo632/2f')
        is_old = dropped.status == 200 or added.status == 404
        is_new = dropped.status == 401 and added.status == 200
        old += is_late and is_old
        new += is_late and is_new
        index += 1
        await asyncio.sleep(1 / PER_S)
    run.record(f'later than config_apply_ms: {old} as of old, {new} as of new')
    return bool(old)


harness.main(case, HERE)
