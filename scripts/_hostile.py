"""Malformed and abusive calls, and the answers that each may get.

They are sent over plain sockets, as an HTTP client would refuse to send them.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from _caller import EntryAddress

_ANSWER_TIMEOUT_S = 5.0
_MAX_ANSWER_BYTES = 1 << 16
# Above `max_body_bytes` of the settings, whose default is a mebibyte.
_OVERSIZED_BODY_BYTES = 2 << 20
_JSON_DEPTH = 20_000
_REFUSALS = frozenset((400, 403, 404, 405, 413))
_STALLED_CONNECTIONS = 40
_HEADER_END = b'\r\n\r\n'


@frozen(kw_only=True)
class HostileCall:
    """Bytes to send, and the allowed statuses of the answer.

    With `may_close` the entry may also close without an answer, as the bytes
    aren't HTTP or the request is incomplete.
    """

    name: str
    payload: bytes
    allowed: frozenset[int] = _REFUSALS
    may_close: bool = False


@frozen(kw_only=True)
class HostileAnswer:
    """Answer to a hostile call; status 0 is a close without an answer."""

    call: HostileCall
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b''
    hung: bool = False

    def violation(self) -> str:
        """Return how the answer violates http.md; empty if it doesn't."""
        call = self.call
        if self.hung:
            return f'{call.name}: no answer within {_ANSWER_TIMEOUT_S:g} s'
        if not self.status:
            return '' if call.may_close else f'{call.name}: closed'
        if self.status not in call.allowed:
            return f'{call.name}: answered {self.status}'
        # Bytes that can't be parsed as HTTP are refused before any handler.
        if call.may_close:
            return ''
        return self._refusal_violation()

    def _refusal_violation(self) -> str:
        name, outcome = self.call.name, self.headers.get('x-outcome')
        if outcome != 'not_run':
            return f'{name}: {self.status} with X-Outcome {outcome}'
        if 'x-request-id' not in self.headers:
            return f'{name}: {self.status} without X-Request-Id'
        try:
            error = json.loads(self.body)['error']
        except (ValueError, KeyError, TypeError):
            return f'{name}: {self.status} with the body {self.body[:80]!r}'
        missing = {'code', 'message', 'outcome', 'request_id'} - set(error)
        return f'{name}: no {sorted(missing)} in the error' if missing else ''


def hostile_calls() -> tuple[HostileCall, ...]:
    """Return one call of each kind; the names are those of examples/fleet."""
    valid_body = _completion()
    return (
        *_not_http(valid_body),
        *_bad_headers(valid_body),
        *_bad_bodies(),
        *_bad_paths(valid_body),
    )


async def send_call(entry: EntryAddress, call: HostileCall) -> HostileAnswer:
    """Send one call and return the answer or the failure to answer."""
    reader, writer = await asyncio.open_connection(entry.address, entry.port)
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            return await _exchange(call, reader, writer)
    except TimeoutError:
        return HostileAnswer(call=call, hung=True)
    except (OSError, EOFError):
        return HostileAnswer(call=call)
    finally:
        writer.close()


async def hold_stalled_connections(entry: EntryAddress, seconds: float) -> None:
    """Open many connections and send an incomplete request on each."""
    writers = []
    for _ in range(_STALLED_CONNECTIONS):
        _, writer = await asyncio.open_connection(entry.address, entry.port)
        writer.write(b'POST /v1/completions HTTP/1.1\r\nX-Cust')
        writers.append(writer)
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.close()


async def find_violations(entry: EntryAddress, seconds: float) -> list[str]:
    """Return the violations found while connections stall.

    All calls are sent in turn for `seconds`.
    """
    stalled = asyncio.create_task(hold_stalled_connections(entry, seconds))
    violations: set[str] = set()
    try:
        while not stalled.done():
            for call in hostile_calls():
                answer = await send_call(entry, call)
                violations.add(answer.violation())
    finally:
        stalled.cancel()
    return sorted(violations - {''})


