from __future__ import annotations

import asyncio
from typing import Any

import grpc
import msgspec
import pytest
from grpc import aio
from hypothesis import example, given
from hypothesis import strategies as st

from crowrudder_daemon.agent._upstream import _AnswerCheck
from crowrudder_daemon.entry._caller_request import (
    BadRequestError,
    parse_completion,
    parse_head,
)
from crowrudder_daemon.fetch import ServerEvent, stream_events
from crowrudder_daemon.rpc import PeerClient
from crowrudder_model import (
    MalformedMessageError,
    PeerLostError,
    UpstreamError,
    decode_message,
    encode_message,
    messages,
)
from crowrudder_model.rpc import EXCHANGE, REPORTS, SERVICE_NAME
from support.aio import run
from support.mutations import DEEP, LONG_NUMBER, bad_bytes

KEY = messages.AttemptKey(request_id='r1', attempt=1, entry='e1')
ATTEMPT = messages.Attempt(
    key=KEY,
    customer='c',
    service='s',
    priority=5,
    budget_s=1,
    idempotent=False,
    headers=(('a', 'b'),),
)
MESSAGES = (
    messages.RunClientMessage(attempt=ATTEMPT),
    messages.RunServerMessage(
        piece=messages.Piece(request_id='r1', version='v', index=0)
    ),
    messages.SettleRequest(key=KEY, incarnation='i', next_index=1),
    messages.SnapshotRequest(
        host='h', generation=1, digest='d', edition=messages.MemberListEdition()
    ),
    messages.Knowledge(
        host='h',
        bundle=messages.BundleUpdate(
            digest='d', revision=1, base='', body=b'x'
        ),
    ),
    messages.AgesRequest(),
    messages.Ages((messages.RecordAge('k', 3, 0.5),)),
    messages.ChangesRequest(3, takes_deflated=True),
    messages.Changes(
        through=3,
        items=(
            messages.PublishedItem(
                key='k', revision=3, payload=b'x', is_deflated=True
            ),
        ),
    ),
)
DEEP_MAP = b'\x81\xa1a' + b'\x91' * DEEP + b'\xc0'
header_names = st.sampled_from(
    (
        'X-Customer',
        'X-Request-Id',
        'X-Deadline-Ms',
        'X-Idempotent',
        'X-Priority',
    )
)
header_texts = st.one_of(
    st.text(max_size=20),
    st.integers().map(str),
    st.sampled_from(('c', '0', '９', '1e3', '-1', 'a' * 200, '9' * 5000)),
)
# A string that can't be encoded as UTF-8.
LONE_SURROGATE = b'{"model":"m","prompt":"%sud800"}' % b'\\'
COMPLETION = b'{"model":"m","prompt":"p","max_tokens":8,"stream":true}'


class TestMessages:
    """Guard against `RecursionError` in place of `MalformedMessageError`.

    The decoder skips unknown keys recursively, so a key with 5,000 nested
    lists from a peer raises an error that must be caught.
    """

    @pytest.mark.parametrize(
        'message', MESSAGES, ids=lambda each: type(each).__name__
    )
    def test_refused_or_read(self, message: object) -> None:
        kind = type(message)

        @given(bad_bytes(encode_message(message)))
        @example(DEEP_MAP)
        def check(payload: bytes) -> None:
            try:
                decoded = decode_message(payload, kind, peer='p')
            except MalformedMessageError as exc:
                assert 'p' in str(exc)
                return
            assert isinstance(decoded, kind)

        check()


