"""Calls between beryllug's own processes: gRPC with msgspec records.

A method is a name, a request type and a reply type. Messages are `NamedTuple`s
that msgspec encodes as MessagePack arrays; see `drivers.wire` for the
compatibility of adjacent releases. No code is generated. Every call carries
an HMAC of its method and time under the fleet key, see `drivers.fleet_key`.
"""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Generic, NamedTuple, TypeVar

import grpc

from beryllug.drivers import fleet_key, wire

Ask = TypeVar('Ask')
Reply = TypeVar('Reply')

SERVICE = 'beryllug'
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)


class RpcError(Exception):
    """A call failed; `code` is the name of the gRPC status."""

    def __init__(self, code: str, details: str) -> None:
        """Keep the name of the status."""
        super().__init__(f'{code}: {details}')
        self.code = code


class Method(NamedTuple, Generic[Ask, Reply]):
    """A method: its name, request type and reply type."""

    name: str
    ask: type[Ask]
    reply: type[Reply]


Unary = Callable[[Any], Awaitable[Any]]
Stream = Callable[[Any], AsyncIterator[Any]]


class RpcServer:
    """Serves methods on one address."""

    def __init__(self, keys: fleet_key.KeyRing) -> None:
        """Create a server without methods."""
        self._keys = keys
        self._server: grpc.aio.Server | None = None
        self._handlers: dict[str, grpc.RpcMethodHandler] = {}

    def unary(self, method: Method[Any, Any], handler: Unary) -> None:
        """Register a handler of a unary method."""
        self._handlers[method.name] = grpc.unary_unary_rpc_method_handler(
            self._authenticate_unary(method.name, handler),
            request_deserializer=wire.decoder(method.ask),
            response_serializer=wire.encode,
        )

    def stream(self, method: Method[Any, Any], handler: Stream) -> None:
        """Register a handler of a server-streaming method."""
        self._handlers[method.name] = grpc.unary_stream_rpc_method_handler(
            self._authenticate_stream(method.name, handler),
            request_deserializer=wire.decoder(method.ask),
            response_serializer=wire.encode,
        )

    async def start(self, address: str) -> int:
        """Listen on ``ip:port`` and return the port."""
        self._server = grpc.aio.server(options=OPTIONS)
        generic = grpc.method_handlers_generic_handler(SERVICE, self._handlers)
        self._server.add_generic_rpc_handlers((generic,))
        port: int = self._server.add_insecure_port(address)
        await self._server.start()
        return port

    async def stop(self, grace_s: float) -> None:
        """Stop accepting; open calls may finish within the grace period."""
        if self._server is not None:
            await self._server.stop(grace_s)

    def _authenticate_unary(self, name: str, handler: Unary) -> Any:
        async def verified(request: Any, context: Any) -> Any:  # noqa: WPS430
            await self._authenticate(name, context)
            return await handler(request)

        return verified

    def _authenticate_stream(self, name: str, handler: Stream) -> Any:
        async def verified(  # noqa: WPS430
            request: Any, context: Any
        ) -> AsyncIterator[Any]:
            await self._authenticate(name, context)
            async for message in handler(request):
                yield message

        return verified

    async def _authenticate(self, name: str, context: Any) -> None:
        metadata = dict(context.invocation_metadata())
        sent = metadata.get(fleet_key.METADATA_KEY, '')
        if not self._keys.verify(name, sent, time.time()):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, 'wrong or missing fleet key'
            )


class RpcClient:
    """Calls methods at one address."""

    def __init__(self, address: str, keys: fleet_key.KeyRing) -> None:
        """Create a client; it connects on the first call."""
        self.address = address
        self._keys = keys
        self._channel = grpc.aio.insecure_channel(address, options=OPTIONS)
        self._calls: dict[str, Any] = {}

    async def call(
        self, method: Method[Ask, Reply], request: Ask, timeout_s: float
    ) -> Reply:
        """Call a unary method.

        Raises:
            RpcError: The call failed or timed out.
        """
        stub = self._calls.get(method.name)
        if stub is None:
            stub = self._channel.unary_unary(
                f'/{SERVICE}/{method.name}',
                request_serializer=wire.encode,
                response_deserializer=wire.decoder(method.reply),
            )
            self._calls[method.name] = stub
        try:
            reply: Reply = await stub(
                request, timeout=timeout_s, metadata=self._sign(method.name)
            )
        except grpc.aio.AioRpcError as exc:
            raise RpcError(exc.code().name, exc.details() or '') from exc
        return reply

    async def stream(
        self, method: Method[Ask, Reply], request: Ask
    ) -> AsyncIterator[Reply]:
        """Call a streaming method and yield its messages.

        Raises:
            RpcError: The call failed, perhaps after some messages.
        """
        stub = self._channel.unary_stream(
            f'/{SERVICE}/{method.name}',
            request_serializer=wire.encode,
            response_deserializer=wire.decoder(method.reply),
        )
        try:
            async for message in stub(
                request, metadata=self._sign(method.name)
            ):
                yield message
        except grpc.aio.AioRpcError as exc:
            raise RpcError(exc.code().name, exc.details() or '') from exc

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()

    def _sign(self, name: str) -> tuple[tuple[str, str], ...]:
        signature = self._keys.sign(name, time.time())
        return ((fleet_key.METADATA_KEY, signature),)