async def _exchange(
    call: HostileCall,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> HostileAnswer:
    writer.write(call.payload)
    # The entry may answer before it has read everything; draining would wait
    # for it to read on.
    if call.may_close:
        writer.write_eof()
    head = await reader.readuntil(_HEADER_END)
    return await _read_answer(call, head, reader)


async def _read_answer(
    call: HostileCall, head: bytes, reader: asyncio.StreamReader
) -> HostileAnswer:
    first, *lines = head.decode('latin-1').split('\r\n')
    header_fields = [line.partition(':') for line in lines]
    headers = {
        key.strip().lower(): text.strip() for key, _, text in header_fields
    }
    length = min(int(headers.get('content-length', 0)), _MAX_ANSWER_BYTES)
    return HostileAnswer(
        call=call,
        status=int(first.split()[1]),
        headers=headers,
        body=await reader.readexactly(length),
    )


def _not_http(valid_body: bytes) -> Iterator[HostileCall]:
    request = _post('/v1/completions', valid_body)
    payloads = {
        'garbage': bytes(range(128, 256)) * 8 + _HEADER_END,
        'no request line': b'\r\n\r\n\r\n',
        'cut head': request[:30],
        'cut body': request[:-5],
        'huge header': _post(
            '/v1/completions', valid_body, X_Padding='x' * 100_000
        ),
        'two lengths': request.replace(
            b'Content-Length:', b'Content-Length: 3\r\nContent-Length:'
        ),
        'negative length': request.replace(
            b'Content-Length: ', b'Content-Length: -'
        ),
        'bad chunk': (
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n'
        ),
    }
    for name, payload in payloads.items():
        yield HostileCall(name=name, payload=payload, may_close=True)
    oversized = _post('/v1/completions', b'x' * _OVERSIZED_BODY_BYTES)
    yield HostileCall(
        name='oversized body', payload=oversized, allowed=frozenset((413,))
    )


def _bad_headers(valid_body: bytes) -> Iterator[HostileCall]:
    path = '/v1/completions'
    headers = {
        'no customer': {'X_Customer': ''},
        'unknown customer': {'X_Customer': 'nobody'},
        'odd customer': {'X_Customer': 'a b/c'},
        'odd id': {'X_Request_Id': '../../etc'},
        'long id': {'X_Request_Id': 'x' * 129},
        'odd priority': {'X_Priority': '-1'},
        'odd deadline': {'X_Deadline_Ms': '1e9'},
        'long deadline': {'X_Deadline_Ms': '9' * 5000},
    }
    for name, changed in headers.items():
        yield HostileCall(name=name, payload=_post(path, valid_body, **changed))


def _bad_bodies() -> Iterator[HostileCall]:
    bodies = {
        'empty body': b'',
        'no JSON': b'{"model": ',
        'no UTF-8': b'{"model": "\xff"}',
        'list': b'[]',
        'deep JSON': b'{"model": ' + b'[' * _JSON_DEPTH,
        'unknown key': _completion(tenant='x'),
        'unknown model': _completion(model='nothing'),
        'plain service as model': _completion(model='portal'),
        'odd tokens': _completion(max_tokens=-1),
        'many tokens': _completion(max_tokens=10**12),
        'odd prompt': _completion(prompt={'a': 1}),
        'unknown adapter': _completion(adapter='nothing'),
    }
    for name, body in bodies.items():
        yield HostileCall(name=name, payload=_post('/v1/completions', body))


def _bad_paths(valid_body: bytes) -> Iterator[HostileCall]:
    paths = {
        'unknown path': '/v1/nothing',
        'unknown service': '/v1/services/nothing/x',
        'engine as plain service': '/v1/services/listing/v1/orders',
        'path out of the service': '/v1/services/nothing/../../v1/state',
    }
    for name, path in paths.items():
        yield HostileCall(name=name, payload=_post(path, valid_body))
    other = _post('/v1/completions', valid_body).replace(b'POST', b'DELETE', 1)
    yield HostileCall(name='wrong method', payload=other)


def _completion(**changed: object) -> bytes:
    body = {'model': 'listing', 'prompt': 'p', 'max_tokens': 2, **changed}
    return json.dumps(body).encode()


def _post(path: str, body: bytes, **changed: str) -> bytes:
    headers = {
        'Host': '127.0.0.1',
        'X_Customer': 'breeder-portal',
        'Content_Length': str(len(body)),
        **changed,
    }
    lines = [f'POST {path} HTTP/1.1']
    lines.extend(
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    )
    return '\r\n'.join(lines).encode() + _HEADER_END + body