async def answers_of(garbage: bytes) -> tuple[object, object]:
    """Return the outcomes of a call and a stream that get these bytes."""

    async def reply(_ask: bytes, _context: object) -> bytes:
        return garbage

    async def stream(_ask: bytes, _context: object) -> Any:
        yield garbage

    server = aio.server()
    handlers: dict[str, grpc.RpcMethodHandler[Any, Any]] = {
        EXCHANGE.name: grpc.unary_unary_rpc_method_handler(reply),
        REPORTS.name: grpc.unary_stream_rpc_method_handler(stream),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE_NAME, handlers),)
    )
    peer = f'127.0.0.1:{server.add_insecure_port("127.0.0.1:0")}'
    await server.start()
    client = PeerClient()
    hello = messages.Hello(
        sender=messages.ProcessStatus(host='h', incarnation='i', beat=1),
        generation=1,
        digest='',
        edition=messages.MemberListEdition(),
        read_age_s=0,
    )
    try:
        return (
            await outcome(client.call(peer, EXCHANGE, hello)),
            await outcome(
                client.open(
                    peer,
                    REPORTS,
                    messages.ReportRequest(host='h', interval_s=1),
                ).read()
            ),
        )
    finally:
        await client.close()
        await server.stop(0)


async def outcome(call: Any) -> object:
    try:
        return await call
    except PeerLostError as exc:
        return exc


class TestPeers:
    """Guard against a malformed answer that looks like a normal end.

    A peer answers a call, or sends a message of a stream, with bytes that
    aren't a message of the expected class. grpcio logs what a deserializer
    raises and returns None instead: None is the end of a stream here, and not
    a reply that callers of a unary call expect.
    """

    @pytest.mark.parametrize('garbage', [b'', b'\xc0', b'\xff' * 9, DEEP_MAP])
    def test_garbage_is_a_lost_peer(self, garbage: bytes) -> None:
        called, streamed = run(answers_of(garbage))
        assert isinstance(called, PeerLostError)
        assert isinstance(streamed, PeerLostError)


class TestEngineEvents:
    """Guard against unhandled decoder errors that end a run.

    An engine sends an event with a name that isn't UTF-8, or with a body that
    isn't the JSON of a token. The decoders' errors must be converted to
    `UpstreamError`.
    """

    GOOD = (
        b'event: token\ndata: {"request_id":"r1","version":"v","index":0,'
        b'"text":"a"}\n\nevent: done\ndata: {"request_id":"r1",'
        b'"version":"v","tokens":1}\n\n'
    )

    @given(bad_bytes(GOOD), st.integers(1, 40))
    @example(b'event: \xff\ndata: {}\n\n', 5)
    @example(b'event: done\ndata: ' + b'[' * DEEP + b'\n\n', 1 << 20)
    @example(b'event: token\ndata: {"index": \0\n\n', 40)
    def test_typed_error_or_parts_in_order(
        self, sent: bytes, step: int
    ) -> None:
        parts: list[messages.Piece | messages.Final] = []
        check = _AnswerCheck(ATTEMPT, 'v', 'engine')
        try:
            for event in run(events_of(sent, step)):
                parts.append(check.take(event))
        except UpstreamError as exc:
            assert 'engine' in str(exc)
        pieces = [part for part in parts if isinstance(part, messages.Piece)]
        assert [piece.index for piece in pieces] == list(range(len(pieces)))
        assert {part.request_id for part in parts} <= {'r1'}
        assert {part.version for part in parts} <= {'v'}


async def events_of(sent: bytes, step: int) -> list[ServerEvent]:
    pieces: asyncio.Queue[bytes | None] = asyncio.Queue()
    for start in range(0, len(sent), step):
        pieces.put_nowait(sent[start : start + step])
    pieces.put_nowait(None)
    return [event async for event in stream_events(pieces)]


class TestCallers:
    @given(st.lists(st.tuples(header_names, header_texts), max_size=8))
    def test_headers(self, lines: list[tuple[str, str]]) -> None:
        try:
            head = parse_head(dict(lines), default_s=30)
        except BadRequestError as exc:
            assert exc.status == 400
            return
        assert 0 <= head.priority <= 9
        assert 0 <= head.budget_s <= 3600
        assert head.request_id.isascii()

    @given(bad_bytes(COMPLETION))
    @example(b'{"model":' + b'[' * DEEP)
    @example(COMPLETION.replace(b'8', LONG_NUMBER))
    @example(LONE_SURROGATE)
    def test_bodies(self, body: bytes) -> None:
        try:
            completion = parse_completion(body)
        except BadRequestError as exc:
            assert exc.status == 400
            return
        # It goes on to an agent, so it must be a text that can be sent.
        assert msgspec.json.encode(completion)
