"""Fetches a peer's newer configuration, reusing parts that are held."""

from collections.abc import Iterable

from beryllug.core import config_state, document_parts, part_delta, rpc_data
from beryllug.drivers import methods, rpc_peers

CALL_S = 2.0
MAX_ROUNDS = 16


async def fetch_config(
    calls: rpc_peers.PeerCaller,
    offer: rpc_data.ConfigOffer,
    held: config_state.ProcessConfig,
) -> config_state.ProcessConfig:
    """Return the configuration that a peer offers.

    Args:
        calls: RPC client for peers.
        offer: The peer's offer.
        held: The configuration that this process holds.

    Raises:
        LookupError: The peer has a newer revision and no longer holds the
            parts of this one.
        RpcError: The peer can't be reached.
        ValueError: The received parts are not a valid document.
    """
    known = dict(held.chunks)
    _add_verified(known, offer.parts)
    digests = await _digests(calls, offer, held, known)
    await _fetch_missing(calls, offer.address, digests, known)
    chunks = {digest: known[digest] for digest in digests}
    return config_state.build_config(offer.revision, chunks, held)


async def _digests(
    calls: rpc_peers.PeerCaller,
    offer: rpc_data.ConfigOffer,
    held: config_state.ProcessConfig,
    known: dict[str, bytes],
) -> tuple[str, ...]:
    """Return the digests of the parts that the peer offers.

    The splice only applies if this process holds the peer's previous list.
    The digest of the manifest is compared; if it differs, the manifest is
    fetched.
    """
    if offer.splice is not None:
        digests = config_state.apply_splice(held.digests, offer.splice)
        if document_parts.manifest(digests).digest == offer.manifest:
            return digests
    await _fetch_missing(calls, offer.address, (offer.manifest,), known)
    return document_parts.read_manifest(known[offer.manifest])


async def _fetch_missing(
    calls: rpc_peers.PeerCaller,
    address: str,
    digests: Iterable[str],
    known: dict[str, bytes],
) -> None:
    """Fetch missing parts; the peer may return only some of them per call."""
    for _ in range(MAX_ROUNDS):
        missing = [digest for digest in digests if digest not in known]
        if not missing:
            return
        request = rpc_data.PartsRequest(tuple(missing))
        reply = await calls.call(address, methods.FETCH_PARTS, request, CALL_S)
        if not _add_verified(known, reply.parts):
            break
    raise LookupError('the peer no longer holds all parts')


def _add_verified(
    known: dict[str, bytes], parts: Iterable[rpc_data.ConfigPart]
) -> bool:
    """Add the parts whose content matches their digest."""
    added = False
    for part in parts:
        content = _content(known, part)
        if document_parts.make(content).digest == part.digest:
            known[part.digest] = content
            added = True
    return added


def _content(known: dict[str, bytes], part: rpc_data.ConfigPart) -> bytes:
    """Return the content of a part; empty if its base is not held."""
    if not part.base:
        return part.content
    try:
        return part_delta.expand(part.content, known[part.base])
    except (LookupError, ValueError):
        return b''
