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
    http_stand_in,
    plain_service,
    rating,
    weight_store,
)


class Kind(NamedTuple):
    """Factory of a kind of stand-in and the type of its options."""

    make: Callable[[Any], http_stand_in.StandIn]
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
    kind: str, port: int = 0, host: str = http_stand_in.HOST, **cfg_options: Any
) -> None:
    """Run one stand-in until SIGTERM.

    Args:
        kind: One of the keys of `KINDS`.
        port: Port to listen on; 0 selects a free one.
        host: IP address to listen on.
        cfg_options: Options specific to the kind of stand-in.
    """
    if kind not in KINDS:
        known = ', '.join(KINDS)
        sys.exit(f'unknown kind {kind}; known kinds: {known}')
    try:
        cfg = options.build(KINDS[kind].cfg, cfg_options)
    except options.OptionError as exc:
        sys.exit(str(exc))
    asyncio.run(_serve_until_signal(KINDS[kind].make(cfg), host, port))


def main() -> None:
    """Run the command line."""
    fire.Fire(serve)


async def _serve_until_signal(
    stand_in_server: http_stand_in.StandIn, host: str, port: int
) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await stand_in_server.start(host, port)
    sys.stdout.write(
        f'ready {stand_in_server.address} {stand_in_server.control_address}\n'
    )
    sys.stdout.flush()
    await ended.wait()
    await stand_in_server.stop()


if __name__ == '__main__':
    main()
