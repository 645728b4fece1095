"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class Cut(Exception):
    """The connection ended within a message."""


@dataclass
class Message:
    """A request or a response."""

    first: str
    fields: list[tuple[str, str]]
    body: bytes = b''
    framing: str = ''
    complete: bool = True
    note: str = ''
    times: list[float] = field(default_factory=list)

    def get(self, name: str, default: str = '') -> str:
        name = name.lower()
        for key, text in self.fields:
            if key.lower() == name:
                return text
        return default

    @property
    def status(self) -> int:
        return int(self.first.split(' ')[1])

    @property
    def method(self) -> str:
        return self.first.split(' ')[0]

    @property
    def target(self) -> str:
        return self.first.split(' ')[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at an orderly end before its first byte."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            return None
        raise Cut('within a head') from exc
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    fields = []
    for line in lines:
        name, _, text = line.partition(':')
        fields.append((name.strip(), text.strip()))
    return Message(first, fields)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body."""
    head = await read_head(reader)
    if head is None:
        return None
    size = int(head.get('Content-Length', '0') or 0)
    if size:
        try:
            head.body = await reader.readexactly(size)
        except asyncio.IncompleteReadError as exc:
            raise Cut('within a body') from exc
    return head


async def read_response(
    reader: asyncio.StreamReader, on_part=None, *, method: str = 'GET'
) -> Message | None:
    """Read a response; ``complete`` says whether it looks whole.

    A body without length and chunks looks whole at an orderly end of its
    connection; any other body by its own framing.
    """
    while True:
        head = await read_head(reader)
        if head is None:
            return None
        if head.status >= 200:
            break

    def take(part: bytes) -> None:
        head.body += part
        if on_part is not None:
            on_part(head, part)

    try:
        if head.get('Transfer-Encoding').lower() == 'chunked':
            head.framing = 'chunks'
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                if size:
                    take(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    return head
        elif head.get('Content-Length'):
            head.framing = 'length'
            left = int(head.get('Content-Length'))
            while left:
                part = await reader.read(min(left, 65536))
                if not part:
                    raise Cut('within a body')
                left -= len(part)
                take(part)
            return head
        elif head.status in (204, 304) or method == 'HEAD':
            return head
        head.framing = 'connection'
        while part := await reader.read(65536):
            take(part)
        return head
    except (asyncio.IncompleteReadError, Cut, ConnectionError, ValueError) as e:
        head.complete = False
        head.note = f'{type(e).__name__} {e}'
        return head


def encode(
    first: str, fields: list[tuple[str, str]], body: bytes | None = None
) -> bytes:
    """Return the bytes of a message; with a body, also its length."""
    lines = [first, *(f'{name}: {text}' for name, text in fields)]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + (body or b'')
