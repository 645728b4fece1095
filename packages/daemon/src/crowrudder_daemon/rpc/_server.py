"""gRPC server for a table of methods and handlers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import grpc
from grpc import aio

from crowrudder_daemon.rpc._options import MAX_MESSAGE_BYTES, server_options
from crowrudder_model import decode_message, encode_message
from crowrudder_model.rpc import SERVICE_NAME, CallKind, Method

if TYPE_CHECKING:
    from collections.abc import Callable

_HANDLER_FACTORIES = {
    CallKind.UNARY: grpc.unary_unary_rpc_method_handler,
    CallKind.DOWN_STREAM: grpc.unary_stream_rpc_method_handler,
    CallKind.BOTH_STREAM: grpc.stream_stream_rpc_method_handler,
}


class PeerServer:
    """One gRPC server on one address.

    Parameters
    ----------
    address
        ``IP:PORT`` to listen on.
    max_request_bytes
        Longest message that is received.
    """

    def __init__(
        self, address: str, *, max_request_bytes: int = MAX_MESSAGE_BYTES
    ) -> None:
        self.address = address
        self.port = 0
        self._handlers: dict[str, grpc.RpcMethodHandler[Any, Any]] = {}
        self._server = aio.server(options=server_options(max_request_bytes))

    def add(
        self,
        method: Method[Any, Any],
        handler: Callable[..., Any],
    ) -> None:
        """Register a coroutine function or async generator for a method."""
        self._handlers[method.name] = _HANDLER_FACTORIES[method.kind](
            handler,
            request_deserializer=partial(
                decode_message, kind=method.request_class
            ),
            response_serializer=encode_message,
        )

    async def start(self) -> None:
        """Start listening; all methods must have been added."""
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE_NAME, self._handlers
                ),
            )
        )
        self.port = self._server.add_insecure_port(self.address)
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Stop accepting calls; running ones get ``grace_s`` seconds."""
        await self._server.stop(grace_s)
