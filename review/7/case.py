"""An entry with an unpaired surrogate keeps every process from starting.

The store has one entry under `servers` that another writer has put there: valid
JSON, whose one text holds the escape of an unpaired surrogate, which is no
Unicode text. Then the whole system starts. The rule: the entry names no runner
to use, the others hold; a day on which no request is served counts 0.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-2'))
import harness  # noqa: E402

SERVICE = 'wuno96b'
FOREIGN = (
    b'{"service":"wuno96b","address":"127.128.0.9:8080","zone":"\\ud800",'
    b'"slots":6,"state":"ready"}'
)
SECONDS = 20
PER_S = 10


async def case(run):
    await run.start_store()
    routes = [
        harness.plain_route('r-1', '/puxa403/', SERVICE, 'non_idempotent', 1),
        harness.plain_route('r-2', '/cufi504/', SERVICE, 'safe', 2),
    ]
    services = [{'name': SERVICE, 'health_path': '/health',
                 'max_connections': 110}]
    run.store.put('config', 'main', harness.manifest(1, routes, services))
    for each in range(3):
        await run.add_runner(
            harness.Runner(f'i-{each}', SERVICE, run.record, slots=6)
        )
    if run.trouble:
        run.store.put('servers', 'z-foreign', FOREIGN)
        run.record('another writer has stored servers/z-foreign')
    await run.start_routers(3)
    # Traffic starts 12 s after the machines do.
    await asyncio.sleep(12)
    for router in run.routers:
        run.record(f'{router.name} ready: {await router.is_ready()}')
        if router.process.returncode is not None:
            return None
    tasks = []
    for index in range(SECONDS * PER_S):
        router = run.routers[index % len(run.routers)]
        if index % 2:
            asked = run.send(router, 'GET', '/cufi504/fi50/2f')
        else:
            asked = run.send(router, 'POST', '/puxa403/2f', body=b'hold')
        tasks.append(asyncio.create_task(asked))
        await asyncio.sleep(1 / PER_S)
    answers = await asyncio.gather(*tasks)
    served = sum(each.status == 200 for each in answers)
    run.record(f'{served} of {len(answers)} answered with 200')
    return not served


harness.main(case, HERE)
