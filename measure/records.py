"""Bytes and processor time of a large configuration between processes.

`records.as_published`, `records.grpc` and `records.deflated_once` are three
ways to send the record: uncompressed, compressed by gRPC for each answer, and
deflated once by the process that read it, as the fleet does.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import grpc
import msgspec
from attrs import frozen
from grpc import aio

from crowrudder_core.catalog import deflate_record, inflate_record
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model import decode_message, encode_message
from crowrudder_model.messages import Changes, ChangesRequest, PublishedItem
from crowrudder_model.rpc import CHANGES, SERVICE_NAME

if TYPE_CHECKING:
    from collections.abc import Callable

    Show = Callable[[str, float | str], None]

ROUTES = 1400
ANSWERS = 10
ROUNDS = 5
MS = 1000
READ_BYTES = 65_536


@frozen
class RecordVariant:
    """A record as it is sent, with the compression of gRPC."""

    name: str
    item: PublishedItem
    compression: grpc.Compression = grpc.Compression.NoCompression


class CountingProxy:
    """TCP proxy that counts the bytes that a server sends."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.answered_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        server_reader, server_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        await asyncio.gather(
            self._forward(reader, server_writer, is_counted=False),
            self._forward(server_reader, writer, is_counted=True),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_counted: bool,
    ) -> None:
        while piece := await reader.read(READ_BYTES):
            self.answered_bytes += is_counted * len(piece)
            writer.write(piece)
        writer.close()


def run(show: Show) -> None:
    """Measure the sizes of a record, then the variants of sending it."""
    item = _configuration()
    sent = deflate_record(item)
    show('records.published_bytes', len(item.payload or b''))
    show('records.deflated_bytes', len(sent.payload or b''))
    show('records.deflate_ms', _least_ms(lambda: deflate_record(item)))
    show('records.inflate_ms', _least_ms(lambda: inflate_record(sent)))
    variants = (
        RecordVariant('as_published', item),
        RecordVariant('grpc', item, grpc.Compression.Gzip),
        RecordVariant('deflated_once', sent),
    )
    for variant in variants:
        asyncio.run(_measure(show, variant))


def _configuration() -> PublishedItem:
    routes = [
        {
            'name': f'more-{number}',
            'host': 'shop.example',
            'prefix': f'/more/{number}/',
            'kind': 'safe',
            'service': 'plain',
            'timeout_ms': 8000,
            'goal_ms': 6000,
            'priority': 1,
            'attempts': 2,
            'public': False,
        }
        for number in range(ROUTES)
    ]
    payload = msgspec.json.encode({'version': 1, 'routes': routes})
    return PublishedItem(key='op/config', revision=1, payload=payload)


async def _measure(show: Show, variant: RecordVariant) -> None:
    """Measure the time of calls, then their bytes through a proxy."""

    async def answer(_request: ChangesRequest, _context: object) -> Changes:
        return Changes(through=1, items=(variant.item,))

    server = aio.server(compression=variant.compression)
    handler = grpc.unary_unary_rpc_method_handler(
        answer,
        request_deserializer=lambda request: decode_message(
            request, ChangesRequest
        ),
        response_serializer=encode_message,
    )
    server.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                SERVICE_NAME, {CHANGES.name: handler}
            ),
        )
    )
    port = server.add_insecure_port('127.0.0.1:0')
    await server.start()
    client = PeerClient()
    took_ms = [await _answers_ms(client, port) for _ in range(ROUNDS)]
    show(f'records.{variant.name}.ten_answers_cpu_ms', min(took_ms))
    proxy = CountingProxy(port)
    before = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
    counted_port = before.sockets[0].getsockname()[1]
    await _answers_ms(client, counted_port)
    answered_bytes = proxy.answered_bytes
    await _answers_ms(client, counted_port)
    answered_bytes = proxy.answered_bytes - answered_bytes
    show(f'records.{variant.name}.answer_bytes', answered_bytes / ANSWERS)
    await client.close()
    before.close()
    await server.stop(0)


async def _answers_ms(client: PeerClient, port: int) -> float:
    """Return the processor time of `ANSWERS` calls, client and server."""
    begun = time.process_time()
    for _ in range(ANSWERS):
        request = ChangesRequest(0, takes_deflated=True)
        reply = await client.call(f'127.0.0.1:{port}', CHANGES, request)
        inflate_record(reply.items[0])
    return (time.process_time() - begun) * MS


def _least_ms(work: Callable[[], object]) -> float:
    took = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        work()
        took.append(time.process_time() - begun)
    return min(took) * MS
