"""Puts a peer's newer configuration together from what is held and missing."""

from collections.abc import Iterable

from beryllug.core import config_state, document_parts, part_delta, rpc_data
from beryllug.drivers import methods, rpc_peers

CALL_S = 2.0
MAX_ROUNDS = 16


async def obtain(
    calls: rpc_peers.Caller,
    offer: rpc_data.ConfigOffer,
    held: config_state.Held,
) -> config_state.Held:
    """Return the configuration that a peer offers.

    Args:
        calls: Calls of peers.
        offer: The peer's offer.
        held: What this process holds.

    Raises:
        LookupError: The peer has gone on and holds its parts no more.
        RpcError: The peer can't be reached.
        ValueError: What it sent is no document.
    """
    known = dict(held.chunks)
    _add_whole(known, offer.parts)
    digests = await _digests(calls, offer, held, known)
    await _complete(calls, offer.address, digests, known)
    chunks = {digest: known[digest] for digest in digests}
    return config_state.hold(offer.revision, chunks, held)


async def _digests(
    calls: rpc_peers.Caller,
    offer: rpc_data.ConfigOffer,
    held: config_state.Held,
    known: dict[str, bytes],
) -> tuple[str, ...]:
    """Return the peer's list of parts.

    The splice only fits if this process holds what the peer held before.
    The manifest's digest tells; where it differs the list is fetched.
    """
    if offer.splice is not None:
        digests = config_state.spliced(held.digests, offer.splice)
        if document_parts.manifest(digests).digest == offer.manifest:
            return digests
    await _complete(calls, offer.address, (offer.manifest,), known)
    return document_parts.read_manifest(known[offer.manifest])


async def _complete(
    calls: rpc_peers.Caller,
    address: str,
    digests: Iterable[str],
    known: dict[str, bytes],
) -> None:
    """Fetch the parts that are missing; the peer may send some at a time."""
    for _ in range(MAX_ROUNDS):
        missing = [digest for digest in digests if digest not in known]
        if not missing:
            return
        ask = rpc_data.PartsAsk(tuple(missing))
        reply = await calls.call(address, methods.FETCH_PARTS, ask, CALL_S)
        if not _add_whole(known, reply.parts):
            break
    raise LookupError('the peer no longer holds all parts')


def _add_whole(
    known: dict[str, bytes], parts: Iterable[rpc_data.ConfigPart]
) -> bool:
    """Add the parts whose bytes are those that their digest names."""
    added = False
    for part in parts:
        content = _content(known, part)
        if document_parts.make(content).digest == part.digest:
            known[part.digest] = content
            added = True
    return added


def _content(known: dict[str, bytes], part: rpc_data.ConfigPart) -> bytes:
    """Return the bytes of a part; empty where its base isn't held."""
    if not part.base:
        return part.content
    try:
        return part_delta.expand(part.content, known[part.base])
    except (LookupError, ValueError):
        return b''
