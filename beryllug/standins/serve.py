"""Runs one stand-in as a process.

``python -m beryllug.standins.serve KIND --port N --option=VALUE...`` prints
``ready ADDRESS CONTROL_ADDRESS`` and serves until SIGTERM or SIGINT.
"""

import asyncio
import signal
import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import fire

from beryllug.standins import (
    engine,
    engine_worker,
    host_list,
    object_api,
    options,
    party,
    plain_service,
    rating,
    weight_store,
)


class Kind(NamedTuple):
    """How a kind of stand-in is made, and the record of its options."""

    make: Callable[[Any], party.StandIn]
    cfg: type[Any]


KINDS: Mapping[str, Kind] = MappingProxyType(
    {
        'object-api': Kind(object_api.stand_in, object_api.ObjectApiCfg),
        'host-list': Kind(host_list.stand_in, host_list.HostListCfg),
        'engine': Kind(engine.stand_in, engine_worker.EngineCfg),
        'plain-service': Kind(
            plain_service.stand_in, plain_service.PlainServiceCfg
        ),
        'rating': Kind(rating.stand_in, rating.RatingCfg),
        'weight-store': Kind(
            weight_store.stand_in, weight_store.WeightStoreCfg
        ),
    }
)


def serve(
    kind: str, port: int = 0, host: str = party.HOST, **given: Any
) -> None:
    """Run one stand-in until SIGTERM.

    Args:
        kind: One of the keys of `KINDS`.
        port: Port to listen on; 0 takes a free one.
        host: IP address to listen on.
        given: Options of the stand-in's own record.
    """
    if kind not in KINDS:
        known = ', '.join(KINDS)
        sys.exit(f'unknown kind {kind}; known are {known}')
    try:
        cfg = options.build(KINDS[kind].cfg, given)
    except options.OptionError as exc:
        sys.exit(str(exc))
    asyncio.run(_serve(KINDS[kind].make(cfg), host, port))


def main() -> None:
    """Take the command line."""
    fire.Fire(serve)


async def _serve(made: party.StandIn, host: str, port: int) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await made.start(host, port)
    sys.stdout.write(f'ready {made.address} {made.control_address}\n')
    sys.stdout.flush()
    await ended.wait()
    await made.stop()


if __name__ == '__main__':
    main()
