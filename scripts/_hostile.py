"""Calls that no honest caller makes, and what each may be answered.

They go over plain sockets, as an HTTP client would refuse to send them.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

    from _caller import EntryAddress

_ANSWER_S = 5.0
_MOST_ANSWER_BYTES = 1 << 16
# Above `max_body_bytes` of the settings, whose default is a mebibyte.
_OVERSIZE = 2 << 20
_DEEP = 20_000
_REFUSALS = frozenset((400, 403, 404, 405, 413))
_SLOW_CONNECTIONS = 40
_END = b'\r\n\r\n'


@frozen(kw_only=True)
class HostileCall:
    """Bytes to send, and the statuses that may answer them.

    Where `may_close` is set the entry may also close without an answer, as
    what it was sent isn't HTTP or can't be read to its end.
    """

    name: str
    payload: bytes
    allowed: frozenset[int] = _REFUSALS
    may_close: bool = False


@frozen(kw_only=True)
class HostileAnswer:
    """What came back; status 0 is a close without an answer."""

    call: HostileCall
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b''
    hung: bool = False

    def miss(self) -> str:
        """Name what is wrong with it, by http.md; empty if nothing is."""
        call = self.call
        if self.hung:
            return f'{call.name}: no answer within {_ANSWER_S:g} s'
        if not self.status:
            return '' if call.may_close else f'{call.name}: closed'
        if self.status not in call.allowed:
            return f'{call.name}: answered {self.status}'
        # What can't be parsed as HTTP is refused below the handlers.
        if call.may_close:
            return ''
        return self._miss_of_refusal()

    def _miss_of_refusal(self) -> str:
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
    """Give one call of each kind; the names are those of examples/fleet."""
    good = _completion()
    return (
        *_not_http(good),
        *_bad_headers(good),
        *_bad_bodies(),
        *_bad_paths(good),
    )


async def play(entry: EntryAddress, call: HostileCall) -> HostileAnswer:
    """Send one call and read what comes until the entry closes."""
    reader, writer = await asyncio.open_connection(entry.address, entry.port)
    try:
        async with asyncio.timeout(_ANSWER_S):
            return await _exchange(call, reader, writer)
    except TimeoutError:
        return HostileAnswer(call=call, hung=True)
    except (OSError, EOFError):
        return HostileAnswer(call=call)
    finally:
        writer.close()


async def hold_open(entry: EntryAddress, seconds: float) -> None:
    """Begin many requests at once, and go on with none of them."""
    writers = []
    for _ in range(_SLOW_CONNECTIONS):
        _, writer = await asyncio.open_connection(entry.address, entry.port)
        writer.write(b'POST /v1/completions HTTP/1.1\r\nX-Cust')
        writers.append(writer)
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.close()


async def misses_of(entry: EntryAddress, seconds: float) -> list[str]:
    """Send all calls, round after round, beside connections that stall."""
    slow = asyncio.create_task(hold_open(entry, seconds))
    misses: set[str] = set()
    try:
        while not slow.done():
            for call in hostile_calls():
                answer = await play(entry, call)
                misses.add(answer.miss())
    finally:
        slow.cancel()
    return sorted(misses - {''})


async def _exchange(
    call: HostileCall,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> HostileAnswer:
    writer.write(call.payload)
    # It may answer before it has read all; draining would wait for that.
    if call.may_close:
        writer.write_eof()
    head = await reader.readuntil(_END)
    return await _answer(call, head, reader)


async def _answer(
    call: HostileCall, head: bytes, reader: asyncio.StreamReader
) -> HostileAnswer:
    first, *lines = head.decode('latin-1').split('\r\n')
    parted = [line.partition(':') for line in lines]
    headers = {key.strip().lower(): text.strip() for key, _, text in parted}
    length = min(int(headers.get('content-length', 0)), _MOST_ANSWER_BYTES)
    return HostileAnswer(
        call=call,
        status=int(first.split()[1]),
        headers=headers,
        body=await reader.readexactly(length),
    )


def _not_http(good: bytes) -> Iterator[HostileCall]:
    whole = _post('/v1/completions', good)
    payloads = {
        'garbage': bytes(range(128, 256)) * 8 + _END,
        'no request line': b'\r\n\r\n\r\n',
        'cut head': whole[:30],
        'cut body': whole[:-5],
        'huge header': _post('/v1/completions', good, X_Padding='x' * 100_000),
        'two lengths': whole.replace(
            b'Content-Length:', b'Content-Length: 3\r\nContent-Length:'
        ),
        'negative length': whole.replace(
            b'Content-Length: ', b'Content-Length: -'
        ),
        'bad chunk': (
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n'
        ),
    }
    for name, payload in payloads.items():
        yield HostileCall(name=name, payload=payload, may_close=True)
    oversized = _post('/v1/completions', b'x' * _OVERSIZE)
    yield HostileCall(
        name='oversized body', payload=oversized, allowed=frozenset((413,))
    )


def _bad_headers(good: bytes) -> Iterator[HostileCall]:
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
        yield HostileCall(name=name, payload=_post(path, good, **changed))


def _bad_bodies() -> Iterator[HostileCall]:
    bodies = {
        'empty body': b'',
        'no JSON': b'{"model": ',
        'no UTF-8': b'{"model": "\xff"}',
        'list': b'[]',
        'deep JSON': b'{"model": ' + b'[' * _DEEP,
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


def _bad_paths(good: bytes) -> Iterator[HostileCall]:
    paths = {
        'unknown path': '/v1/nothing',
        'unknown service': '/v1/services/nothing/x',
        'engine as plain service': '/v1/services/listing/v1/orders',
        'path out of the service': '/v1/services/nothing/../../v1/state',
    }
    for name, path in paths.items():
        yield HostileCall(name=name, payload=_post(path, good))
    other = _post('/v1/completions', good).replace(b'POST', b'DELETE', 1)
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
    return '\r\n'.join(lines).encode() + _END + body
